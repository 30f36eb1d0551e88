package scenario

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"
)

const (
	// conditionTimeout is the maximum wait for a condition.
	conditionTimeout = 90 * time.Second
	// pollInterval is the pause between two checks of a condition.
	pollInterval = 100 * time.Millisecond
	// logTailBytes is how much of a log an error shows.
	logTailBytes = 4000
)

// clusterKey is the key of the script's cluster in testscript's values.
type clusterKey struct{}

// cluster holds the instances, upstreams and loads that one script has started.
type cluster struct {
	// folder is the script's working directory. It holds settings, data folders and logs.
	folder string
	// site is the name of the example deployment, examples the folder of its files.
	site, examples string
	// network is the first three bytes of the IP addresses of this script's instances. Scripts run in parallel, so
	// that each has a network of its own.
	network   string
	instances []*process
	// upstreams are the processes of fake upstreams and of fake engines.
	upstreams []*process
	loads     map[string]*loader
	// crashed is the name of the last killed process.
	crashed string
	// frozen is the name of the last stopped process (SIGSTOP).
	frozen string
}

// process is a program started by the script: an instance, a fake upstream or a fake engine.
type process struct {
	// name is the name of the process in the script. The log is NAME.log.
	name string
	// host is the IP address of an instance, empty for an upstream.
	host string
	// admin is the address at which a fake upstream serves its ledger and accepts faults.
	admin string
	cmd   *exec.Cmd
	// exited is closed when the process has ended. code is its exit code, set before that.
	exited chan struct{}
	code   int
	// logOffset is the size of the log in bytes at the last start of the process.
	logOffset int64
}

var clusterCount atomic.Int32

// setup creates the cluster of a script. Its network is derived from the process ID and the number of the script, so
// that scripts and test runs at the same time use different addresses.
func setup(env *testscript.Env) error {
	pid, n := os.Getpid(), int(clusterCount.Add(1))
	cl := &cluster{
		folder:  env.WorkDir,
		network: fmt.Sprintf("127.%d.%d", 1+pid%254, 1+(pid/254*16+n)%254),
		loads:   map[string]*loader{},
	}
	env.Values[clusterKey{}] = cl
	env.Setenv("PATH", programs+string(os.PathListSeparator)+env.Getenv("PATH"))
	env.Defer(cl.stopAll)
	return nil
}

// stopAll stops the loads and kills the processes that are still running.
func (cl *cluster) stopAll() {
	for _, l := range cl.loads {
		l.stop()
	}
	for _, p := range slices.Concat(cl.instances, cl.upstreams) {
		if p.running() {
			_ = p.cmd.Process.Kill()
			<-p.exited
		}
	}
}

func (cl *cluster) find(name string) (*process, error) {
	for _, p := range slices.Concat(cl.instances, cl.upstreams) {
		if p.name == name {
			return p, nil
		}
	}
	return nil, errors.Newf("%s was not started", name)
}

func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// startProcess starts a program and appends its output to NAME.log in the script's folder.
func (cl *cluster) startProcess(p *process, program string, args ...string) error {
	log, err := os.OpenFile(filepath.Join(cl.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	if info, err := log.Stat(); err == nil {
		p.logOffset = info.Size()
	}
	p.cmd = exec.Command(filepath.Join(programs, program), args...)
	p.cmd.Dir = cl.folder
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.exited = make(chan struct{})
	if err := p.cmd.Start(); err != nil {
		return err
	}
	go func() {
		_ = p.cmd.Wait()
		p.code = p.cmd.ProcessState.ExitCode()
		close(p.exited)
	}()
	return nil
}

// logSinceStart returns the output of a process since its last start.
func (cl *cluster) logSinceStart(p *process) string {
	text, err := os.ReadFile(filepath.Join(cl.folder, p.name+".log"))
	if err != nil {
		return err.Error()
	}
	return string(text[min(p.logOffset, int64(len(text))):])
}

// logTail returns the last logTailBytes of the output of a process.
func (cl *cluster) logTail(p *process) string {
	text, err := os.ReadFile(filepath.Join(cl.folder, p.name+".log"))
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-logTailBytes):])
}

// await polls done until it reports true. It returns an error if that takes longer than conditionTimeout.
func await(what string, done func() bool) error {
	for limit := time.Now().Add(conditionTimeout); time.Now().Before(limit); time.Sleep(pollInterval) {
		if done() {
			return nil
		}
	}
	return errors.Newf("%s: condition not met within %v", what, conditionTimeout)
}

// awaitListening waits until an instance accepts connections at address, and returns an error if it exits first.
func (cl *cluster) awaitListening(p *process, address string) error {
	err := await(p.name+" listens", func() bool {
		c, err := net.Dial("tcp", address)
		if err == nil {
			_ = c.Close()
		}
		return err == nil || !p.running()
	})
	if err == nil && !p.running() {
		err = errors.Newf("%s exited with %d", p.name, p.code)
	}
	if err != nil {
		return errors.Newf("%v; its log ends with:\n%s", err, cl.logTail(p))
	}
	return nil
}

// addresses returns the addresses of the running instances with the given port.
func (cl *cluster) addresses(port int) []string {
	var list []string
	for _, p := range cl.instances {
		if p.running() {
			list = append(list, fmt.Sprintf("%s:%d", p.host, port))
		}
	}
	return list
}

// setInstances sets the script's PLANTAINCTL_INSTANCES to the operator addresses of the running instances.
func (cl *cluster) setInstances(ts *testscript.TestScript) {
	ts.Setenv("PLANTAINCTL_INSTANCES", strings.Join(cl.addresses(operatorPort), ","))
}
