// Package wire holds the types that plantainlane's processes, callers, upstreams and operators
// exchange. They are generated from schema/wire.json; the codec beside them is CBOR between
// instances and JSON everywhere else.
package wire

//go:generate go-jsonschema --only-models --tags json,cbor --capitalization ID,HLC,TTL,SHA256 -p wire -o types.go schema/wire.json
//go:generate go run ./typedoc
