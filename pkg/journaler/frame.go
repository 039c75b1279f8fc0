package journaler

import (
	"encoding/binary"
	"hash/crc32"
)

const (
	// headerBytes is the size of a frame header, three little-endian 32-bit
	// integers: the length of the payload, the CRC-32C of the payload, and the
	// CRC-32C of the first eight bytes of the header.
	headerBytes = 12
	// maxPayloadBytes is the longest payload that decodeFrame accepts.
	maxPayloadBytes = 1 << 30
)

// frameState is the result of decoding a frame.
type frameState int

const (
	frameValid frameState = iota
	// frameTorn is the last frame of a file if its write did not complete.
	frameTorn
	// frameCorrupt is an invalid frame that an incomplete write cannot explain.
	frameCorrupt
)

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// EncodeFrame returns the payload with a frame header in front of it.
func EncodeFrame(payload []byte) []byte {
	frame := make([]byte, headerBytes, headerBytes+len(payload))
	binary.LittleEndian.PutUint32(frame[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(frame[4:], crc32.Checksum(payload, castagnoliTable))
	binary.LittleEndian.PutUint32(frame[8:], crc32.Checksum(frame[:8], castagnoliTable))
	return append(frame, payload...)
}

// decodeFrame decodes the frame at the start of rest, the remaining content of a
// file, and returns its payload, which shares memory with rest. The payload is
// nil unless the state is frameValid.
func decodeFrame(rest []byte) ([]byte, frameState) {
	if len(rest) < headerBytes {
		return nil, frameTorn
	}
	if crc32.Checksum(rest[:8], castagnoliTable) != binary.LittleEndian.Uint32(rest[8:]) {
		return nil, classifyInvalidFrame(rest)
	}
	length := int(binary.LittleEndian.Uint32(rest[0:]))
	if length > maxPayloadBytes {
		return nil, frameCorrupt
	}
	if len(rest) < headerBytes+length {
		return nil, frameTorn
	}
	payload := rest[headerBytes : headerBytes+length]
	if crc32.Checksum(payload, castagnoliTable) == binary.LittleEndian.Uint32(rest[4:]) {
		return payload, frameValid
	}
	if len(rest) == headerBytes+length {
		return nil, frameTorn
	}
	return nil, classifyInvalidFrame(rest)
}

// classifyInvalidFrame tells a torn tail from corruption. rest begins with an
// invalid frame. Each frame is written and synced before the next, so a valid
// frame anywhere after it rules out an incomplete write.
func classifyInvalidFrame(rest []byte) frameState {
	for offset := 1; offset+headerBytes <= len(rest); offset++ {
		candidate := rest[offset:]
		if crc32.Checksum(candidate[:8], castagnoliTable) != binary.LittleEndian.Uint32(candidate[8:]) {
			continue
		}
		length := int(binary.LittleEndian.Uint32(candidate))
		if length == 0 || headerBytes+length > len(candidate) {
			continue
		}
		payload := candidate[headerBytes : headerBytes+length]
		if crc32.Checksum(payload, castagnoliTable) == binary.LittleEndian.Uint32(candidate[4:]) {
			return frameCorrupt
		}
	}
	return frameTorn
}
