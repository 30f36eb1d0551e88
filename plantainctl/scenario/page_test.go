package scenario

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Names in docs/scenarios.md: s:SCRIPT, b:EXPERIMENT and PACKAGE.TEST. wordName matches the words in main_test.go.
var (
	scriptName = regexp.MustCompile(`\bs:([a-z-]+)`)
	benchName  = regexp.MustCompile(`\bb:([a-z-]+)`)
	testName   = regexp.MustCompile(`\b([a-z]+)\.(Test\w+)`)
	wordName   = regexp.MustCompile(`"([a-z]+)": +word\(`)
)

// TestScenarioPageNamesExistingItems guards against a page that names scripts, experiments or tests which were renamed
// or removed, and against words of the scripts that the page doesn't describe.
func TestScenarioPageNamesExistingItems(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("../../docs/scenarios.md")
	is.NoErr(err)
	page := string(text)
	for _, m := range scriptName.FindAllStringSubmatch(page, -1) {
		_, err := os.Stat(filepath.Join("testdata", m[1]+".txtar"))
		is.NoErr(err) // a script that the page names
	}
	for _, m := range benchName.FindAllStringSubmatch(page, -1) {
		_, err := os.Stat(filepath.Join("..", "..", "bench", "experiments", m[1]+".jsonc"))
		is.NoErr(err) // an experiment that the page names
	}
	for _, m := range testName.FindAllStringSubmatch(page, -1) {
		folder := "../../plantainlane/" + m[1]
		if m[1] == "platform" {
			folder = "../../platform" // a module of its own
		}
		found, err := exec.Command("grep", "-rlE", "--include=*_test.go", "^func "+m[2]+`\(`, folder).Output()
		is.NoErr(err) // a test that the page names
		is.True(len(found) > 0)
	}
	words, err := os.ReadFile("main_test.go")
	is.NoErr(err)
	for _, m := range wordName.FindAllStringSubmatch(string(words), -1) {
		is.True(strings.Contains(page, "`"+m[1]+" ")) // a word of the scripts
	}
}
