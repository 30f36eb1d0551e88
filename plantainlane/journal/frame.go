package journal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/cockroachdb/errors"
)

// ErrDamaged reports a file whose content isn't what was synced. The replica must not run on it.
var ErrDamaged = errors.New("journal: file is damaged")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

const (
	frameMark       = "plF1"
	frameHeaderSize = 12
	saltSize        = 8
	headerMark      = "plS1"
	headerSize      = 4 + saltSize + 4
	// maxPayloadBytes bounds a frame.
	maxPayloadBytes = 1 << 30
)

type salt [saltSize]byte

// header returns the header of a file whose frames use the salt.
func header(s salt) []byte {
	b := append([]byte(headerMark), s[:]...)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

// readHeader returns the salt, and false if the header doesn't check.
func readHeader(b []byte) (salt, bool) {
	var s salt
	if len(b) < headerSize || string(b[:len(headerMark)]) != headerMark {
		return s, false
	}
	copy(s[:], b[len(headerMark):])
	sum := binary.LittleEndian.Uint32(b[headerSize-4:])
	return s, crc32.Checksum(b[:headerSize-4], castagnoli) == sum
}

func frameSum(s salt, payload []byte) uint32 {
	var size [4]byte
	binary.LittleEndian.PutUint32(size[:], uint32(len(payload)))
	sum := crc32.Update(0, castagnoli, s[:])
	sum = crc32.Update(sum, castagnoli, size[:])
	return crc32.Update(sum, castagnoli, payload)
}

// appendFrame appends a frame around a payload.
func appendFrame(b []byte, s salt, payload []byte) []byte {
	b = append(b, frameMark...)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint32(b, frameSum(s, payload))
	return append(b, payload...)
}

// readFrame returns the payload of the frame at the start of b, and false if there is none that checks.
func readFrame(b []byte, s salt) ([]byte, bool) {
	if len(b) < frameHeaderSize || string(b[:len(frameMark)]) != frameMark {
		return nil, false
	}
	size := int64(binary.LittleEndian.Uint32(b[4:]))
	if size > maxPayloadBytes || size > int64(len(b)-frameHeaderSize) {
		return nil, false
	}
	payload := b[frameHeaderSize : frameHeaderSize+size]
	return payload, frameSum(s, payload) == binary.LittleEndian.Uint32(b[8:])
}

// hasFrame tells whether a frame that checks starts anywhere in b.
func hasFrame(b []byte, s salt) bool {
	for {
		at := bytes.Index(b, []byte(frameMark))
		if at < 0 {
			return false
		}
		if _, ok := readFrame(b[at:], s); ok {
			return true
		}
		b = b[at+1:]
	}
}

// readFrames returns the payloads in a file. With tornTail, a last frame that doesn't check is left out;
// anything else that doesn't check is ErrDamaged.
func readFrames(name string, b []byte, tornTail bool) ([][]byte, error) {
	s, ok := readHeader(b)
	if !ok {
		if tornTail && len(b) <= headerSize {
			return nil, nil
		}
		return nil, errors.Wrapf(ErrDamaged, "%s: header", name)
	}
	var payloads [][]byte
	at := headerSize
	for at < len(b) {
		payload, ok := readFrame(b[at:], s)
		if ok {
			payloads = append(payloads, payload)
			at += frameHeaderSize + len(payload)
			continue
		}
		if tornTail && !hasFrame(b[at+1:], s) {
			return payloads, nil
		}
		return nil, errors.Wrapf(ErrDamaged, "%s: frame at byte %d", name, at)
	}
	return payloads, nil
}
