package wire

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// A message of a newer version can contain a field that this version doesn't know. It must be distinguished from bytes
// that aren't a message.
func TestDecode(t *testing.T) {
	type newerLeaseAnswer struct {
		Granted bool `cbor:"granted"`
		Surplus int  `cbor:"surplus"`
	}
	tests := map[string]struct {
		in   any
		want error
	}{
		"known fields":  {LeaseAnswer{Granted: true, Revision: 7}, nil},
		"unknown field": {newerLeaseAnswer{Granted: true, Surplus: 1}, ErrUnknownField},
		"other type":    {"text", ErrMalformed},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b, err := Encode(tt.in)
			is.NoErr(err)
			var got LeaseAnswer
			is.True(errors.Is(Decode(b, &got), tt.want))
		})
	}
}

// Heartbeats are frequent, and a Frame has a field for each type of message. Fields that aren't set must not be
// encoded.
func TestFrameEncodesOnlySetMembers(t *testing.T) {
	is := is.New(t)
	b, err := Encode(Frame{From: "a", Heartbeat: &Heartbeat{Sequence: 3}})
	is.NoErr(err)
	var got Frame
	is.NoErr(Decode(b, &got))
	is.Equal(got.Heartbeat.Sequence, 3)
	is.Equal(got.Consensus, nil)
	is.True(len(b) < 80)
}

// Any input must either be rejected or decode to a frame that can be encoded again.
func FuzzDecodeFrame(f *testing.F) {
	b, err := Encode(Frame{From: "a", LeaseRequest: &LeaseRequest{Sequence: 1}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, in []byte) {
		var got Frame
		if Decode(in, &got) != nil {
			return
		}
		if _, err := Encode(got); err != nil {
			t.Fatal(err)
		}
	})
}
