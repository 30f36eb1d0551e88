package prefix

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestBlocksShareExactlyTheCommonPrefix(t *testing.T) {
	is := is.New(t)
	common := strings.Repeat("a", 3*BlockBytes)
	a := Blocks("m@1", []byte(common+strings.Repeat("b", BlockBytes)+"rest"))
	b := Blocks("m@1", []byte(common+strings.Repeat("c", BlockBytes)))
	is.Equal(len(a), 4) // a rest shorter than a block has no hash
	is.Equal(a[:3], b[:3])
	is.True(a[3] != b[3])
	is.True(a[0] != a[1]) // equal blocks at different places differ

	other := Blocks("m@2", []byte(common))
	is.True(other[0] != a[0])
	for _, h := range a {
		is.True(h < 1<<53) // exact as a JSON number
	}
}

func TestPromptOfInput(t *testing.T) {
	is := is.New(t)
	is.Equal(string(Prompt([]byte(`{"prompt":"hi","x":1}`))), "hi")
	is.Equal(string(Prompt([]byte(`{"text":"hi"}`))), `{"text":"hi"}`)
	is.Equal(string(Prompt([]byte(`"hi"`))), `"hi"`)
}
