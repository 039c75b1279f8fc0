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
	// maxPayloadBytes is the size of the largest payload that decodeFrame accepts.
	maxPayloadBytes = 1 << 30
)

// frameState is the result of decoding a frame.
type frameState int

const (
	frameValid frameState = iota
	// frameTorn means that the frame is incomplete, or invalid with no valid frame
	// after it, as an interrupted write leaves it. A complete last frame whose
	// content has changed since looks the same.
	frameTorn
	// frameCorrupt means that the frame is invalid and an incomplete write cannot
	// be the cause.
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

// classifyInvalidFrame returns frameCorrupt if a valid frame follows the invalid
// one at the start of rest, and frameTorn otherwise. Each frame is synced before
// the next is written, so only the last one can be incomplete.
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
