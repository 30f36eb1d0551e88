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

// kindPattern matches the kinds of problems where the sources create them.
var kindPattern = regexp.MustCompile(`http\.Status\w+, "([a-z][a-z-]+)"`)

// TestDocsListEveryProblemKind guards against a problem kind that is added to the code but not to docs/interface.md.
// The minimum number of matches detects a change of the code's form by which kindPattern no longer matches.
func TestDocsListEveryProblemKind(t *testing.T) {
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
		for _, m := range kindPattern.FindAllStringSubmatch(string(text), -1) {
			found++
			// These kinds are sent only to health checks and to engines, so the page needn't list them.
			internal := m[1] == "not-ready" || m[1] == "bad-events"
			if !internal && !strings.Contains(string(page), "`"+m[1]+"`") {
				t.Errorf("docs/interface.md lacks problem %s of %s", m[1], path)
			}
		}
		return nil
	}))
	is.True(found > 30)
}
