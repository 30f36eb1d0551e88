package journal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/cockroachdb/errors"
)

// ErrDamaged reports that a file is missing or doesn't hold what was synced. The replica must not run on such a folder.
var ErrDamaged = errors.New("journal: file is damaged")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

const (
	// frameMagic starts each frame, before the length and the checksum of the payload.
	frameMagic = "plF1"
	// frameHeaderSize is the size of a frame without its payload, in bytes.
	frameHeaderSize = 12
	// saltSize is the size of a salt, in bytes.
	saltSize = 8
	// headerMagic starts each file, before the salt and a checksum of both.
	headerMagic = "plS1"
	// headerSize is the size of a file's header, in bytes.
	headerSize = 4 + saltSize + 4
	// maxPayloadBytes is the maximum length of a frame's payload, in bytes.
	maxPayloadBytes = 1 << 30
)

// salt is the random value that the checksums of a file's frames include. Frames of another file, or of a deleted file
// of the same name, are therefore invalid.
type salt [saltSize]byte

// newHeader returns the header of a file whose frames use the salt.
func newHeader(s salt) []byte {
	b := append([]byte(headerMagic), s[:]...)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

// readHeader returns the salt in the header at the start of b, and false if the header is invalid.
func readHeader(b []byte) (salt, bool) {
	var s salt
	if len(b) < headerSize || string(b[:len(headerMagic)]) != headerMagic {
		return s, false
	}
	copy(s[:], b[len(headerMagic):])
	checksum := binary.LittleEndian.Uint32(b[headerSize-4:])
	return s, crc32.Checksum(b[:headerSize-4], castagnoli) == checksum
}

// frameChecksum returns the CRC-32C over the salt, the payload's length and the payload.
func frameChecksum(s salt, payload []byte) uint32 {
	var size [4]byte
	binary.LittleEndian.PutUint32(size[:], uint32(len(payload)))
	checksum := crc32.Update(0, castagnoli, s[:])
	checksum = crc32.Update(checksum, castagnoli, size[:])
	return crc32.Update(checksum, castagnoli, payload)
}

// appendFrame appends a frame with the payload to b.
func appendFrame(b []byte, s salt, payload []byte) []byte {
	b = append(b, frameMagic...)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint32(b, frameChecksum(s, payload))
	return append(b, payload...)
}

// readFrame returns the payload of the frame at the start of b, and false if no valid frame starts there.
func readFrame(b []byte, s salt) ([]byte, bool) {
	if len(b) < frameHeaderSize || string(b[:len(frameMagic)]) != frameMagic {
		return nil, false
	}
	size := int64(binary.LittleEndian.Uint32(b[4:]))
	if size > maxPayloadBytes || size > int64(len(b)-frameHeaderSize) {
		return nil, false
	}
	payload := b[frameHeaderSize : frameHeaderSize+size]
	return payload, frameChecksum(s, payload) == binary.LittleEndian.Uint32(b[8:])
}

// containsFrame reports whether a valid frame starts anywhere in b.
func containsFrame(b []byte, s salt) bool {
	for {
		offset := bytes.Index(b, []byte(frameMagic))
		if offset < 0 {
			return false
		}
		if _, ok := readFrame(b[offset:], s); ok {
			return true
		}
		b = b[offset+1:]
	}
}

// readFrames returns the payloads in a file. With tornTail, an incomplete write is ignored: an invalid header without
// bytes after it, or an invalid frame without a valid frame after it. readFrames returns ErrDamaged for any other
// invalid header or frame. name is the file's name for the error.
func readFrames(name string, b []byte, tornTail bool) ([][]byte, error) {
	fileSalt, ok := readHeader(b)
	if !ok {
		if tornTail && len(b) <= headerSize {
			return nil, nil
		}
		return nil, errors.Wrapf(ErrDamaged, "%s: invalid header", name)
	}
	var payloads [][]byte
	offset := headerSize
	for offset < len(b) {
		payload, ok := readFrame(b[offset:], fileSalt)
		if ok {
			payloads = append(payloads, payload)
			offset += frameHeaderSize + len(payload)
			continue
		}
		if tornTail && !containsFrame(b[offset+1:], fileSalt) {
			return payloads, nil
		}
		return nil, errors.Wrapf(ErrDamaged, "%s: invalid frame at byte %d", name, offset)
	}
	return payloads, nil
}
