// Package jsonc decodes JSON with comments strictly. It rejects malformed text, unknown and repeated members, and
// values of a wrong type. Each error names the file, the line, the path of the field and the expected values.
package jsonc

import (
	"bytes"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// MaxBytes is the largest size of a file, in bytes.
const MaxBytes = 32 << 20

// maxDepth is the largest nesting depth of arrays and objects. The parser is recursive and has no bound of its own.
const maxDepth = 64

// Document is parsed text. After Decode, it can look up the line of a value by its field path.
type Document struct {
	file string
	root hujson.Value
	// starts holds the offset of each line's first byte, ascending.
	starts []int
	// lines holds the line number of each decoded value, by field path.
	lines map[string]int
}

// Read parses data and decodes it into the value that into points to. Values that data leaves out stay as they are.
// file is the name to show in errors. A returned error is an *Error that is ErrMalformed or ErrInvalid.
func Read(file string, data []byte, into any, opts ...Option) error {
	doc, err := Parse(file, data)
	if err != nil {
		return err
	}
	return doc.Decode(into, opts...)
}

// Parse parses data. file is the name to show in errors. A returned error is an *Error that is ErrMalformed.
func Parse(file string, data []byte) (*Document, error) {
	if len(data) > MaxBytes {
		return nil, malformed(file, 0, fmt.Sprintf("at most %d bytes", MaxBytes), strconv.Itoa(len(data)))
	}
	if line := excessDepthLine(data); line > 0 {
		return nil, malformed(file, line, fmt.Sprintf("values nested at most %d deep", maxDepth), "")
	}
	root, err := hujson.Parse(data)
	if err != nil {
		line, reason := splitParseError(err.Error())
		return nil, malformed(file, line, "JSON with comments", reason)
	}
	return &Document{file: file, root: root, starts: lineStarts(data), lines: make(map[string]int)}, nil
}

// Line returns the line of the value at path. If the document has no such value, it returns the line of the innermost
// enclosing value that it has.
func (d *Document) Line(path string) int {
	for {
		if n, ok := d.lines[path]; ok {
			return n
		}
		i := strings.LastIndexAny(path, ".[")
		if i < 0 {
			return d.lineAt(d.root.StartOffset)
		}
		path = path[:i]
	}
}

// Problem returns a Problem about the value at path.
func (d *Document) Problem(path, expected, found string) Problem {
	return Problem{File: d.file, Line: d.Line(path), Field: path, Expected: expected, Found: found}
}

// lineAt returns the number of the line, from 1, that contains the byte at offset.
func (d *Document) lineAt(offset int) int {
	i, found := slices.BinarySearch(d.starts, offset)
	if found {
		return i + 1
	}
	return i
}

// lineStarts returns the offset of the first byte of each line.
func lineStarts(data []byte) []int {
	starts := []int{0}
	for i, c := range data {
		if c == '\n' {
			starts = append(starts, i+1)
		}
	}
	return starts
}

// malformed returns an *Error of kind ErrMalformed with one problem.
func malformed(file string, line int, expected, found string) error {
	p := Problem{File: file, Line: line, Expected: expected, Found: found}
	return &Error{Problems: []Problem{p}, kind: ErrMalformed}
}

// parseError matches the error texts of hujson.Parse that name a line.
var parseError = regexp.MustCompile(`^hujson: line (\d+), column \d+: (.*)$`)

// splitParseError returns the line and the reason from an error text of hujson.Parse. If the text names no line, it
// returns 0 and the whole text.
func splitParseError(text string) (line int, reason string) {
	m := parseError.FindStringSubmatch(text)
	if m == nil {
		return 0, text
	}
	line, _ = strconv.Atoi(m[1])
	return line, m[2]
}

// excessDepthLine returns the first line on which brackets outside strings and comments are nested deeper than
// maxDepth, or 0 if there is none.
func excessDepthLine(data []byte) int {
	depth, line, inString := 0, 1, false
	for i := 0; i < len(data); i++ {
		switch c := data[i]; {
		case c == '\n':
			line++
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case inString:
		case c == '/':
			end := commentEnd(data, i)
			line += bytes.Count(data[i:end], []byte{'\n'})
			i = end - 1
		case c == '[' || c == '{':
			depth++
		case c == ']' || c == '}':
			depth--
		}
		if depth > maxDepth {
			return line
		}
	}
	return 0
}

// commentEnd returns the offset after the comment that starts at offset i, or i+1 if no comment starts there.
func commentEnd(data []byte, i int) int {
	var terminator string
	start := i + 2
	switch {
	case bytes.HasPrefix(data[i:], []byte("//")):
		terminator = "\n"
	case bytes.HasPrefix(data[i:], []byte("/*")):
		terminator = "*/"
	default:
		return i + 1
	}
	n := bytes.Index(data[start:], []byte(terminator))
	if n < 0 {
		return len(data)
	}
	return start + n + len(terminator)
}
