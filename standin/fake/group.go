package fake

import (
	"fmt"
	"math"
	"net/http"
	"slices"
	"sync"

	"plantainlane/wire"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v5"
)

// ErrUnknownUpstream is returned for a fault order whose upstream isn't in the group.
var ErrUnknownUpstream = errors.New("unknown upstream")

// Group is the set of fakes of a process.
type Group struct {
	mu    sync.Mutex // Held while a fault order is applied, so that orders don't mix.
	fakes []*Fake
}

// NewGroup returns a group of fakes.
func NewGroup(fakes ...*Fake) *Group { return &Group{fakes: fakes} }

// Ledger returns the executions of all fakes of the group. The rows are limited to executions that started at or after
// sinceUs, in microseconds since 1970. The totals and the number of dropped rows include all executions.
func (g *Group) Ledger(sinceUs int) wire.Ledger {
	out := wire.Ledger{Rows: []wire.LedgerRow{}, Totals: []wire.LedgerTotal{}}
	for _, f := range g.fakes {
		f.ledger.appendTo(&out)
	}
	out.Rows = slices.DeleteFunc(out.Rows, func(r wire.LedgerRow) bool { return r.StartedUs < sinceUs })
	out.Totals = MergeTotals(out.Totals)
	return out
}

// Announcements returns the descriptions of the fakes.
func (g *Group) Announcements() []wire.Announcement {
	all := make([]wire.Announcement, 0, len(g.fakes))
	for _, f := range g.fakes {
		all = append(all, f.Announcement())
	}
	return all
}

// Apply sets the fault of the fakes that an order selects and returns their IDs. It returns ErrUnknownUpstream, and
// changes nothing, if the order names an upstream that isn't in the group.
func (g *Group) Apply(order wire.FaultOrder) ([]string, error) {
	selected, err := g.selectFakes(order)
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	ids := make([]string, 0, len(selected))
	for _, f := range selected {
		f.SetFault(order.Fault)
		ids = append(ids, f.id)
	}
	return ids, nil
}

// selectFakes returns the fakes that an order selects: those with the IDs in the order, or all fakes if it has no IDs.
// A share above 0 and below 1 limits the selection to this fraction of its fakes, rounded up, from the first one on.
func (g *Group) selectFakes(order wire.FaultOrder) ([]*Fake, error) {
	selected := g.fakes
	if len(order.Upstreams) > 0 {
		selected = nil
		for _, id := range order.Upstreams {
			i := slices.IndexFunc(g.fakes, func(f *Fake) bool { return f.id == id })
			if i < 0 {
				return nil, errors.Wrapf(ErrUnknownUpstream, "%s", id)
			}
			selected = append(selected, g.fakes[i])
		}
	}
	if order.Share != nil && *order.Share > 0 && *order.Share < 1 {
		selected = selected[:int(math.Ceil(*order.Share*float64(len(selected))))]
	}
	return selected, nil
}

// Handler serves GET /ledger[?sinceUs=N], GET /upstreams and POST /faults.
func (g *Group) Handler() http.Handler {
	e := echo.New()
	e.GET("/ledger", g.serveLedger)
	e.GET("/upstreams", func(c *echo.Context) error { return c.JSON(http.StatusOK, g.Announcements()) })
	e.POST("/faults", g.serveFaults)
	return e
}

func (g *Group) serveLedger(c *echo.Context) error {
	sinceUs, err := echo.QueryParamOr(c, "sinceUs", 0)
	if err != nil {
		return c.JSON(http.StatusBadRequest, problem(http.StatusBadRequest,
			fmt.Sprintf("sinceUs: expected microseconds since 1970, found %q", c.QueryParam("sinceUs"))))
	}
	return c.JSON(http.StatusOK, g.Ledger(sinceUs))
}

func (g *Group) serveFaults(c *echo.Context) error {
	var order wire.FaultOrder
	if err := c.Bind(&order); err != nil {
		return c.JSON(http.StatusBadRequest, problem(http.StatusBadRequest, "body: expected a fault order as JSON: "+err.Error()))
	}
	ids, err := g.Apply(order)
	if err != nil {
		return c.JSON(http.StatusNotFound, problem(http.StatusNotFound, err.Error()))
	}
	return c.JSON(http.StatusOK, wire.FaultAnswer{Upstreams: ids})
}

// problem returns the body of an error answer.
func problem(status int, detail string) wire.Problem {
	return wire.Problem{
		Type: "about:blank", Title: http.StatusText(status), Status: status, Detail: detail, Execution: NotRun,
	}
}
