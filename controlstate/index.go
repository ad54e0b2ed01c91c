package controlstate

import (
	"hash/maphash"
	"math/bits"
)

// indexSeed prevents callers from choosing keys that collide. The order of slots
// never affects results, so it may differ between nodes.
var indexSeed = maphash.MakeSeed()

func indexHash[K comparable](key K) uint64 { return maphash.Comparable(indexSeed, key) }

// hashIndex finds positions in a queue by the hashes of their rows. It is a hash table
// with linear probing. A slot has four bytes: a used bit, some bits of the hash,
// which avoid most comparisons of rows, and the position.
type hashIndex struct {
	slots []uint32 // zero if free
	n     int      // used slots
}

const (
	slotUsed     = 1 << 31
	minSlots     = 64
	slotHashMask = slotUsed - 1<<posBits // mask of the hash bits in a slot
)

func makeSlot(hash uint64, pos uint32) uint32 {
	return slotUsed | uint32(hash)&slotHashMask | pos
}

// homeSlot returns the slot at which the search for a hash starts.
func (x *hashIndex) homeSlot(hash uint64) int {
	i, _ := bits.Mul64(hash, uint64(len(x.slots)))
	return int(i)
}

func (x *hashIndex) nextSlot(i int) int {
	if i++; i == len(x.slots) {
		return 0
	}
	return i
}

// find returns the position with the given hash for which match returns true.
func (x *hashIndex) find(hash uint64, match func(pos uint32) bool) (pos uint32, ok bool) {
	if x.n == 0 {
		return 0, false
	}
	wanted := makeSlot(hash, 0)
	for i := x.homeSlot(hash); x.slots[i] != 0; i = x.nextSlot(i) {
		if s := x.slots[i]; s&^posMask == wanted && match(s&posMask) {
			return s & posMask, true
		}
	}
	return 0, false
}

// add inserts a position. hashAt returns the hash of the row at a position.
func (x *hashIndex) add(hash uint64, pos uint32, hashAt func(uint32) uint64) {
	if (x.n+1)*10 > len(x.slots)*9 {
		x.grow(hashAt)
	}
	x.n++
	x.put(hash, makeSlot(hash, pos))
}

func (x *hashIndex) put(hash uint64, slot uint32) {
	i := x.homeSlot(hash)
	for x.slots[i] != 0 {
		i = x.nextSlot(i)
	}
	x.slots[i] = slot
}

// grow grows the table by a quarter, so that at least 72 % of the slots of a large
// index are used.
func (x *hashIndex) grow(hashAt func(uint32) uint64) {
	old := x.slots
	x.slots = make([]uint32, max(len(old)+len(old)/4, minSlots))
	for _, s := range old {
		if s != 0 {
			x.put(hashAt(s&posMask), s)
		}
	}
}

// move changes the position of a row.
func (x *hashIndex) move(hash uint64, from, to uint32) {
	x.slots[x.findSlot(hash, from)] = makeSlot(hash, to)
}

func (x *hashIndex) findSlot(hash uint64, pos uint32) int {
	i := x.homeSlot(hash)
	for wanted := makeSlot(hash, pos); x.slots[i] != wanted; {
		i = x.nextSlot(i)
	}
	return i
}

// remove removes a position and closes the gap in its run of slots.
func (x *hashIndex) remove(hash uint64, pos uint32, hashAt func(uint32) uint64) {
	gap := x.findSlot(hash, pos)
	for i := x.nextSlot(gap); x.slots[i] != 0; i = x.nextSlot(i) {
		if x.probeDistance(x.homeSlot(hashAt(x.slots[i]&posMask)), i) >= x.probeDistance(gap, i) {
			x.slots[gap] = x.slots[i]
			gap = i
		}
	}
	x.slots[gap] = 0
	x.n--
}

// probeDistance returns the number of probe steps from one slot to another.
func (x *hashIndex) probeDistance(from, to int) int {
	if to < from {
		return to - from + len(x.slots)
	}
	return to - from
}
