// Package wire holds the types of the messages between plantainlane's processes, callers, upstreams and operators.
// They are generated from schema/wire.json. Messages between instances are encoded as CBOR, all others as JSON.
package wire

//go:generate go-jsonschema --only-models --tags json,cbor --capitalization ID,HLC,TTL,SHA256 -p wire -o types.go schema/wire.json
//go:generate go run ./typedoc
