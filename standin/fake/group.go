package fake

import (
	"math"
	"net/http"
	"slices"
	"sync"

	"plantainlane/wire"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v5"
)

// ErrUnknownUpstream marks a fault order for an upstream that is not in the group.
var ErrUnknownUpstream = errors.New("unknown upstream")

// Group is the fakes of one process.
type Group struct {
	mu    sync.Mutex
	fakes []*Fake
}

// NewGroup returns a group of fakes.
func NewGroup(fakes ...*Fake) *Group { return &Group{fakes: fakes} }

// Ledger returns what all fakes of the group have run. Rows are those that started at or after a
// time in microseconds since 1970; totals and dropped rows are of all time.
func (g *Group) Ledger(sinceUs int) wire.Ledger {
	out := wire.Ledger{Rows: []wire.LedgerRow{}, Totals: []wire.LedgerTotal{}}
	for _, f := range g.fakes {
		f.ledger.appendTo(&out)
	}
	out.Rows = slices.DeleteFunc(out.Rows, func(r wire.LedgerRow) bool { return r.StartedUs < sinceUs })
	out.Totals = MergeTotals(out.Totals)
	return out
}

// Announcements returns what the fakes say of themselves.
func (g *Group) Announcements() []wire.Announcement {
	all := make([]wire.Announcement, 0, len(g.fakes))
	for _, f := range g.fakes {
		all = append(all, f.Announcement())
	}
	return all
}

// Apply sets the fault of the fakes an order names and returns their IDs.
func (g *Group) Apply(order wire.FaultOrder) ([]string, error) {
	chosen, err := g.choose(order)
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	ids := make([]string, 0, len(chosen))
	for _, f := range chosen {
		f.SetFault(order.Fault)
		ids = append(ids, f.id)
	}
	return ids, nil
}

func (g *Group) choose(order wire.FaultOrder) ([]*Fake, error) {
	chosen := g.fakes
	if len(order.Upstreams) > 0 {
		chosen = nil
		for _, id := range order.Upstreams {
			i := slices.IndexFunc(g.fakes, func(f *Fake) bool { return f.id == id })
			if i < 0 {
				return nil, errors.Wrapf(ErrUnknownUpstream, "%s", id)
			}
			chosen = append(chosen, g.fakes[i])
		}
	}
	if order.Share != nil && *order.Share > 0 && *order.Share < 1 {
		chosen = chosen[:int(math.Ceil(*order.Share*float64(len(chosen))))]
	}
	return chosen, nil
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
		return c.JSON(http.StatusBadRequest, problem(http.StatusBadRequest, "sinceUs is no number"))
	}
	return c.JSON(http.StatusOK, g.Ledger(sinceUs))
}

func (g *Group) serveFaults(c *echo.Context) error {
	var order wire.FaultOrder
	if err := c.Bind(&order); err != nil {
		return c.JSON(http.StatusBadRequest, problem(http.StatusBadRequest, "malformed fault order"))
	}
	ids, err := g.Apply(order)
	if err != nil {
		return c.JSON(http.StatusNotFound, problem(http.StatusNotFound, err.Error()))
	}
	return c.JSON(http.StatusOK, wire.FaultAnswer{Upstreams: ids})
}

func problem(status int, detail string) wire.Problem {
	return wire.Problem{
		Type: "about:blank", Title: http.StatusText(status), Status: status, Detail: detail, Execution: NotRun,
	}
}
