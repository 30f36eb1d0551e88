package scenario

import (
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

// listenerPorts holds the port of each listener of an instance.
var listenerPorts = map[string]int{"callers": callerPort, "upstreams": upstreamPort, "operators": operatorPort, "peers": peerPort}

// http METHOD INSTANCE LISTENER PATH CREDENTIAL BODY
//
// It sends a request to a listener of an instance and prints the status and body of the answer.
func rawHTTP(cl *cluster, ts *testscript.TestScript, args []string) error {
	if len(args) != 6 || listenerPorts[args[2]] == 0 {
		return errArguments
	}
	p, err := cl.find(args[1])
	if err != nil {
		return err
	}
	url := fmt.Sprintf("http://%s:%d%s", p.host, listenerPorts[args[2]], args[3])
	req, err := http.NewRequest(args[0], url, strings.NewReader(args[5]))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+args[4])
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(ts.Stdout(), "status %d\n%s\n", resp.StatusCode, body)
	return err
}
