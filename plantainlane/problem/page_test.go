package problem

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var kind = regexp.MustCompile(`http\.Status\w+, "([a-z][a-z-]+)"`)

func TestPageNamesEveryKind(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/interface.md")
	is.NoErr(err)
	found := 0
	is.NoErr(filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, m := range kind.FindAllStringSubmatch(string(text), -1) {
			found++
			internal := m[1] == "not-ready" || m[1] == "bad-events"
			if !internal && !strings.Contains(string(page), "`"+m[1]+"`") {
				t.Errorf("docs/interface.md lacks problem %s of %s", m[1], path)
			}
		}
		return nil
	}))
	is.True(found > 30)
}
