package command

import (
	"fmt"
	"io"

	"plantainlane/wire"
	"plantainlane/wire/declaration"
)

// read reads and checks declarations.
func read(path string, check func(wire.Declarations) []declaration.Problem) (*declaration.Source, error) {
	source, err := declaration.Read(path)
	if err != nil {
		return nil, err
	}
	return source, source.Locate(check(source.Set))
}

// removed returns the declarations of current that set lacks.
func removed(current, set wire.Declarations) []wire.DeclarationName {
	names := []wire.DeclarationName{}
	for _, d := range declaration.Diff(current, set) {
		if d.Action == declaration.ActionRemove {
			names = append(names, wire.DeclarationName{Kind: d.Kind, Name: d.Name})
		}
	}
	return names
}

func printChanges(w io.Writer, changes []declaration.Change) {
	signs := map[string]string{
		declaration.ActionAdd:    "+",
		declaration.ActionChange: "~",
		declaration.ActionRemove: "-",
	}
	for _, d := range changes {
		fmt.Fprintf(w, "%s %s %s\n", signs[d.Action], d.Kind, d.Name)
		for _, f := range d.Fields {
			fmt.Fprintf(w, "    %s: %s -> %s\n", f.Field, dash(f.Old), dash(f.New))
		}
	}
}
