package declaration

import (
	"fmt"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"plantainlane/wire"
)

// The manual page must list each field of a declaration.
func TestPageNamesEveryField(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/declarations.5.md")
	is.NoErr(err)
	for _, v := range []any{wire.Contract{}, wire.Pipeline{}, wire.Stage{}, wire.UpstreamPolicy{}, wire.Model{}} {
		for _, f := range reflect.VisibleFields(reflect.TypeOf(v)) {
			name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
			row := strings.Contains(string(page), "`"+name) || strings.Contains(string(page), "[]."+name)
			if !row {
				t.Errorf("docs/declarations.5.md lacks %s of %T", name, v)
			}
		}
	}
}

// The manual page must show the current default values.
func TestPageNamesEveryDefault(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/declarations.5.md")
	is.NoErr(err)
	c, p, m, s := DefaultContract, DefaultUpstreamPolicy, DefaultModel, DefaultStage
	for field, v := range map[string]any{
		"priority": c.Priority, "defaultDeadlineMs": c.DefaultDeadlineMs, "maxDeadlineMs": c.MaxDeadlineMs,
		"maxBodyBytes": c.MaxBodyBytes, "maxResultBytes": c.MaxResultBytes,
		"serveIdempotentWhenCutOff": c.ServeIdempotentWhenCutOff,
		"retryBudget":               p.RetryBudget, "maxAttempts": p.MaxAttempts, "hedgeQuantile": p.HedgeQuantile,
		"ejectAfterFailures": p.EjectAfterFailures, "ejectForMs": p.EjectForMs, "maxEjectedShare": p.MaxEjectedShare,
		"silentAfterMs": p.SilentAfterMs, "queueLimit": p.QueueLimit,
		"replicas": m.Replicas, "loadCost": m.LoadCost,
		"stages[].idempotent": s.Idempotent, "stages[].costUnits": s.CostUnits, "stages[].deadlineShare": s.DeadlineShare,
	} {
		if row := fmt.Sprintf("| `%s` | %v |", field, v); !strings.Contains(string(page), row) {
			t.Errorf("docs/declarations.5.md lacks %s", row)
		}
	}
}

// The manual page must describe each rule of findings, since scripts filter by them.
func TestPageNamesEveryRule(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/declarations.5.md")
	is.NoErr(err)
	rules, err := os.ReadFile("lint.go")
	is.NoErr(err)
	names := regexp.MustCompile(`\bRule\w+ += "([a-z-]+)"`).FindAllStringSubmatch(string(rules), -1)
	is.True(len(names) > 10)
	for _, n := range names {
		is.True(strings.Contains(string(page), "`"+n[1]+"`")) // a rule that the page describes
	}
}
