package controlstate

import "hash/maphash"

// indexSeed keeps callers from choosing keys that fall on the same slots. The
// order of slots never shows in results, so nodes may differ in it.
var indexSeed = maphash.MakeSeed()

func indexHash[K comparable](key K) uint64 { return maphash.Comparable(indexSeed, key) }

// index finds positions of a queue by the hashes of their rows. It uses linear
// probing. A slot has four bytes: a mark, some bits of the hash that spare most
// looks at rows, and the position.
type index struct {
	slots []uint32 // zero if free; the length is a power of two
	n     int
}

const (
	slotUsed   = 1 << 31
	minSlots   = 64
	slotHashes = slotUsed - 1<<posBits // bits of the hash in a slot
)

func slotOf(hash uint64, pos uint32) uint32 {
	return slotUsed | uint32(hash>>32)&slotHashes | pos
}

// find returns the position with the given hash that match accepts.
func (x *index) find(hash uint64, match func(pos uint32) bool) (pos uint32, ok bool) {
	if x.n == 0 {
		return 0, false
	}
	mask := uint64(len(x.slots) - 1)
	wanted := slotOf(hash, 0)
	for i := hash & mask; x.slots[i] != 0; i = (i + 1) & mask {
		if s := x.slots[i]; s&^posMask == wanted && match(s&posMask) {
			return s & posMask, true
		}
	}
	return 0, false
}

// add enters a position. hashAt returns the hash of the row at a position.
func (x *index) add(hash uint64, pos uint32, hashAt func(uint32) uint64) {
	if (x.n+1)*5 > len(x.slots)*4 {
		x.grow(hashAt)
	}
	x.n++
	x.put(hash, slotOf(hash, pos))
}

func (x *index) put(hash uint64, slot uint32) {
	mask := uint64(len(x.slots) - 1)
	i := hash & mask
	for x.slots[i] != 0 {
		i = (i + 1) & mask
	}
	x.slots[i] = slot
}

func (x *index) grow(hashAt func(uint32) uint64) {
	old := x.slots
	x.slots = make([]uint32, max(2*len(old), minSlots))
	for _, s := range old {
		if s != 0 {
			x.put(hashAt(s&posMask), s)
		}
	}
}

// move changes the position of a row.
func (x *index) move(hash uint64, from, to uint32) {
	x.slots[x.slot(hash, from)] = slotOf(hash, to)
}

func (x *index) slot(hash uint64, pos uint32) uint64 {
	mask := uint64(len(x.slots) - 1)
	i := hash & mask
	for wanted := slotOf(hash, pos); x.slots[i] != wanted; {
		i = (i + 1) & mask
	}
	return i
}

// remove takes a position out and closes the gap in its run of slots.
func (x *index) remove(hash uint64, pos uint32, hashAt func(uint32) uint64) {
	mask := uint64(len(x.slots) - 1)
	gap := x.slot(hash, pos)
	for i := (gap + 1) & mask; x.slots[i] != 0; i = (i + 1) & mask {
		home := hashAt(x.slots[i]&posMask) & mask
		if (i-home)&mask >= (i-gap)&mask {
			x.slots[gap] = x.slots[i]
			gap = i
		}
	}
	x.slots[gap] = 0
	x.n--
}
