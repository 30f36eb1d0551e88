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

// kindPattern matches the kinds of events where the sources record them.
var kindPattern = regexp.MustCompile(`(?:\.record\(|Event\{Kind: )"([a-zA-Z]+\.?)"`)

// TestDocsListEveryEventKind guards against an event kind that is added to the code but not to docs/timeline.md. The
// minimum number of matches detects a change of the code's form by which kindPattern no longer matches.
func TestDocsListEveryEventKind(t *testing.T) {
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
		for _, m := range kindPattern.FindAllStringSubmatch(string(text), -1) {
			found++
			if !strings.Contains(string(page), "`"+m[1]) {
				t.Errorf("docs/timeline.md lacks %s of %s", m[1], path)
			}
		}
		return nil
	}))
	is.True(found > 15)
}
