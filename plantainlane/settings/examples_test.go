package settings

import (
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"plantainlane/wire/declaration"
)

// TestExamples guards against examples that users copy and that instances refuse: changed checks of settings or
// declarations can make them invalid.
func TestExamples(t *testing.T) {
	for _, example := range []string{"lanterna", "hanbit"} {
		t.Run(example, func(t *testing.T) {
			is := is.New(t)
			folder := filepath.Join("..", "..", "examples", example)
			files, err := filepath.Glob(filepath.Join(folder, "settings", "*.json"))
			is.NoErr(err)
			is.Equal(len(files), 3)
			withDisk := 0
			for _, f := range files {
				s, err := Load(f)
				is.NoErr(err)
				if s.Data != nil {
					withDisk++
				}
			}
			is.Equal(withDisk, 2)

			source, err := declaration.Read(filepath.Join(folder, "declarations"))
			is.NoErr(err)
			is.NoErr(source.Locate(declaration.Check(source.Set)))
			is.Equal(len(source.Set.Contracts), 5)
			is.Equal(len(source.Set.Pipelines), 5)
			is.Equal(len(source.Set.UpstreamPolicies), 8)
		})
	}
}
