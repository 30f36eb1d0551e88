// Command reviewkit2 plays the cases of the second review: it starts the programs of the project as processes on loopback addresses,
// stand-ins for workers, clients and the operator, and checks one rule.
package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"time"
)

// Exit codes: the rule held, was broken, or the case couldn't run.
const (
	held   = 0
	broken = 1
	failed = 2
)

// play plays a case, with the disruption or without, and returns an exit code.
type play func(c *cluster, trouble bool) int

var plays = map[string]play{}

// limit is how long a case may run.
const limit = 110 * time.Second

func main() {
	// Processes are started on this thread, see process.
	runtime.LockOSThread()
	os.Exit(runCase())
}

func runCase() int {
	if len(os.Args) != 4 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewkit2 CASE PROGRAM FOLDER")
		return failed
	}
	name, folder := os.Args[1], os.Args[3]
	program, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer file.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec := &recorder{out: io.MultiWriter(file, os.Stdout), start: time.Now()}
	rec.log("case       %s, with the disruption: %v", name, trouble)
	c, err := newCluster(rec, program)
	if c != nil {
		defer c.close()
	}
	if err != nil {
		rec.log("case       couldn't run: %v", err)
		return failed
	}
	late := time.AfterFunc(limit, func() {
		rec.log("case       couldn't run: it takes longer than %v", limit)
		c.close()
		os.Exit(failed)
	})
	defer late.Stop()
	code := plays[name](c, trouble)
	rec.log("case       ends: %s", []string{"the rule held", "THE RULE WAS BROKEN", "couldn't run"}[code])
	return code
}
