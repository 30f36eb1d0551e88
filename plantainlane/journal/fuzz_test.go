package journal

import (
	"testing"

	"github.com/cockroachdb/errors"
)

// FuzzRecords opens a folder whose only segment holds two frames of arbitrary bytes. Open must either read the segment
// or return ErrDamaged. If it reads the segment, a second Open must read the same.
func FuzzRecords(f *testing.F) {
	fs := newMemoryFS()
	j, _, err := Open(fs, "i", func(Synced) {})
	if err != nil {
		f.Fatal(err)
	}
	j.Close()
	identity := fs.files[identityName]
	f.Add([]byte{}, []byte{})
	f.Fuzz(func(t *testing.T, a, b []byte) {
		fs := newMemoryFS()
		content := appendFrame(appendFrame(newHeader(salt{}), salt{}, a), salt{}, b)
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
			t.Fatalf("first open read %+v, second open read %+v", first, second)
		}
	})
}

// FuzzFrames reads arbitrary bytes as frames after a valid header. The payloads that are read must be readable after
// they are encoded again.
func FuzzFrames(f *testing.F) {
	f.Add([]byte{}, true)
	f.Add(appendFrame(nil, salt{}, []byte("payload")), false)
	f.Add(append(appendFrame(nil, salt{}, nil), "plF1\xff\xff\xff\xff"...), true)
	f.Fuzz(func(t *testing.T, body []byte, tornTail bool) {
		payloads, err := readFrames("log", append(newHeader(salt{}), body...), tornTail)
		if err != nil {
			return
		}
		reencoded := newHeader(salt{})
		for _, p := range payloads {
			reencoded = appendFrame(reencoded, salt{}, p)
		}
		if decoded, err := readFrames("log", reencoded, false); err != nil || len(decoded) != len(payloads) {
			t.Fatalf("read %d frames, after encoding them again %d: %v", len(payloads), len(decoded), err)
		}
	})
}
