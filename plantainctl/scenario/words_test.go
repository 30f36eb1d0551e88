package scenario

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"
)

// Ports of the listeners in the examples' settings.
const (
	callerPort   = 7001
	upstreamPort = 7002
	operatorPort = 7003
	peerPort     = 7004
)

var (
	errArguments = errors.New("wrong arguments of a script command")
	// Patterns of the values in the example settings that start replaces.
	exampleHost = regexp.MustCompile(`"(192\.0\.2|198\.51\.100)\.\d+:`)
	exampleName = regexp.MustCompile(`"instance": \{.*\}`)
	exampleJoin = regexp.MustCompile(`"join": \[.*\]`)
)

// site SITE
//
// It selects the example deployment whose files the script uses, and sets the operator's credential.
func site(cl *cluster, ts *testscript.TestScript, args []string) error {
	if len(args) != 1 {
		return errArguments
	}
	examples, err := filepath.Abs(filepath.Join("..", "..", "examples", args[0]))
	if err != nil {
		return err
	}
	cl.site, cl.examples = args[0], examples
	key := []byte(cl.site + "-operator-example")
	if err := os.WriteFile(filepath.Join(cl.folder, "operator.key"), key, 0o600); err != nil {
		return err
	}
	ts.Setenv("EXAMPLES", examples)
	ts.Setenv("PLANTAINCTL_CREDENTIAL", cl.site+"-operator-example")
	return nil
}

// start INSTANCE KIND ZONE
//
// It starts an instance with the example settings of that kind, with its own address, name and data folder, joined to
// the running instances. A shorter lease and keepFor shorten the script.
func start(cl *cluster, ts *testscript.TestScript, args []string) error {
	if len(args) != 3 || cl.site == "" {
		return errArguments
	}
	p := &process{name: args[0], host: fmt.Sprintf("%s.%d", cl.network, 11+len(cl.instances))}
	text, err := os.ReadFile(filepath.Join(cl.examples, "settings", args[1]+".json"))
	if err != nil {
		return err
	}
	var join []string
	for _, a := range cl.addresses(peerPort) {
		join = append(join, strconv.Quote(a))
	}
	s := exampleJoin.ReplaceAllString(string(text), `"join": [`+strings.Join(join, ", ")+`]`)
	s = exampleHost.ReplaceAllString(s, `"`+p.host+`:`)
	s = exampleName.ReplaceAllString(s, fmt.Sprintf(`"instance": {"id": %q, "zone": %q, "region": %q}`, p.name, args[2], cl.site))
	for old, text := range map[string]string{
		`/var/lib/plantainlane`: filepath.Join(cl.folder, "data-"+p.name),
		`"lease": "10s"`:        `"lease": "3s"`,
		`"keepFor": "10s"`:      `"keepFor": "1s"`,
	} {
		s = strings.Replace(s, old, text, 1)
	}
	if err := os.WriteFile(filepath.Join(cl.folder, p.name+".json"), []byte(s), 0o600); err != nil {
		return err
	}
	cl.instances = append(cl.instances, p)
	if args[1] == "first-with-disk" {
		if err := ts.Exec("plantainlane", "bootstrap", p.name+".json"); err != nil {
			return err
		}
	}
	return cl.serveInstance(ts, p)
}

// restart INSTANCE|crashed
//
// It starts an instance again after that instance has ended.
func restart(cl *cluster, ts *testscript.TestScript, args []string) error {
	p, err := cl.processArg(args)
	if err != nil {
		return err
	}
	if p.running() {
		return errors.Newf("%s still runs", p.name)
	}
	return cl.serveInstance(ts, p)
}

// serveInstance starts an instance and waits until it accepts connections of callers.
func (cl *cluster) serveInstance(ts *testscript.TestScript, p *process) error {
	if err := cl.startProcess(p, "plantainlane", "serve", p.name+".json"); err != nil {
		return err
	}
	defer cl.setInstances(ts)
	return cl.awaitListening(p, fmt.Sprintf("%s:%d", p.host, callerPort))
}

// processArg returns the process that the only argument in args names. See resolveName for the names.
func (cl *cluster) processArg(args []string) (*process, error) {
	if len(args) != 1 {
		return nil, errArguments
	}
	name, err := cl.resolveName(args[0])
	if err != nil {
		return nil, err
	}
	return cl.find(name)
}

// upstream NAME GROUP [OPTION...]
//
// It starts a process of fake upstreams and waits until they are announced. GROUP is the name of an upstream credential
// in the example settings. NAME is also the service, unless the options set another one.
func upstream(cl *cluster, _ *testscript.TestScript, args []string) error {
	if len(args) < 2 {
		return errArguments
	}
	p := &process{name: args[0]}
	options := append([]string{
		"upstream", "--service", args[0], "--credential", cl.site + "-" + args[1] + "-example", "--region", cl.site,
		"--service-time", "2ms", "--distribution", "constant", "--tokens", "8", "--tokens-per-second", "0",
	}, args[2:]...)
	for _, a := range cl.addresses(upstreamPort) {
		options = append(options, "--announce", a)
	}
	cl.upstreams = append(cl.upstreams, p)
	if err := cl.startProcess(p, "standin", options...); err != nil {
		return err
	}
	adminLine := regexp.MustCompile(`(?m)^admin (\S+)$`)
	err := await(p.name+" is announced", func() bool {
		return !p.running() || strings.Contains(cl.logTail(p), "announced ")
	})
	if m := adminLine.FindStringSubmatch(cl.logTail(p)); m != nil {
		p.admin = m[1]
	}
	if err != nil || !p.running() || p.admin == "" {
		return errors.Newf("%s is not up; its log ends with:\n%s", p.name, cl.logTail(p))
	}
	return nil
}

