package command

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const storyLog = `{"time":"2026-12-04T10:00:02Z","level":"INFO","msg":"request ended","instance":"entry-1","request":"r2","outcome":"refused","status":503,"reason":"no upstream","sends":0}
`

// TestStory checks the exit code and output for logs from files and from standard input, with lines that are no JSON.
func TestStory(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entry-1.log")
	if err := os.WriteFile(path, []byte(storyLog+"no log line\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		args []string
		in   string
		code int
		out  string
	}{
		"file":           {[]string{"r2", path}, "", 0, "not run: refused before any send: no upstream"},
		"standard input": {[]string{"r2"}, storyLog, 0, "not run: refused before any send: no upstream"},
		"skipped lines":  {[]string{"r2", path}, "", 0, "1 lines are no log lines"},
		"not found":      {[]string{"r3", path}, "", 7, "not found"},
		"no request":     {nil, "", 2, "a request ID is required"},
		"no file":        {[]string{"r2", path + "x"}, "", 1, "open log"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			args := append([]string{"plantainctl", "story"}, tt.args...)
			is.Equal(Run(context.Background(), args, strings.NewReader(tt.in), &out, &out), tt.code)
			is.True(strings.Contains(out.String(), tt.out)) // what is printed
		})
	}
}
