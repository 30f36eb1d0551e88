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
	errArguments = errors.New("wrong arguments")
	exampleHost  = regexp.MustCompile(`"(192\.0\.2|198\.51\.100)\.\d+:`)
	exampleName  = regexp.MustCompile(`"instance": \{.*\}`)
	exampleJoin  = regexp.MustCompile(`"join": \[.*\]`)
)

// site SITE
func site(w *world, ts *testscript.TestScript, args []string) error {
	if len(args) != 1 {
		return errArguments
	}
	examples, err := filepath.Abs(filepath.Join("..", "..", "examples", args[0]))
	if err != nil {
		return err
	}
	w.site, w.examples = args[0], examples
	key := []byte(w.site + "-operator-example")
	if err := os.WriteFile(filepath.Join(w.folder, "operator.key"), key, 0o600); err != nil {
		return err
	}
	ts.Setenv("EXAMPLES", examples)
	ts.Setenv("PLANTAINCTL_CREDENTIAL", w.site+"-operator-example")
	return nil
}

// start INSTANCE KIND ZONE
func start(w *world, ts *testscript.TestScript, args []string) error {
	if len(args) != 3 || w.site == "" {
		return errArguments
	}
	p := &process{name: args[0], host: fmt.Sprintf("%s.%d", w.network, 11+len(w.instances))}
	text, err := os.ReadFile(filepath.Join(w.examples, "settings", args[1]+".json"))
	if err != nil {
		return err
	}
	var join []string
	for _, a := range w.addresses(peerPort) {
		join = append(join, strconv.Quote(a))
	}
	s := exampleJoin.ReplaceAllString(string(text), `"join": [`+strings.Join(join, ", ")+`]`)
	s = exampleHost.ReplaceAllString(s, `"`+p.host+`:`)
	s = exampleName.ReplaceAllString(s, fmt.Sprintf(`"instance": {"id": %q, "zone": %q, "region": %q}`, p.name, args[2], w.site))
	for old, text := range map[string]string{
		`/var/lib/plantainlane`: filepath.Join(w.folder, "data-"+p.name),
		`"lease": "10s"`:        `"lease": "3s"`,
		`"keepFor": "10s"`:      `"keepFor": "1s"`,
	} {
		s = strings.Replace(s, old, text, 1)
	}
	if err := os.WriteFile(filepath.Join(w.folder, p.name+".json"), []byte(s), 0o600); err != nil {
		return err
	}
	w.instances = append(w.instances, p)
	if args[1] == "first-with-disk" {
		if err := ts.Exec("plantainlane", "bootstrap", p.name+".json"); err != nil {
			return err
		}
	}
	return w.serve(ts, p)
}

// restart INSTANCE|crashed
func restart(w *world, ts *testscript.TestScript, args []string) error {
	p, err := w.one(args)
	if err != nil {
		return err
	}
	if p.running() {
		return errors.Newf("%s still runs", p.name)
	}
	return w.serve(ts, p)
}

func (w *world) serve(ts *testscript.TestScript, p *process) error {
	if err := w.run(p, "plantainlane", "serve", p.name+".json"); err != nil {
		return err
	}
	defer w.setInstances(ts)
	return w.awaitListening(p, fmt.Sprintf("%s:%d", p.host, callerPort))
}

func (w *world) one(args []string) (*process, error) {
	if len(args) != 1 {
		return nil, errArguments
	}
	name, err := w.resolve(args[0])
	if err != nil {
		return nil, err
	}
	return w.find(name)
}