// term NAME
//
// It sends SIGTERM to a process.
func term(cl *cluster, _ *testscript.TestScript, args []string) error {
	p, err := cl.processArg(args)
	if err != nil {
		return err
	}
	return p.cmd.Process.Signal(syscall.SIGTERM)
}

// crash NAME|leader
//
// It kills a process (SIGKILL) and waits until it has ended.
func crash(cl *cluster, ts *testscript.TestScript, args []string) error {
	p, err := cl.processArg(args)
	if err != nil {
		return err
	}
	cl.crashed = p.name
	if err := p.cmd.Process.Kill(); err != nil {
		return err
	}
	<-p.exited
	cl.setInstances(ts)
	return nil
}

// freeze NAME
//
// It stops a process (SIGSTOP). Its connections stay open but carry no data, as in a network partition.
func freeze(cl *cluster, _ *testscript.TestScript, args []string) error {
	p, err := cl.processArg(args)
	if err != nil {
		return err
	}
	cl.frozen = p.name
	return p.cmd.Process.Signal(syscall.SIGSTOP)
}

// thaw NAME
//
// It continues a frozen process (SIGCONT).
func thaw(cl *cluster, _ *testscript.TestScript, args []string) error {
	p, err := cl.processArg(args)
	if err != nil {
		return err
	}
	return p.cmd.Process.Signal(syscall.SIGCONT)
}

// exits NAME CODE
//
// It waits until a process has ended and checks its exit code.
func exits(cl *cluster, ts *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return errArguments
	}
	p, err := cl.find(args[0])
	if err != nil {
		return err
	}
	if err := await(p.name+" exits", func() bool { return !p.running() }); err != nil {
		return errors.Newf("%v; its log ends with:\n%s", err, cl.logTail(p))
	}
	cl.setInstances(ts)
	if strconv.Itoa(p.code) != args[1] {
		return errors.Newf("%s exited with %d; its log ends with:\n%s", p.name, p.code, cl.logTail(p))
	}
	return nil
}

// wipe INSTANCE
//
// It removes the data folder of an instance that has ended.
func wipe(cl *cluster, _ *testscript.TestScript, args []string) error {
	p, err := cl.processArg(args)
	if err != nil {
		return err
	}
	if p.running() {
		return errors.Newf("%s still runs", p.name)
	}
	return os.RemoveAll(filepath.Join(cl.folder, "data-"+p.name))
}

// eventually [!] PATTERN PROGRAM|request [ARGUMENT...]
//
// It runs a program, or the word request, again and again until its output matches the pattern, or with "!" until it
// doesn't. Then it prints the output.
func eventually(cl *cluster, ts *testscript.TestScript, args []string) error {
	wantMatch := true
	if len(args) > 0 && args[0] == "!" {
		wantMatch, args = false, args[1:]
	}
	if len(args) < 2 {
		return errArguments
	}
	pattern, err := regexp.Compile("(?m)" + args[0])
	if err != nil {
		return err
	}
	var out string
	err = await(strings.Join(args[1:], " "), func() bool {
		out = cl.runOnce(ts, args[1], args[2:])
		return pattern.MatchString(out) == wantMatch
	})
	if err != nil {
		var logs strings.Builder
		for _, p := range cl.instances {
			fmt.Fprintf(&logs, "--- %s\n%s\n", p.name, cl.logTail(p))
		}
		return errors.Newf("expected match of %s to be %v in the output:\n%s\n%s", args[0], wantMatch, out, logs.String())
	}
	fmt.Fprint(ts.Stdout(), out)
	return nil
}

// runOnce runs a program, or the word request, and returns its output followed by its error.
func (cl *cluster) runOnce(ts *testscript.TestScript, name string, args []string) string {
	if name == "request" {
		out, err := cl.call(args)
		if err != nil {
			return err.Error()
		}
		return out
	}
	cmd := exec.Command(filepath.Join(programs, name), args...)
	cmd.Dir = cl.folder
	cmd.Env = append(os.Environ(),
		"PLANTAINCTL_INSTANCES="+ts.Getenv("PLANTAINCTL_INSTANCES"),
		"PLANTAINCTL_CREDENTIAL="+ts.Getenv("PLANTAINCTL_CREDENTIAL"))
	out, err := cmd.CombinedOutput()
	if err != nil {
		return string(out) + err.Error()
	}
	return string(out)
}
