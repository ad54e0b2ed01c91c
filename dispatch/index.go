package dispatch

import (
	"math"
	"math/bits"
)

const (
	// bucketCount and bucketsPerOctave cover a range of 2^16 in cost at a
	// resolution of 4.4 %, which is finer than the error of a learnt speed.
	bucketCount      = 256
	bucketsPerOctave = 16
	bucketOrigin     = bucketCount / 2
)

// bucketOf returns the bucket of a cost given as a natural logarithm.
func bucketOf(logCost float64) int {
	b := bucketOrigin + int(math.Round(logCost/math.Ln2*bucketsPerOctave))
	return min(max(b, 0), bucketCount-1)
}

// bucketIndex finds the upstreams of least cost in constant time.
type bucketIndex struct {
	bits  [bucketCount / 64]uint64 // set for the buckets that are not empty
	lists [bucketCount][]*upstream
	size  int
}

// indexPos is the position of an upstream in a bucketIndex.
type indexPos struct {
	bucket  int
	pos     int
	indexed bool
}

// add adds u to a bucket and sets its position.
func (x *bucketIndex) add(u *upstream, at *indexPos, bucket int) {
	*at = indexPos{bucket: bucket, pos: len(x.lists[bucket]), indexed: true}
	x.lists[bucket] = append(x.lists[bucket], u)
	x.bits[bucket/64] |= 1 << (bucket % 64)
	x.size++
}

// remove removes the upstream at a position. posOf returns the position in
// this index of another upstream, which may move.
func (x *bucketIndex) remove(at *indexPos, posOf func(*upstream) *indexPos) {
	list := x.lists[at.bucket]
	last := list[len(list)-1]
	list[at.pos] = last
	posOf(last).pos = at.pos
	list[len(list)-1] = nil
	x.lists[at.bucket] = list[:len(list)-1]
	if len(list) == 1 {
		x.bits[at.bucket/64] &^= 1 << (at.bucket % 64)
	}
	at.indexed = false
	x.size--
}

// nextBucket returns the first non-empty bucket at or after from, or -1.
func (x *bucketIndex) nextBucket(from int) int {
	if from >= bucketCount {
		return -1
	}
	w := from / 64
	word := x.bits[w] &^ (1<<(from%64) - 1)
	for {
		if word != 0 {
			return w*64 + bits.TrailingZeros64(word)
		}
		w++
		if w == len(x.bits) {
			return -1
		}
		word = x.bits[w]
	}
}

// cheapestExcept returns an upstream other than avoid from the cheapest bucket
// that has one, or nil. salt decides between upstreams of the same bucket.
func (x *bucketIndex) cheapestExcept(avoid *upstream, salt uint64) *upstream {
	for b := x.nextBucket(0); b >= 0; b = x.nextBucket(b + 1) {
		if u := x.pickExcept(b, avoid, salt); u != nil {
			return u
		}
	}
	return nil
}

// pickExcept returns an upstream of a non-empty bucket other than avoid, or nil.
func (x *bucketIndex) pickExcept(b int, avoid *upstream, salt uint64) *upstream {
	list := x.lists[b]
	at := int(salt % uint64(len(list)))
	if list[at] != avoid {
		return list[at]
	}
	if len(list) > 1 {
		return list[(at+1)%len(list)]
	}
	return nil
}

// findInBucket returns an upstream of a bucket that is accepted, or nil. salt
// decides between several.
func (x *bucketIndex) findInBucket(b int, salt uint64, accept func(*upstream) bool) *upstream {
	list := x.lists[b]
	at := int(salt % uint64(len(list)))
	for i := range list {
		if u := list[(at+i)%len(list)]; accept(u) {
			return u
		}
	}
	return nil
}

// fenwick is a Fenwick tree of sums over cost buckets.
type fenwick struct {
	tree [bucketCount + 1]float64
}

// add adds v to the value of a bucket.
func (f *fenwick) add(bucket int, v float64) {
	for i := bucket + 1; i <= bucketCount; i += i & -i {
		f.tree[i] += v
	}
}

// sumBelow returns the sum of all buckets before the given one.
func (f *fenwick) sumBelow(bucket int) float64 {
	sum := 0.0
	for i := bucket; i > 0; i -= i & -i {
		sum += f.tree[i]
	}
	return sum
}

// total returns the sum of all buckets.
func (f *fenwick) total() float64 { return f.sumBelow(bucketCount) }
