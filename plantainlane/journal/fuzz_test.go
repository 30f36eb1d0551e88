package journal

import (
	"testing"

	"github.com/cockroachdb/errors"
)

// FuzzRecords opens a folder whose only segment holds two frames of arbitrary bytes: it is either read or
// refused as damaged, and what was read once is read again.
func FuzzRecords(f *testing.F) {
	fs := newMemory()
	j, _, err := Open(fs, "i", func(Synced) {})
	if err != nil {
		f.Fatal(err)
	}
	j.Close()
	identity := fs.files[identityName]
	f.Add([]byte{}, []byte{})
	f.Fuzz(func(t *testing.T, a, b []byte) {
		fs := newMemory()
		content := appendFrame(appendFrame(header(salt{}), salt{}, a), salt{}, b)
		fs.files[identityName] = identity
		fs.files[segmentName(1)] = &inode{data: content, synced: content}
		j, first, err := Open(fs, "i", func(Synced) {})
		if err != nil {
			if !errors.Is(err, ErrDamaged) {
				t.Fatal(err)
			}
			return
		}
		j.Close()
		j, second, err := Open(fs, "i", func(Synced) {})
		if err != nil {
			t.Fatalf("second open: %v", err)
		}
		j.Close()
		if !equalStart(first.Start, second.Start) || first.Replica != second.Replica {
			t.Fatalf("read %+v, then %+v", first, second)
		}
	})
}

// FuzzFrames reads arbitrary bytes as frames after a valid header.
func FuzzFrames(f *testing.F) {
	f.Add([]byte{}, true)
	f.Add(appendFrame(nil, salt{}, []byte("payload")), false)
	f.Add(append(appendFrame(nil, salt{}, nil), "plF1\xff\xff\xff\xff"...), true)
	f.Fuzz(func(t *testing.T, body []byte, tornTail bool) {
		payloads, err := readFrames("log", append(header(salt{}), body...), tornTail)
		if err != nil {
			return
		}
		again := header(salt{})
		for _, p := range payloads {
			again = appendFrame(again, salt{}, p)
		}
		if whole, err := readFrames("log", again, false); err != nil || len(whole) != len(payloads) {
			t.Fatalf("%d frames, then %d: %v", len(payloads), len(whole), err)
		}
	})
}
