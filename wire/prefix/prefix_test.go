package prefix

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Wrong hashes would route a request to an engine that hasn't cached its prefix. Two prompts must have equal hashes for
// the blocks of their common prefix and for no others.
func TestBlocksShareExactlyTheCommonPrefix(t *testing.T) {
	is := is.New(t)
	common := strings.Repeat("a", 3*BlockBytes)
	a := Blocks("m@1", []byte(common+strings.Repeat("b", BlockBytes)+"rest"))
	b := Blocks("m@1", []byte(common+strings.Repeat("c", BlockBytes)))
	is.Equal(len(a), 4) // the remainder shorter than a block has no hash
	is.Equal(a[:3], b[:3])
	is.True(a[3] != b[3])
	is.True(a[0] != a[1]) // equal blocks at different positions have different hashes

	other := Blocks("m@2", []byte(common))
	is.True(other[0] != a[0])
	for _, h := range a {
		is.True(h < 1<<53) // a JSON number represents the hash exactly
	}
}

func TestPromptOfInput(t *testing.T) {
	is := is.New(t)
	is.Equal(string(Prompt([]byte(`{"prompt":"hi","x":1}`))), "hi")
	is.Equal(string(Prompt([]byte(`{"text":"hi"}`))), `{"text":"hi"}`)
	is.Equal(string(Prompt([]byte(`"hi"`))), `"hi"`)
}
