// Package delta encodes a text as its differences from an earlier one.
package delta

import (
	"encoding/binary"
	"errors"
)

// An encoded difference is a sequence of operations. Each is a varint: a negative one
// -n is followed by n literal bytes, and a positive one n by the offset in the old text
// from which n bytes are copied.

// blockBytes is the length of the blocks of the old text that are looked up in the new
// one. A shorter common part is not found.
const blockBytes = 32

var errMalformed = errors.New("delta: malformed difference")

// Make returns the differences between two texts, from which Apply makes the new one.
func Make(old, updated []byte) []byte {
	blocks := indexBlocks(old)
	var out []byte
	literal := 0 // start of the bytes that are not encoded yet
	for at := 0; at+blockBytes <= len(updated); {
		offset, ok := blocks[hashOf(updated[at:])]
		if !ok {
			at++
			continue
		}
		n := commonPrefix(old[offset:], updated[at:])
		if n < blockBytes { // blocks with the same hash
			at++
			continue
		}
		back := commonSuffix(old[:offset], updated[literal:at])
		out = appendLiteral(out, updated[literal:at-back])
		out = binary.AppendVarint(out, int64(n+back))
		out = binary.AppendUvarint(out, uint64(offset-back))
		at += n
		literal = at
	}
	return appendLiteral(out, updated[literal:])
}

// Apply returns the new text for the old one. It returns an error if the difference is
// malformed, does not fit to the old text, or makes a text longer than maxBytes.
func Apply(old, difference []byte, maxBytes int) ([]byte, error) {
	var out []byte
	for len(difference) > 0 {
		n, size := binary.Varint(difference)
		if size <= 0 || n == 0 {
			return nil, errMalformed
		}
		difference = difference[size:]
		if n < -int64(maxBytes-len(out)) || n > int64(maxBytes-len(out)) {
			return nil, errors.New("delta: the new text is too long")
		}
		if n < 0 {
			if int64(len(difference)) < -n {
				return nil, errMalformed
			}
			out = append(out, difference[:-n]...)
			difference = difference[-n:]
			continue
		}
		offset, size := binary.Uvarint(difference)
		if size <= 0 || offset > uint64(len(old)) || uint64(n) > uint64(len(old))-offset {
			return nil, errMalformed
		}
		difference = difference[size:]
		out = append(out, old[offset:offset+uint64(n)]...)
	}
	return out, nil
}

// blockHash is the content of a block in a form that is fast to look up. Blocks with
// the same hash may differ.
type blockHash [2]uint64

// hashOf returns the hash of the first blockBytes bytes of text.
func hashOf(text []byte) blockHash {
	a := binary.LittleEndian.Uint64(text)
	b := binary.LittleEndian.Uint64(text[8:])
	c := binary.LittleEndian.Uint64(text[16:])
	d := binary.LittleEndian.Uint64(text[24:])
	return blockHash{a ^ c*0x9e3779b97f4a7c15, b ^ d*0xc2b2ae3d27d4eb4f}
}

// indexBlocks returns the offset of the first block with each hash.
func indexBlocks(text []byte) map[blockHash]int {
	blocks := make(map[blockHash]int, len(text)/blockBytes)
	for offset := 0; offset+blockBytes <= len(text); offset += blockBytes {
		h := hashOf(text[offset:])
		if _, ok := blocks[h]; !ok {
			blocks[h] = offset
		}
	}
	return blocks
}

func commonPrefix(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

func commonSuffix(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[len(a)-1-i] != b[len(b)-1-i] {
			return i
		}
	}
	return n
}

func appendLiteral(out, text []byte) []byte {
	if len(text) == 0 {
		return out
	}
	out = binary.AppendVarint(out, -int64(len(text)))
	return append(out, text...)
}
