package scenario

import (
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"
)

// engine NAME GROUP [OPTION...]
//
// It starts a process of fake engines and waits until they are announced. GROUP is the name of an upstream credential
// in the example settings. NAME is also the service, unless the options set another one. Short steps and load times
// shorten the script.
func engine(cl *cluster, _ *testscript.TestScript, args []string) error {
	if len(args) < 2 {
		return errArguments
	}
	p := &process{name: args[0]}
	options := append([]string{
		"engine", "--service", args[0], "--credential", cl.site + "-" + args[1] + "-example", "--region", cl.site,
		"--step", "5ms", "--load-time", "200ms",
	}, args[2:]...)
	for _, a := range cl.addresses(upstreamPort) {
		options = append(options, "--announce", a)
	}
	cl.upstreams = append(cl.upstreams, p)
	if err := cl.startProcess(p, "standin", options...); err != nil {
		return err
	}
	err := await(p.name+" is announced", func() bool {
		return !p.running() || strings.Contains(cl.logTail(p), "announced ")
	})
	if err != nil || !p.running() {
		return errors.Newf("%s is not up; its log ends with:\n%s", p.name, cl.logTail(p))
	}
	return nil
}
