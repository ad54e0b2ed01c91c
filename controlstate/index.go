package controlstate

import (
	"hash/maphash"
	"math/bits"
)

// indexSeed keeps callers from choosing keys that fall on the same slots. The
// order of slots never shows in results, so nodes may differ in it.
var indexSeed = maphash.MakeSeed()

func indexHash[K comparable](key K) uint64 { return maphash.Comparable(indexSeed, key) }

// index finds positions of a queue by the hashes of their rows. It uses linear
// probing. A slot has four bytes: a mark, some bits of the hash that spare most
// looks at rows, and the position.
type index struct {
	slots []uint32 // zero if free
	n     int
}

const (
	slotUsed   = 1 << 31
	minSlots   = 64
	slotHashes = slotUsed - 1<<posBits // bits of the hash in a slot
)

func slotOf(hash uint64, pos uint32) uint32 {
	return slotUsed | uint32(hash)&slotHashes | pos
}

// home returns the slot at which the search for a hash starts.
func (x *index) home(hash uint64) int {
	i, _ := bits.Mul64(hash, uint64(len(x.slots)))
	return int(i)
}

func (x *index) next(i int) int {
	if i++; i == len(x.slots) {
		return 0
	}
	return i
}

// find returns the position with the given hash that match accepts.
func (x *index) find(hash uint64, match func(pos uint32) bool) (pos uint32, ok bool) {
	if x.n == 0 {
		return 0, false
	}
	wanted := slotOf(hash, 0)
	for i := x.home(hash); x.slots[i] != 0; i = x.next(i) {
		if s := x.slots[i]; s&^posMask == wanted && match(s&posMask) {
			return s & posMask, true
		}
	}
	return 0, false
}

// add enters a position. hashAt returns the hash of the row at a position.
func (x *index) add(hash uint64, pos uint32, hashAt func(uint32) uint64) {
	if (x.n+1)*10 > len(x.slots)*9 {
		x.grow(hashAt)
	}
	x.n++
	x.put(hash, slotOf(hash, pos))
}

func (x *index) put(hash uint64, slot uint32) {
	i := x.home(hash)
	for x.slots[i] != 0 {
		i = x.next(i)
	}
	x.slots[i] = slot
}

// grow adds a quarter, so that at least 72 % of the slots of a large index are used.
func (x *index) grow(hashAt func(uint32) uint64) {
	old := x.slots
	x.slots = make([]uint32, max(len(old)+len(old)/4, minSlots))
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

func (x *index) slot(hash uint64, pos uint32) int {
	i := x.home(hash)
	for wanted := slotOf(hash, pos); x.slots[i] != wanted; {
		i = x.next(i)
	}
	return i
}

// remove takes a position out and closes the gap in its run of slots.
func (x *index) remove(hash uint64, pos uint32, hashAt func(uint32) uint64) {
	gap := x.slot(hash, pos)
	for i := x.next(gap); x.slots[i] != 0; i = x.next(i) {
		if x.distance(x.home(hashAt(x.slots[i]&posMask)), i) >= x.distance(gap, i) {
			x.slots[gap] = x.slots[i]
			gap = i
		}
	}
	x.slots[gap] = 0
	x.n--
}

// distance returns the number of steps from one slot to another.
func (x *index) distance(from, to int) int {
	if to < from {
		return to - from + len(x.slots)
	}
	return to - from
}
