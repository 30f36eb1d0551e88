package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"plantainlane/wire"
)

const faultTimeout = 2 * time.Second

// PostFault posts a fault order to the admin address of fakes.
func PostFault(ctx context.Context, client *http.Client, address string, order wire.FaultOrder) error {
	body, err := json.Marshal(order)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	ctx, cancel := context.WithTimeout(ctx, faultTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/faults", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return errors.Wrap(err, "fault order")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 1024))
		return errors.Newf("fault order: %s: %s", resp.Status, text)
	}
	return nil
}
