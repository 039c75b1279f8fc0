package journaler

import (
	"encoding/binary"
	"hash/crc32"
)

const (
	// headerBytes is the size of a frame's header: payload length, checksum of
	// the payload and checksum of the first two, four bytes each.
	headerBytes = 12
	// maximumFrameBytes bounds one frame.
	maximumFrameBytes = 1 << 30
)

// frameState says what stands at an offset of a file.
type frameState int

const (
	frameWhole frameState = iota
	// frameTorn is a frame whose write did not complete.
	frameTorn
	// frameDamaged is a frame that is neither whole nor explained by a write that did not complete.
	frameDamaged
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// EncodeFrame returns the payload with its header.
func EncodeFrame(payload []byte) []byte {
	frame := make([]byte, headerBytes, headerBytes+len(payload))
	binary.LittleEndian.PutUint32(frame[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(frame[4:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(frame[8:], crc32.Checksum(frame[:8], castagnoli))
	return append(frame, payload...)
}

// decodeFrame reads the frame at the start of rest and returns its payload.
func decodeFrame(rest []byte) ([]byte, frameState) {
	if len(rest) < headerBytes {
		return nil, frameTorn
	}
	if crc32.Checksum(rest[:8], castagnoli) != binary.LittleEndian.Uint32(rest[8:]) {
		return nil, stateOfBrokenFrame(rest)
	}
	length := int(binary.LittleEndian.Uint32(rest[0:]))
	if length > maximumFrameBytes {
		return nil, frameDamaged
	}
	if len(rest) < headerBytes+length {
		return nil, frameTorn
	}
	payload := rest[headerBytes : headerBytes+length]
	if crc32.Checksum(payload, castagnoli) == binary.LittleEndian.Uint32(rest[4:]) {
		return payload, frameWhole
	}
	if len(rest) == headerBytes+length {
		return nil, frameTorn
	}
	return nil, stateOfBrokenFrame(rest)
}

// stateOfBrokenFrame separates a torn tail from damage: every frame is one
// synced write, so nothing whole can follow a write that did not complete.
func stateOfBrokenFrame(rest []byte) frameState {
	for offset := 1; offset+headerBytes <= len(rest); offset++ {
		later := rest[offset:]
		if crc32.Checksum(later[:8], castagnoli) != binary.LittleEndian.Uint32(later[8:]) {
			continue
		}
		length := int(binary.LittleEndian.Uint32(later))
		if length == 0 || headerBytes+length > len(later) {
			continue
		}
		payload := later[headerBytes : headerBytes+length]
		if crc32.Checksum(payload, castagnoli) == binary.LittleEndian.Uint32(later[4:]) {
			return frameDamaged
		}
	}
	return frameTorn
}
