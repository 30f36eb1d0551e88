// Command trial runs the scripted cases of the review. Each case starts the project's programs as separate processes on loopback
// addresses, with small stand-ins of clients, workers, the operator and the platform.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case couldn't run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases holds the cases by name. Each returns whether the rule was broken. trouble is false for a run without the disruption.
var cases = map[string]func(rec *recorder, root string, trouble bool) (broken bool, err error){
	"memory":  memoryCase,
	"changes": changesCase,
	"garble":  garbleCase,
	"headers": headersCase,
	"leave":   leaveCase,
	"seeds":   seedsCase,
	"stop":    stopCase,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: trial CASE ROOT, in the folder of the case")
		return 2
	}
	// A signal ends the case by the deferred clean-up of the child processes, which end with this process.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		os.Exit(2)
	}()
	file, err := os.Create("record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	rec := &recorder{file: file, start: time.Now()}
	record = rec
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, trouble %v", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](rec, os.Args[2], trouble)
	switch {
	case err != nil:
		rec.add("error: %v", err)
		fmt.Fprintln(os.Stderr, err)
		if errors.Is(err, errSetup) {
			return 2
		}
		return 2
	case broken:
		rec.add("the rule was broken")
		fmt.Println("broken")
		return 1
	}
	rec.add("the rule held")
	fmt.Println("held")
	return 0
}
