package forward

import (
	"bytes"
	"slices"
	"strings"
)

// eventFields are the names of the fields that events have. Others are ignored by who reads an event.
var eventFields = []string{"id", "data", "event", "retry"}

// answerStart is how an answer begins.
const answerStart = "HTTP/1."

// maxNameBytes is the longest name of a field. Names that upstreams use for fields of their own are a few words long.
const maxNameBytes = 64

// lineKind is what a line of a stream is.
type lineKind int

const (
	// lineNone stands for no line.
	lineNone lineKind = iota
	lineComment
	lineField
	// lineOther is a field of another name.
	lineOther
	// lineText can't be a field.
	lineText
	// lineHead begins another answer.
	lineHead
)

// kindOf returns the kind of a line that isn't empty, without its end.
func kindOf(line []byte) lineKind {
	name, _, isField := bytes.Cut(line, []byte(":"))
	switch {
	case len(name) == 0:
		return lineComment
	case slices.Contains(eventFields, string(name)):
		return lineField
	case bytes.HasPrefix(line, []byte(answerStart)):
		return lineHead
	case isField && isFieldName(name):
		return lineOther
	}
	return lineText
}

// kindOfPart returns the kind of a line of which only the beginning is known. What breaks off within a name counts as a field.
func kindOfPart(line []byte) lineKind {
	switch {
	case bytes.IndexByte(line, ':') >= 0:
		return kindOf(line)
	case bytes.HasPrefix(line, []byte(answerStart)), strings.HasPrefix(answerStart, string(line)):
		return lineHead
	case isFieldName(line):
		return lineField
	}
	return lineText
}

// isFieldName reports whether a name has at most maxNameBytes, all of them letters, digits, hyphens and underscores.
func isFieldName(name []byte) bool {
	if len(name) > maxNameBytes {
		return false
	}
	for _, c := range name {
		isLetter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
		if !isLetter && (c < '0' || c > '9') && c != '-' && c != '_' {
			return false
		}
	}
	return true
}

// eventLines is what is known of the lines of one event.
type eventLines struct {
	// first is the kind of the first line.
	first lineKind
	// counts holds the number of lines by kind.
	counts [lineHead + 1]int
	// hasData is set if a line is one of data, endsOdd if a line that is no field of events follows one that is.
	hasData, endsOdd bool
}

// add adds a line without its end.
func (l *eventLines) add(line []byte, kind lineKind) {
	if l.first == lineNone {
		l.first = kind
	}
	l.endsOdd = l.endsOdd || kind > lineField && l.counts[lineField] > 0
	l.hasData = l.hasData || bytes.HasPrefix(line, []byte("data"))
	l.counts[kind]++
}

// isForeign reports whether the lines are no event: one begins another answer, or none has a field of events or is a comment.
func (l *eventLines) isForeign() bool {
	return l.counts[lineHead] > 0 || l.first != lineNone && l.counts[lineField] == 0 && l.counts[lineComment] == 0
}

// beginsForeign reports whether the lines, maybe only the first ones of an event, begin like no event does. Then they may have
// begun before: with the end of the event before them, which is a broken one.
func (l *eventLines) beginsForeign() bool {
	return l.first == lineHead || l.first == lineText || l.first == lineOther && l.isForeign()
}