// upstream NAME GROUP [OPTION...]
//
// NAME is the service too, unless the options say otherwise.
func upstream(w *world, _ *testscript.TestScript, args []string) error {
	if len(args) < 2 {
		return errArguments
	}
	p := &process{name: args[0]}
	options := append([]string{
		"upstream", "--service", args[0], "--credential", w.site + "-" + args[1] + "-example", "--region", w.site,
		"--service-time", "2ms", "--distribution", "constant", "--tokens", "8", "--tokens-per-second", "0",
	}, args[2:]...)
	for _, a := range w.addresses(upstreamPort) {
		options = append(options, "--announce", a)
	}
	w.upstreams = append(w.upstreams, p)
	if err := w.run(p, "standin", options...); err != nil {
		return err
	}
	printed := regexp.MustCompile(`(?m)^admin (\S+)$`)
	err := await(p.name+" is announced", func() bool {
		return !p.running() || strings.Contains(w.log(p), "announced ")
	})
	if m := printed.FindStringSubmatch(w.log(p)); m != nil {
		p.admin = m[1]
	}
	if err != nil || !p.running() || p.admin == "" {
		return errors.Newf("%s is not up; its log ends with:\n%s", p.name, w.log(p))
	}
	return nil
}

// term NAME
func term(w *world, _ *testscript.TestScript, args []string) error {
	p, err := w.one(args)
	if err != nil {
		return err
	}
	return p.cmd.Process.Signal(syscall.SIGTERM)
}

// crash NAME|leader
func crash(w *world, ts *testscript.TestScript, args []string) error {
	p, err := w.one(args)
	if err != nil {
		return err
	}
	w.crashed = p.name
	if err := p.cmd.Process.Kill(); err != nil {
		return err
	}
	<-p.exited
	w.setInstances(ts)
	return nil
}

// freeze NAME
//
// The process stands still, and its connections stay open without a byte, as in a silent partition.
func freeze(w *world, _ *testscript.TestScript, args []string) error {
	p, err := w.one(args)
	if err != nil {
		return err
	}
	w.frozen = p.name
	return p.cmd.Process.Signal(syscall.SIGSTOP)
}

// thaw NAME
func thaw(w *world, _ *testscript.TestScript, args []string) error {
	p, err := w.one(args)
	if err != nil {
		return err
	}
	return p.cmd.Process.Signal(syscall.SIGCONT)
}

// exits NAME CODE
func exits(w *world, ts *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return errArguments
	}
	p, err := w.find(args[0])
	if err != nil {
		return err
	}
	if err := await(p.name+" exits", func() bool { return !p.running() }); err != nil {
		return errors.Newf("%v; its log ends with:\n%s", err, w.log(p))
	}
	w.setInstances(ts)
	if strconv.Itoa(p.code) != args[1] {
		return errors.Newf("%s exited with %d; its log ends with:\n%s", p.name, p.code, w.log(p))
	}
	return nil
}

// wipe INSTANCE
func wipe(w *world, _ *testscript.TestScript, args []string) error {
	p, err := w.one(args)
	if err != nil {
		return err
	}
	if p.running() {
		return errors.Newf("%s still runs", p.name)
	}
	return os.RemoveAll(filepath.Join(w.folder, "data-"+p.name))
}

// eventually [!] PATTERN PROGRAM|request [ARGUMENT...]
func eventually(w *world, ts *testscript.TestScript, args []string) error {
	wanted := true
	if len(args) > 0 && args[0] == "!" {
		wanted, args = false, args[1:]
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
		out = w.output(ts, args[1], args[2:])
		return pattern.MatchString(out) == wanted
	})
	if err != nil {
		var logs strings.Builder
		for _, p := range w.instances {
			fmt.Fprintf(&logs, "--- %s\n%s\n", p.name, w.log(p))
		}
		return errors.Newf("match of %s is not %v in:\n%s\n%s", args[0], wanted, out, logs.String())
	}
	fmt.Fprint(ts.Stdout(), out)
	return nil
}

func (w *world) output(ts *testscript.TestScript, name string, args []string) string {
	if name == "request" {
		out, err := w.call(args)
		if err != nil {
			return err.Error()
		}
		return out
	}
	cmd := exec.Command(filepath.Join(programs, name), args...)
	cmd.Dir = w.folder
	cmd.Env = append(os.Environ(),
		"PLANTAINCTL_INSTANCES="+ts.Getenv("PLANTAINCTL_INSTANCES"),
		"PLANTAINCTL_CREDENTIAL="+ts.Getenv("PLANTAINCTL_CREDENTIAL"))
	out, err := cmd.CombinedOutput()
	if err != nil {
		return string(out) + err.Error()
	}
	return string(out)
}
