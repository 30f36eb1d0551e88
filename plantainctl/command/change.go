package command

import (
	"fmt"
	"io"

	"plantainlane/wire"
	"plantainlane/wire/declaration"
)

// readDeclarations reads the declarations of the file or folder at path and checks them with check. The problems found
// are returned as one error that holds their files and lines.
func readDeclarations(path string, check func(wire.Declarations) []declaration.Problem) (*declaration.Source, error) {
	source, err := declaration.Read(path)
	if err != nil {
		return nil, err
	}
	return source, source.Locate(check(source.Set))
}

// missingNames returns the names of the declarations of current that set lacks.
func missingNames(current, set wire.Declarations) []wire.DeclarationName {
	names := []wire.DeclarationName{}
	for _, d := range declaration.Diff(current, set) {
		if d.Action == declaration.ActionRemove {
			names = append(names, wire.DeclarationName{Kind: d.Kind, Name: d.Name})
		}
	}
	return names
}

// printChanges prints one line for each change, with the sign + (add), ~ (change) or - (remove), and below it one line
// for each changed field.
func printChanges(w io.Writer, changes []declaration.Change) {
	signs := map[string]string{
		declaration.ActionAdd:    "+",
		declaration.ActionChange: "~",
		declaration.ActionRemove: "-",
	}
	for _, d := range changes {
		fmt.Fprintf(w, "%s %s %s\n", signs[d.Action], d.Kind, d.Name)
		for _, f := range d.Fields {
			fmt.Fprintf(w, "    %s: %s -> %s\n", f.Field, orDash(f.Old), orDash(f.New))
		}
	}
}
