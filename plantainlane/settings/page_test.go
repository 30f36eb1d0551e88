package settings

import (
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestPageNamesEveryField guards against fields that are added without a row in the manual page.
func TestPageNamesEveryField(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/settings.5.md")
	is.NoErr(err)
	for _, f := range reflect.VisibleFields(reflect.TypeFor[Settings]()) {
		group, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		inner := f.Type
		if inner.Kind() == reflect.Pointer {
			inner = inner.Elem()
		}
		if inner.Kind() != reflect.Struct {
			is.True(strings.Contains(string(page), "`"+group+"`"))
			continue
		}
		for _, g := range reflect.VisibleFields(inner) {
			name, _, _ := strings.Cut(g.Tag.Get("json"), ",")
			if !strings.Contains(string(page), "`"+group+"."+name+"`") && !strings.Contains(string(page), "`."+name+"`") {
				t.Errorf("docs/settings.5.md lacks %s.%s", group, name)
			}
		}
	}
}

// TestPageNamesEveryDefault guards against defaults that are changed without the manual page.
func TestPageNamesEveryDefault(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/settings.5.md")
	is.NoErr(err)
	d := Default()
	for field, v := range map[string]any{
		"control.tick": d.Control.Tick, "control.lease": d.Control.Lease, "control.heartbeat": d.Control.Heartbeat,
		"control.silentAfter": d.Control.SilentAfter, "control.electionTimeout": d.Control.ElectionTimeout,
		"entry.keepFor": d.Entry.KeepFor, "entry.maxBodyBytes": d.Entry.MaxBodyBytes,
		"entry.maxHeaderBytes": d.Entry.MaxHeaderBytes, "upstreams.idleConnectionLimit": d.Upstreams.IdleConnectionLimit,
		"weightStore.perSecond": d.WeightStore.PerSecond, "weightStore.burst": d.WeightStore.Burst,
		"timeline.events": d.Timeline.Events, "log.verbosity": d.Log.Verbosity, "log.format": d.Log.Format,
	} {
		text, err := json.Marshal(v)
		is.NoErr(err)
		plain := strings.Trim(string(text), `"`)
		row := "| `" + field + "` | "
		if !strings.Contains(string(page), row+plain+" |") && !strings.Contains(string(page), row+"`"+plain+"` |") {
			t.Errorf("docs/settings.5.md: default of %s is not %s", field, plain)
		}
	}
}
