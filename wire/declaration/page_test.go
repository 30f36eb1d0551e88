package declaration

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"

	"plantainlane/wire"
)

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
