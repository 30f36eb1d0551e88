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
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"plantainlane/plantainctl/operator"
	"plantainlane/wire"
	"plantainlane/wire/declaration"
	"plantainlane/wire/jsonc"
)

// race COUNT FILE
//
// It applies FILE with base revision 1 in COUNT changes at the same time, spread over the instances, and prints how
// many were accepted, how many were in conflict, and the count of every state.
func race(cl *cluster, ts *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return errArguments
	}
	n, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	addresses := cl.addresses(operatorPort)
	var mu sync.Mutex
	var running sync.WaitGroup
	states := map[string]int{}
	for i := range n {
		running.Go(func() {
			out, err := exec.Command(filepath.Join(programs, "plantainctl"), "--json", "-i", addresses[i%len(addresses)],
				"--credential-file", filepath.Join(cl.folder, "operator.key"),
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

// lift SERVICE
//
// It lifts the active entries of the quarantine for a service. There must be one, and no more.
func lift(cl *cluster, ts *testscript.TestScript, args []string) error {
	if len(args) != 1 {
		return errArguments
	}
	run := func(args ...string) (string, error) {
		args = append([]string{"-i", cl.addresses(operatorPort)[0], "--credential-file", filepath.Join(cl.folder, "operator.key")}, args...)
		out, err := exec.Command(filepath.Join(programs, "plantainctl"), args...).CombinedOutput()
		return string(out), errors.Wrap(err, string(out))
	}
	list, err := run("quarantine")
	if err != nil {
		return err
	}
	var ids []string
	for line := range strings.Lines(list) {
		if fields := strings.Fields(line); len(fields) > 2 && fields[1] == "active" && fields[2] == args[0] {
			ids = append(ids, fields[0])
		}
	}
	if len(ids) != 1 {
		return errors.Newf("expected one active entry of %s, found %v", args[0], ids)
	}
	out, err := run("quarantine", "lift", ids[0])
	if err == nil {
		_, err = fmt.Fprint(ts.Stdout(), out)
	}
	return err
}

// resolveName returns the name of the process that name stands for: the current leader for "leader", the last killed
// process for "crashed", the last frozen process for "frozen", or else name itself.
func (cl *cluster) resolveName(name string) (string, error) {
	switch name {
	case "crashed":
		return cl.crashed, nil
	case "frozen":
		return cl.frozen, nil
	case "leader":
		var status wire.StatusAnswer
		err := await("a leader", func() bool {
			out, err := cl.runCtl("status", "--json")
			return err == nil && json.Unmarshal(out, &status) == nil && status.Leader != ""
		})
		return status.Leader, err
	}
	return name, nil
}

// runCtl runs plantainctl against the running instances and returns its output.
func (cl *cluster) runCtl(args ...string) ([]byte, error) {
	all := []string{"--credential-file", filepath.Join(cl.folder, "operator.key")}
	for _, a := range cl.addresses(operatorPort) {
		all = append(all, "-i", a)
	}
	out, err := exec.Command(filepath.Join(programs, "plantainctl"), append(all, args...)...).Output()
	return out, errors.Wrap(err, "plantainctl")
}

// servingLine matches the log line with which an instance reports that it serves.
var servingLine = regexp.MustCompile(`"msg":"serving".*"incarnation":(\d+)`)

// voter INSTANCE
//
// It waits until the instance is a voter and holds a lease. The incarnation of its last start is compared, since the
// status may still show the replica of the previous start.
func voter(cl *cluster, _ *testscript.TestScript, args []string) error {
	p, err := cl.processArg(args)
	if err != nil {
		return err
	}
	var serving []string
	err = await(p.name+" logs that it serves", func() bool {
		serving = servingLine.FindStringSubmatch(cl.logSinceStart(p))
		return serving != nil
	})
	if err != nil {
		return err
	}
	incarnation, err := strconv.Atoi(serving[1])
	if err != nil {
		return err
	}
	var out []byte
	err = await(p.name+" votes", func() bool {
		var status wire.StatusAnswer
		if out, err = cl.runCtl("status", "--json"); err != nil || json.Unmarshal(out, &status) != nil {
			return false
		}
		return slices.ContainsFunc(status.Instances, func(i wire.InstanceStatus) bool {
			return i.Info.ID == p.name && i.Info.Incarnation == incarnation && i.Lease == "held" && i.Replica == "voter"
		})
	})
	return errors.Wrapf(err, "newest status: %s", out)
}

// changes COUNT FILE
//
// It applies FILE COUNT times, one change after the other. Change number i, from 0, raises the concurrency of the first
// contract by i, so that all changes differ.
func changes(cl *cluster, ts *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return errArguments
	}
	n, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	text := ts.ReadFile(args[1])
	client := operator.New(cl.addresses(operatorPort), cl.site+"-operator-example")
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
			return errors.Newf("change %d: outcome %v, error %v", i, out, err)
		}
	}
	return nil
}
