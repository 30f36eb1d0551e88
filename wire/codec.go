package wire

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Protocol is the version of the protocol between instances.
const Protocol = 1

// MaxFrameBytes is the largest size of an encoded Frame, in bytes.
const MaxFrameBytes = 16 << 20

// ErrUnknownField reports a message with a field that this version doesn't know. The whole message must be rejected,
// since the field may change the meaning of the others.
var ErrUnknownField = errors.New("wire: unknown field")

// ErrMalformed reports bytes that don't encode a message of the expected type.
var ErrMalformed = errors.New("wire: malformed message")

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

// mustEncoder returns the mode of Encode: fields keep their order, and floats take the shortest form that keeps their
// value.
func mustEncoder() cbor.EncMode {
	m, err := cbor.EncOptions{Sort: cbor.SortNone, ShortestFloat: cbor.ShortestFloat16}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

// mustDecoder returns the mode of Decode: it rejects unknown and repeated fields, and limits the number of elements of
// arrays and maps and the depth of nesting.
func mustDecoder() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxArrayElements:  1 << 20,
		MaxMapPairs:       1 << 16,
		MaxNestedLevels:   32,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Encode encodes v as CBOR. Struct fields are encoded in the order of their declaration.
func Encode(v any) ([]byte, error) {
	b, err := encoder.Marshal(v)
	return b, errors.Wrap(err, "encode")
}

// Decode decodes CBOR into v, which must be a pointer. It returns an error that is ErrUnknownField if the message has a
// field that v's type doesn't have, and one that is ErrMalformed for any other invalid input.
func Decode(b []byte, v any) error {
	err := decoder.Unmarshal(b, v)
	if err == nil {
		return nil
	}
	var unknown *cbor.UnknownFieldError
	if errors.As(err, &unknown) {
		return errors.Mark(errors.Wrap(err, "decode"), ErrUnknownField)
	}
	return errors.Mark(errors.Wrap(err, "decode"), ErrMalformed)
}
