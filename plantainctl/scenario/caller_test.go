package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"plantainlane/wire"
)

const callTimeout = 30 * time.Second

// caller is one request of the words request and load.
type caller struct {
	at, key, id, input, workspace, pipeline string
	deadlineMs                              int
	stream                                  bool
}

func (w *world) parse(args []string) (caller, error) {
	var c caller
	f := flag.NewFlagSet("request", flag.ContinueOnError)
	f.SetOutput(io.Discard)
	f.StringVar(&c.at, "at", "", "")
	f.StringVar(&c.key, "key", "", "")
	f.StringVar(&c.id, "id", "", "")
	f.StringVar(&c.input, "input", `{"prompt": "where is the station"}`, "")
	f.IntVar(&c.deadlineMs, "deadline", 0, "")
	f.BoolVar(&c.stream, "stream", false, "")
	if err := f.Parse(args); err != nil || f.NArg() != 2 {
		return c, errors.Mark(errors.Newf("request: %v", args), errArguments)
	}
	c.workspace, c.pipeline = f.Arg(0), f.Arg(1)
	if c.key == "" {
		c.key = w.site + "-" + c.workspace + "-example"
	}
	return c, nil
}

// request [-at INSTANCE] [-key KEY] [-id KEY] [-input JSON] [-deadline MS] [-stream] WORKSPACE PIPELINE
func request(w *world, ts *testscript.TestScript, args []string) error {
	out, err := w.call(args)
	if err != nil {
		return err
	}
	_, err = fmt.Fprint(ts.Stdout(), out)
	return err
}

// call returns the status and the body of an answer.
func (w *world) call(args []string) (string, error) {
	c, err := w.parse(args)
	if err != nil {
		return "", err
	}
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	address, err := w.entry(client, c.at)
	if err != nil {
		return "", err
	}
	resp, err := c.send(context.Background(), client, address, w.model())
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("status %d\n%s\n", resp.StatusCode, body), nil
}

// model returns the name of the site's model.
func (w *world) model() string {
	if w.site == "hanbit" {
		return "language"
	}
	return "phrase"
}

// entry returns the callers' address of an instance, or the first one of an entry answer.
func (w *world) entry(client *http.Client, instance string) (string, error) {
	if instance != "" {
		p, err := w.one([]string{instance})
		if err != nil {
			return "", err
		}
		return fmt.Sprintf("%s:%d", p.host, callerPort), nil
	}
	answer, err := w.entries(client)
	if err != nil {
		return "", err
	}
	return answer.Entries[0].Address, nil
}

// entries asks the running instances in turn for addresses to use.
func (w *world) entries(client *http.Client) (wire.EntryAnswer, error) {
	last := errors.New("no instance runs")
	for _, a := range w.addresses(callerPort) {
		var answer wire.EntryAnswer
		if last = getJSON(client, "http://"+a+"/v1/entries", &answer); last != nil {
			continue
		}
		if len(answer.Entries) > 0 {
			return answer, nil
		}
		last = errors.Newf("%s names no entries", a)
	}
	return wire.EntryAnswer{}, last
}

func getJSON(client *http.Client, url string, into any) error {
	resp, err := client.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("%s: %s", url, resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(into)
}

func (c caller) send(ctx context.Context, client *http.Client, address, model string) (*http.Response, error) {
	body := wire.PipelineRequest{Input: json.RawMessage(c.input), Stream: &c.stream, Model: &model}
	if c.deadlineMs != 0 {
		body.DeadlineMs = &c.deadlineMs
	}
	text, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	url := "http://" + address + "/v1/workspaces/" + c.workspace + "/pipelines/" + c.pipeline + "/requests"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(text))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	if c.id != "" {
		req.Header.Set("Idempotency-Key", c.id)
	}
	return client.Do(req)
}

// executions NAME PATH
func executions(w *world, ts *testscript.TestScript, args []string) error {
	ledger, err := w.ledger(args)
	if err != nil {
		return err
	}
	n := 0
	for _, t := range ledger.Totals {
		if t.Path == args[1] {
			n += t.Executions
		}
	}
	_, err = fmt.Fprintln(ts.Stdout(), strconv.Itoa(n))
	return err
}

// doubled NAME PATH
func doubled(w *world, ts *testscript.TestScript, args []string) error {
	ledger, err := w.ledger(args)
	if err != nil {
		return err
	}
	n, runs := 0, map[string]int{}
	for _, r := range ledger.Rows {
		if r.Path != args[1] {
			continue
		}
		if runs[r.Workspace+" "+r.Input]++; runs[r.Workspace+" "+r.Input] == 2 {
			n++
		}
	}
	_, err = fmt.Fprintln(ts.Stdout(), strconv.Itoa(n))
	return err
}

func (w *world) ledger(args []string) (wire.Ledger, error) {
	var ledger wire.Ledger
	if len(args) != 2 {
		return ledger, errArguments
	}
	p, err := w.find(args[0])
	if err != nil {
		return ledger, err
	}
	return ledger, getJSON(http.DefaultClient, "http://"+p.admin+"/ledger", &ledger)
}

// fault SERVICE FAULT
func fault(w *world, _ *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return errArguments
	}
	p, err := w.find(args[0])
	if err != nil {
		return err
	}
	order := `{"upstreams": [], "fault": ` + args[1] + `}`
	resp, err := http.Post("http://"+p.admin+"/faults", "application/json", strings.NewReader(order))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("fault order: %s", resp.Status)
	}
	return nil
}

// charged WORKSPACE STAGE NAME PATH
//
// It waits until a stage's cost equals what the upstreams have counted for the workspace.
func charged(w *world, ts *testscript.TestScript, args []string) error {
	if len(args) != 4 {
		return errArguments
	}
	var charge, count float64
	err := await("cost of "+args[1], func() bool {
		ledger, err := w.ledger(args[2:])
		if err != nil {
			return false
		}
		var answer wire.CostAnswer
		out, err := w.ctl("cost", "--json", "--workspace", args[0])
		if err != nil || json.Unmarshal(out, &answer) != nil {
			return false
		}
		charge, count = 0, 0
		for _, r := range answer.Rows {
			if r.Stage == args[1] {
				charge += r.Units + r.WastedUnits
			}
		}
		for _, t := range ledger.Totals {
			if t.Workspace == args[0] && t.Path == args[3] {
				count += t.Units
			}
		}
		return charge == count && count > 0
	})
	if err != nil {
		return errors.Newf("%v: charged %g, counted %g", err, charge, count)
	}
	_, err = fmt.Fprintf(ts.Stdout(), "%g\n", charge)
	return err
}
