package declaration

import (
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"plantainlane/wire"
	"plantainlane/wire/jsonc"
)

// ErrNoFile reports a folder without a file of declarations.
var ErrNoFile = errors.New("declaration: folder holds no .json or .jsonc file")

// Source is a set of declarations and the files that it was read from.
type Source struct {
	// Set holds the declarations of all files, with defaults filled in.
	Set wire.Declarations
	// parts are in the order in which their declarations stand in Set.
	parts []part
}

type part struct {
	doc *jsonc.Document
	set wire.Declarations
}

// Read reads a file, or every .json and .jsonc file in a folder and the folders below it whose name
// doesn't start with a dot, in order of their paths. Besides errors of reading the files, it returns
// a *jsonc.Error. Check the set afterwards.
func Read(path string) (*Source, error) {
	files, err := find(path)
	if err != nil {
		return nil, err
	}
	s := &Source{Set: Empty()}
	var problems []jsonc.Problem
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			return nil, errors.Wrap(err, "read declarations")
		}
		err = s.add(f, text)
		var found *jsonc.Error
		switch {
		case errors.Is(err, jsonc.ErrMalformed):
			return nil, err
		case errors.As(err, &found):
			problems = append(problems, found.Problems...)
		}
	}
	return s, jsonc.NewError(problems)
}

// Locate returns an error that names file and line of each problem in s.Set, or nil if there is none.
func (s *Source) Locate(problems []Problem) error {
	var located []jsonc.Problem
	for _, p := range problems {
		located = append(located, s.locate(p))
	}
	return jsonc.NewError(located)
}

func (s *Source) add(file string, text []byte) error {
	doc, err := jsonc.Parse(file, text)
	if err != nil {
		return err
	}
	var set wire.Declarations
	err = doc.Decode(&set, Defaults()...)
	s.parts = append(s.parts, part{doc, set})
	s.Set.Contracts = append(s.Set.Contracts, set.Contracts...)
	s.Set.Models = append(s.Set.Models, set.Models...)
	s.Set.Pipelines = append(s.Set.Pipelines, set.Pipelines...)
	s.Set.UpstreamPolicies = append(s.Set.UpstreamPolicies, set.UpstreamPolicies...)
	return err
}

func (s *Source) locate(p Problem) jsonc.Problem {
	for _, part := range s.parts {
		n := count(part.set, p.Kind)
		if p.Index < n {
			return part.doc.Problem(p.Path(), p.Expected, p.Found)
		}
		p.Index -= n
	}
	return jsonc.Problem{Field: p.Path(), Expected: p.Expected, Found: p.Found}
}

func count(set wire.Declarations, kind string) int {
	switch kind {
	case KindContract:
		return len(set.Contracts)
	case KindModel:
		return len(set.Models)
	case KindPipeline:
		return len(set.Pipelines)
	}
	return len(set.UpstreamPolicies)
}

func find(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Wrap(err, "read declarations")
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	var files []string
	err = filepath.WalkDir(path, func(p string, e fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case p != path && strings.HasPrefix(e.Name(), "."):
			if e.IsDir() {
				return filepath.SkipDir
			}
		case !e.IsDir() && slices.Contains([]string{".json", ".jsonc"}, filepath.Ext(p)):
			files = append(files, p)
		}
		return nil
	})
	if err == nil && len(files) == 0 {
		err = errors.Wrap(ErrNoFile, path)
	}
	return files, errors.Wrap(err, "read declarations")
}
