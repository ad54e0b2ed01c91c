package wal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// A frame is the unit of writing: one batch, written and synced at once. Its
// layout is a magic byte, the length of the payload, the CRC-32C of the payload,
// the CRC-32C of these fields and of the frame's offset, the payload and an end
// byte. The magic and end bytes are not zero. Otherwise the first or last part of
// an intact frame, up to a sector boundary, could be all zeros and be mistaken for
// an unwritten sector (see hasZeroSector). The offset is in the checksum, so that a
// copy of a frame inside a payload is not mistaken for a frame.
const (
	frameMagic  = 0xb7
	frameEnd    = 0xa5
	headerBytes = 1 + 4 + 4 + 4
	sectorBytes = 512 // the smallest unit that a disk writes atomically
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// CorruptError reports damage that a crash can't have caused, or a record that can't
// be decoded because another version of this package has written it. The log must not
// be used, since acknowledged records may be lost.
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
	b = binary.LittleEndian.AppendUint32(b, headerChecksum(b[start:], offset))
	b = append(b, payload...)
	return append(b, frameEnd)
}

// headerChecksum returns the checksum of the header fields before it and of the
// offset.
func headerChecksum(fields []byte, offset int64) uint32 {
	var offsetBytes [8]byte
	binary.LittleEndian.PutUint64(offsetBytes[:], uint64(offset))
	return crc32.Update(crc32.Checksum(offsetBytes[:], castagnoli), castagnoli, fields)
}

// frameState is the result of reading a frame at an offset of a file.
type frameState uint8

const (
	frameIntact    frameState = iota
	frameTruncated            // the file ends before the frame does
	frameCorrupt              // a checksum, the magic byte or the end byte is wrong
)

// readFrame reads the frame at offset. next is the offset after the frame.
func readFrame(data []byte, offset int64) (payload []byte, next int64, state frameState) {
	rest := data[offset:]
	if len(rest) < headerBytes {
		return nil, 0, frameTruncated
	}
	checksum := binary.LittleEndian.Uint32(rest[9:headerBytes])
	if rest[0] != frameMagic || headerChecksum(rest[:9], offset) != checksum {
		return nil, 0, frameCorrupt
	}
	size := int64(binary.LittleEndian.Uint32(rest[1:5]))
	next = offset + headerBytes + size + 1
	if next > int64(len(data)) {
		return nil, 0, frameTruncated
	}
	payload = rest[headerBytes : headerBytes+size]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(rest[5:9]) || data[next-1] != frameEnd {
		return nil, next, frameCorrupt
	}
	return payload, next, frameIntact
}

// isTornWrite reports whether the frame at offset, which is not intact, is left
// over from a write that was never acknowledged: no intact frame follows it, and
// it is either truncated or has a sector that was never written, which is all zeros.
// A complete last frame with a wrong checksum and without such a sector does not
// qualify, since it is damage to a record that may have been acknowledged.
func isTornWrite(data []byte, offset int64, state frameState) bool {
	for position := offset + 1; position < int64(len(data)); position++ {
		if data[position] != frameMagic {
			continue
		}
		if _, _, s := readFrame(data, position); s == frameIntact {
			return false
		}
	}
	return state == frameTruncated || hasZeroSector(data, offset)
}

// hasZeroSector reports whether a sector from offset on holds only zeros, which
// means that it was never written. The part of a sector after offset counts as a
// sector.
func hasZeroSector(data []byte, offset int64) bool {
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
