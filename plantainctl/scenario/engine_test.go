package scenario

import (
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"
)

// engine NAME GROUP [OPTION...]
//
// NAME is the service too, unless the options say otherwise.
func engine(w *world, _ *testscript.TestScript, args []string) error {
	if len(args) < 2 {
		return errArguments
	}
	p := &process{name: args[0]}
	options := append([]string{
		"engine", "--service", args[0], "--credential", w.site + "-" + args[1] + "-example", "--region", w.site,
		"--step", "5ms", "--load-time", "200ms",
	}, args[2:]...)
	for _, a := range w.addresses(upstreamPort) {
		options = append(options, "--announce", a)
	}
	w.upstreams = append(w.upstreams, p)
	if err := w.run(p, "standin", options...); err != nil {
		return err
	}
	err := await(p.name+" is announced", func() bool {
		return !p.running() || strings.Contains(w.log(p), "announced ")
	})
	if err != nil || !p.running() {
		return errors.Newf("%s is not up; its log ends with:\n%s", p.name, w.log(p))
	}
	return nil
}
