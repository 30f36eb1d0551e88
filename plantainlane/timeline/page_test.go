package timeline

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var kind = regexp.MustCompile(`(?:\.record\(|Event\{Kind: )"([a-zA-Z]+\.?)"`)

func TestPageNamesEveryKind(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/timeline.md")
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
			if !strings.Contains(string(page), "`"+m[1]) {
				t.Errorf("docs/timeline.md lacks %s of %s", m[1], path)
			}
		}
		return nil
	}))
	is.True(found > 15)
}
