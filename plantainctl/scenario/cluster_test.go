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
	// patience bounds every wait for a condition.
	patience  = 90 * time.Second
	pollPause = 100 * time.Millisecond
	logTail   = 4000
)

type worldKey struct{}

// world is what one script runs.
type world struct {
	folder string
	// site is the example deployment's name, examples the folder of its files.
	site, examples string
	// network holds the first three bytes of the addresses of this script's instances.
	network   string
	instances []*process
	upstreams []*process
	loads     map[string]*loader
	// crashed is the process that was killed last.
	crashed string
	// frozen is the process that was made to stand still last.
	frozen string
}

// process is a program that the script started.
type process struct {
	name string
	// host is an instance's IP number.
	host string
	// admin is the address of a fake's ledger and faults.
	admin string
	cmd   *exec.Cmd
	// exited is closed once the process has ended, and code is set then.
	exited chan struct{}
	code   int
	// logFrom is the size of the log when the process was started last.
	logFrom int64
}

var worlds atomic.Int32

func setup(env *testscript.Env) error {
	pid, n := os.Getpid(), int(worlds.Add(1))
	w := &world{
		folder:  env.WorkDir,
		network: fmt.Sprintf("127.%d.%d", 1+pid%254, 1+(pid/254*16+n)%254),
		loads:   map[string]*loader{},
	}
	env.Values[worldKey{}] = w
	env.Setenv("PATH", programs+string(os.PathListSeparator)+env.Getenv("PATH"))
	env.Defer(w.end)
	return nil
}

// end kills what still runs, and keeps the end of each log in the script's log if the script failed.
func (w *world) end() {
	for _, l := range w.loads {
		l.stop()
	}
	for _, p := range slices.Concat(w.instances, w.upstreams) {
		if p.running() {
			_ = p.cmd.Process.Kill()
			<-p.exited
		}
	}
}

func (w *world) find(name string) (*process, error) {
	for _, p := range slices.Concat(w.instances, w.upstreams) {
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

// run starts a program whose output goes to NAME.log in the script's folder.
func (w *world) run(p *process, program string, args ...string) error {
	log, err := os.OpenFile(filepath.Join(w.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	if info, err := log.Stat(); err == nil {
		p.logFrom = info.Size()
	}
	p.cmd = exec.Command(filepath.Join(programs, program), args...)
	p.cmd.Dir = w.folder
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

// newestLog returns what a process has printed since it was started last.
func (w *world) newestLog(p *process) string {
	text, err := os.ReadFile(filepath.Join(w.folder, p.name+".log"))
	if err != nil {
		return err.Error()
	}
	return string(text[min(p.logFrom, int64(len(text))):])
}

// log returns the end of what a process printed.
func (w *world) log(p *process) string {
	text, err := os.ReadFile(filepath.Join(w.folder, p.name+".log"))
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-logTail):])
}

// await polls until done reports true, or an error once patience is over.
func await(what string, done func() bool) error {
	for limit := time.Now().Add(patience); time.Now().Before(limit); time.Sleep(pollPause) {
		if done() {
			return nil
		}
	}
	return errors.Newf("%s: not within %v", what, patience)
}

func (w *world) awaitListening(p *process, address string) error {
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
		return errors.Newf("%v; its log ends with:\n%s", err, w.log(p))
	}
	return nil
}

// addresses returns the addresses of running instances on a port.
func (w *world) addresses(port int) []string {
	var list []string
	for _, p := range w.instances {
		if p.running() {
			list = append(list, fmt.Sprintf("%s:%d", p.host, port))
		}
	}
	return list
}

func (w *world) setInstances(ts *testscript.TestScript) {
	ts.Setenv("PLANTAINCTL_INSTANCES", strings.Join(w.addresses(operatorPort), ","))
}
