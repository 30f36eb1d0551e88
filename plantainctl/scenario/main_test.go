// Package scenario tests the built programs together, on loopback addresses, by the scripts in testdata. The scripts
// use testscript with commands of their own, called words, which docs/scenarios.md describes.
package scenario

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// programs is the folder of the built programs. TestMain sets it.
var programs string

func TestMain(m *testing.M) {
	os.Exit(runMain(m))
}

// runMain builds the programs, runs the tests and removes the programs.
func runMain(m *testing.M) int {
	dir, err := os.MkdirTemp("", "plantainlane-programs-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	programs = dir
	for _, name := range []string{"plantainctl", "plantainlane", "standin"} {
		build := exec.Command("go", "build", "-o", filepath.Join(dir, name), "plantainlane/"+name)
		if out, err := build.CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build %s: %v\n%s", name, err, out)
			return 1
		}
	}
	return m.Run()
}

// TestScenarios runs each script in testdata. The first comment of a script says which behaviour it checks.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
		Setup:               setup,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"site":       word(site),
			"start":      word(start),
			"restart":    word(restart),
			"upstream":   word(upstream),
			"engine":     word(engine),
			"term":       word(term),
			"crash":      word(crash),
			"freeze":     word(freeze),
			"thaw":       word(thaw),
			"exits":      word(exits),
			"wipe":       word(wipe),
			"fault":      word(fault),
			"eventually": word(eventually),
			"request":    word(request),
			"load":       word(load),
			"executions": word(executions),
			"voter":      word(voter),
			"changes":    word(changes),
			"busiest":    word(busiest),
			"charged":    word(charged),
			"race":       word(race),
			"lift":       word(lift),
			"doubled":    word(doubled),
			"http":       word(rawHTTP),
		},
	})
}

// word adapts the function of a script command. Such a command can't be negated with "!".
func word(run func(*cluster, *testscript.TestScript, []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if neg {
			ts.Fatalf("the word can't be negated")
		}
		ts.Check(run(ts.Value(clusterKey{}).(*cluster), ts, args))
	}
}
