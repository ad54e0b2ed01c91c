package wal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// A frame is the unit of writing: one batch, written and synced at once. Its
// layout is a magic byte, the length of the payload, the CRC-32C of the payload,
// the CRC-32C of these fields and of the frame's offset, the payload and an end
// byte. The magic and end bytes are not zero, so that no intact frame has an
// all-zero part at its edges (see unwritten). The offset is in the checksum, so
// that a copy of a frame inside a payload is not taken for a frame.
const (
	frameMagic  = 0xb7
	frameEnd    = 0xa5
	headerBytes = 1 + 4 + 4 + 4
	sectorBytes = 512 // the smallest part that a disk writes as a whole
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// CorruptError reports damage that a crash can't explain. The log must not be
// used: records that were acknowledged may be lost.
type CorruptError struct {
	File    string
	Offset  int64
	Problem string
}

// Error returns the file, the offset and the problem.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("wal: %s: offset %d: %s", e.File, e.Offset, e.Problem)
}

func appendFrame(b []byte, offset int64, payload []byte) []byte {
	start := len(b)
	b = append(b, frameMagic)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(payload, castagnoli))
	b = binary.LittleEndian.AppendUint32(b, headerSum(b[start:], offset))
	b = append(b, payload...)
	return append(b, frameEnd)
}

// headerSum returns the checksum of the fields before it and of the offset.
func headerSum(fields []byte, offset int64) uint32 {
	var at [8]byte
	binary.LittleEndian.PutUint64(at[:], uint64(offset))
	return crc32.Update(crc32.Checksum(at[:], castagnoli), castagnoli, fields)
}

// frameState tells what is at an offset of a file.
type frameState uint8

const (
	frameIntact  frameState = iota
	frameShort              // the file ends before the frame does
	frameDamaged            // a checksum is wrong
)

// frameAt reads the frame at offset. next is the offset after it.
func frameAt(data []byte, offset int64) (payload []byte, next int64, state frameState) {
	rest := data[offset:]
	if len(rest) < headerBytes {
		return nil, 0, frameShort
	}
	sum := binary.LittleEndian.Uint32(rest[9:headerBytes])
	if rest[0] != frameMagic || headerSum(rest[:9], offset) != sum {
		return nil, 0, frameDamaged
	}
	size := int64(binary.LittleEndian.Uint32(rest[1:5]))
	next = offset + headerBytes + size + 1
	if next > int64(len(data)) {
		return nil, 0, frameShort
	}
	payload = rest[headerBytes : headerBytes+size]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(rest[5:9]) || data[next-1] != frameEnd {
		return nil, next, frameDamaged
	}
	return payload, next, frameIntact
}

// torn reports whether the frame at offset, which is not intact, is the rest of
// a write that was never acknowledged: no intact frame follows it, and it is
// either cut off or has a sector that was never written. A complete last frame
// with a wrong checksum is damage to a record that may have been acknowledged.
func torn(data []byte, offset int64, state frameState) bool {
	for at := offset + 1; at < int64(len(data)); at++ {
		if data[at] != frameMagic {
			continue
		}
		if _, _, s := frameAt(data, at); s == frameIntact {
			return false
		}
	}
	return state == frameShort || unwritten(data, offset)
}

// unwritten reports whether a sector from offset on holds only zeros.
func unwritten(data []byte, offset int64) bool {
	for offset < int64(len(data)) {
		end := min((offset/sectorBytes+1)*sectorBytes, int64(len(data)))
		if allZero(data[offset:end]) {
			return true
		}
		offset = end
	}
	return false
}

func allZero(b []byte) bool {
	for _, c := range b {
		if c != 0 {
			return false
		}
	}
	return true
}
