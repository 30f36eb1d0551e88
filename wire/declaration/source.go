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

// ErrNoFile reports a folder that contains no file of declarations.
var ErrNoFile = errors.New("declaration: folder holds no .json or .jsonc file")

// Source is a set of declarations together with the files that it was read from, so that problems in the set can be
// located in the files.
type Source struct {
	// Set holds the declarations of all files, with defaults filled in.
	Set wire.Declarations
	// files are in the order of their declarations in Set.
	files []sourceFile
}

// sourceFile is one parsed file and its declarations.
type sourceFile struct {
	doc *jsonc.Document
	set wire.Declarations
}

// Read reads files, or all .json and .jsonc files in folders and their subfolders, in the order of their paths. Files
// and subfolders whose names start with a dot are skipped. It returns ErrNoFile for a folder without such files, an
// error of package os if a file can't be read, or a *jsonc.Error. It doesn't check the declarations: the caller should
// pass Set to Check and the result to Locate.
func Read(paths ...string) (*Source, error) {
	var files []string
	for _, path := range paths {
		found, err := findFiles(path)
		if err != nil {
			return nil, err
		}
		files = append(files, found...)
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

// Locate returns a *jsonc.Error that names the file and line of each of the given problems in s.Set, or nil if there
// are no problems.
func (s *Source) Locate(problems []Problem) error {
	var located []jsonc.Problem
	for _, p := range problems {
		located = append(located, s.locate(p))
	}
	return jsonc.NewError(located)
}

// LocateFinding returns the file and line of a finding in s.Set. A finding about a declaration that isn't in s.Set has
// neither.
func (s *Source) LocateFinding(f Finding) jsonc.Problem {
	if f.Index < count(s.Set, f.Kind) {
		return s.locate(f.Problem)
	}
	return jsonc.Problem{Field: f.Field, Expected: f.Expected, Found: f.Found}
}

// add parses a file and appends its declarations to the set.
func (s *Source) add(file string, text []byte) error {
	doc, err := jsonc.Parse(file, text)
	if err != nil {
		return err
	}
	var set wire.Declarations
	err = doc.Decode(&set, Defaults()...)
	s.files = append(s.files, sourceFile{doc, set})
	s.Set.Contracts = append(s.Set.Contracts, set.Contracts...)
	s.Set.Models = append(s.Set.Models, set.Models...)
	s.Set.Pipelines = append(s.Set.Pipelines, set.Pipelines...)
	s.Set.UpstreamPolicies = append(s.Set.UpstreamPolicies, set.UpstreamPolicies...)
	return err
}

// locate returns the problem with its file and line. Problems count positions in the whole set; locate converts them to
// the position in the file.
func (s *Source) locate(p Problem) jsonc.Problem {
	for _, file := range s.files {
		n := count(file.set, p.Kind)
		if p.Index < n {
			return file.doc.Problem(p.Path(), p.Expected, p.Found)
		}
		p.Index -= n
	}
	return jsonc.Problem{Field: p.Path(), Expected: p.Expected, Found: p.Found}
}

// count returns the number of declarations of a kind in a set.
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

// findFiles returns the files that Read reads for a path.
func findFiles(path string) ([]string, error) {
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
