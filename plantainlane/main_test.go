package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestRun guards against commands that fail without a message or with a wrong exit code, on which scripts rely: 2
// stands for wrong usage, 4 for invalid settings, 1 for everything else.
func TestRun(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.json")
	if err := os.WriteFile(bad, []byte(`{"instance": {"id": 1}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	good := filepath.Join("..", "examples", "hanbit", "settings", "with-disk.json")
	tests := map[string]struct {
		args []string
		want int
		out  string
	}{
		"good":            {[]string{"check-settings", good}, 0, "with-disk.json: ok"},
		"bad":             {[]string{"check-settings", good, bad}, 4, "bad.json:1: instance.id: expected a string, found 1"},
		"bad as JSON":     {[]string{"check-settings", "--json", bad}, 4, `"field":"instance.id"`},
		"absent":          {[]string{"check-settings", "absent"}, 1, "absent"},
		"none":            {[]string{"check-settings"}, 2, "a settings file is required"},
		"serve bad":       {[]string{"serve", bad}, 4, "instance.id"},
		"unknown command": {[]string{"server"}, 2, `unknown command "server"`},
		"unknown flag":    {[]string{"serve", "--what"}, 2, "what"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			is.Equal(run(context.Background(), append([]string{"plantainlane"}, tt.args...), &out, &out), tt.want)
			is.True(strings.Contains(out.String(), tt.out)) // the expected output
		})
	}
}
