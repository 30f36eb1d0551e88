package wire

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Protocol is the version of the messages between instances.
const Protocol = 1

// MaxFrameBytes bounds an encoded Frame.
const MaxFrameBytes = 16 << 20

// ErrUnknownField reports a message with a member that this version doesn't know. The message must be
// refused as a whole, since the member may change its meaning.
var ErrUnknownField = errors.New("wire: unknown field")

// ErrMalformed reports bytes that are no message of the expected type.
var ErrMalformed = errors.New("wire: malformed message")

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

func mustEncoder() cbor.EncMode {
	m, err := cbor.EncOptions{Sort: cbor.SortNone, ShortestFloat: cbor.ShortestFloat16}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

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

// Encode returns v as CBOR.
func Encode(v any) ([]byte, error) {
	b, err := encoder.Marshal(v)
	return b, errors.Wrap(err, "encode")
}

// Decode reads CBOR into v, a pointer. It returns ErrUnknownField for a member that v's type lacks and
// ErrMalformed for anything else that doesn't fit.
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
