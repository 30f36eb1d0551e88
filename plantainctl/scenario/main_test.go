// Package scenario runs the programs on loopback by scripts in testdata. docs/scenarios.md describes the
// words of the scripts.
package scenario

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// programs is the folder that TestMain builds the programs into.
var programs string

func TestMain(m *testing.M) {
	os.Exit(runMain(m))
}

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
			"charged":    word(charged),
			"race":       word(race),
			"doubled":    word(doubled),
			"http":       word(raw),
		},
	})
}

// word adapts a command that takes the script's world and can't be negated.
func word(run func(*world, *testscript.TestScript, []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if neg {
			ts.Fatalf("the word can't be negated")
		}
		ts.Check(run(ts.Value(worldKey{}).(*world), ts, args))
	}
}
