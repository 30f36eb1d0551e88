package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"plantainlane/plantainctl/operator"
	"plantainlane/wire"
	"plantainlane/wire/declaration"
	"plantainlane/wire/jsonc"
)

// race COUNT FILE
func race(w *world, ts *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return errArguments
	}
	n, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	addresses := w.addresses(operatorPort)
	var mu sync.Mutex
	var running sync.WaitGroup
	states := map[string]int{}
	for i := range n {
		running.Go(func() {
			out, err := exec.Command(filepath.Join(programs, "plantainctl"), "--json", "-i", addresses[i%len(addresses)],
				"--credential-file", filepath.Join(w.folder, "operator.key"),
				"apply", "--base", "1", "--change-id", fmt.Sprintf("race-%d", i), ts.MkAbs(args[1])).Output()
			var outcome wire.ChangeOutcome
			if json.Unmarshal(out, &outcome) != nil {
				outcome.State = fmt.Sprint(err)
			}
			mu.Lock()
			defer mu.Unlock()
			states[outcome.State]++
		})
	}
	running.Wait()
	_, err = fmt.Fprintf(ts.Stdout(), "accepted=%d conflict=%d\n%v\n", states["accepted"], states["conflict"], states)
	return err
}

// resolve returns the name that leader, crashed and frozen stand for: the instance that leads now, the one
// that was killed last, and the one that was frozen last.
func (w *world) resolve(name string) (string, error) {
	switch name {
	case "crashed":
		return w.crashed, nil
	case "frozen":
		return w.frozen, nil
	case "leader":
		var status wire.StatusAnswer
		err := await("a leader", func() bool {
			out, err := w.ctl("status", "--json")
			return err == nil && json.Unmarshal(out, &status) == nil && status.Leader != ""
		})
		return status.Leader, err
	}
	return name, nil
}

// ctl runs plantainctl against the instances that run.
func (w *world) ctl(args ...string) ([]byte, error) {
	all := []string{"--credential-file", filepath.Join(w.folder, "operator.key")}
	for _, a := range w.addresses(operatorPort) {
		all = append(all, "-i", a)
	}
	out, err := exec.Command(filepath.Join(programs, "plantainctl"), append(all, args...)...).Output()
	return out, errors.Wrap(err, "plantainctl")
}

var startedAs = regexp.MustCompile(`"msg":"serving".*"incarnation":(\d+)`)

// voter INSTANCE
//
// It waits until the replica of the instance's newest start votes.
func voter(w *world, _ *testscript.TestScript, args []string) error {
	p, err := w.one(args)
	if err != nil {
		return err
	}
	var start []string
	err = await(p.name+" says that it serves", func() bool {
		start = startedAs.FindStringSubmatch(w.newestLog(p))
		return start != nil
	})
	if err != nil {
		return err
	}
	incarnation, err := strconv.Atoi(start[1])
	if err != nil {
		return err
	}
	var out []byte
	err = await(p.name+" votes", func() bool {
		var status wire.StatusAnswer
		if out, err = w.ctl("status", "--json"); err != nil || json.Unmarshal(out, &status) != nil {
			return false
		}
		return slices.ContainsFunc(status.Instances, func(i wire.InstanceStatus) bool {
			return i.Info.ID == p.name && i.Info.Incarnation == incarnation && i.Lease == "held" && i.Replica == "voter"
		})
	})
	return errors.Wrapf(err, "newest status: %s", out)
}

// changes COUNT FILE
func changes(w *world, ts *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return errArguments
	}
	n, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	text := ts.ReadFile(args[1])
	client := operator.New(w.addresses(operatorPort), w.site+"-operator-example")
	for i := range n {
		var set wire.Declarations
		if err := jsonc.Read(args[1], []byte(text), &set, declaration.Defaults()...); err != nil {
			return err
		}
		set.Contracts[0].Concurrency += i
		current, err := client.Declarations(context.Background())
		if err != nil {
			return err
		}
		change := wire.ChangeSet{ChangeID: fmt.Sprintf("change-%d", i), BaseRevision: current.Revision, Set: set, Remove: []wire.DeclarationName{}}
		out, err := client.Change(context.Background(), change)
		if err != nil || out.State != "accepted" {
			return errors.Newf("change %d: %v %v", i, out, err)
		}
	}
	return nil
}
