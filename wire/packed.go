package wire

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"encoding/json"
	"io"
	"sync"

	"github.com/go-faster/errors"
)

const (
	// packFrom is the number of elements from which a list is encoded in compressed form.
	packFrom = 64
	// maxUnpackedBytes limits the size of a packed value. It is above that of the largest
	// configuration.
	maxUnpackedBytes = 64 << 20
)

var errMalformedPack = errors.New("wire: malformed packed value")

// Pairs is a list of settings. A long one is compressed in its encoding, since a
// configuration may have tens of thousands of settings.
type Pairs []Pair

// MarshalJSON implements json.Marshaler.
func (p Pairs) MarshalJSON() ([]byte, error) {
	if len(p) < packFrom {
		return json.Marshal([]Pair(p))
	}
	return json.Marshal(deflate(appendPairs(nil, p)))
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *Pairs) UnmarshalJSON(data []byte) error {
	if len(data) == 0 || data[0] != '"' {
		return json.Unmarshal(data, (*[]Pair)(p))
	}
	list, err := unpackStrings(data)
	if err != nil {
		return err
	}
	if len(list)%2 != 0 {
		return errMalformedPack
	}
	*p = pairsOf(list)
	return nil
}

// Keys is a list of names of settings, which is compressed like Pairs.
type Keys []string

// MarshalJSON implements json.Marshaler.
func (k Keys) MarshalJSON() ([]byte, error) {
	if len(k) < packFrom {
		return json.Marshal([]string(k))
	}
	return json.Marshal(deflate(appendStrings(nil, k)))
}

// UnmarshalJSON implements json.Unmarshaler.
func (k *Keys) UnmarshalJSON(data []byte) error {
	if len(data) == 0 || data[0] != '"' {
		return json.Unmarshal(data, (*[]string)(k))
	}
	list, err := unpackStrings(data)
	*k = list
	return err
}

// Text is a byte string that is compressed in its encoding.
type Text []byte

// MarshalJSON implements json.Marshaler.
func (t Text) MarshalJSON() ([]byte, error) { return json.Marshal(deflate(t)) }

// UnmarshalJSON implements json.Unmarshaler.
func (t *Text) UnmarshalJSON(data []byte) error {
	var packed []byte
	if err := json.Unmarshal(data, &packed); err != nil {
		return err
	}
	raw, err := inflate(packed)
	if *t = nil; len(raw) > 0 {
		*t = raw
	}
	return err
}

// Pack returns the changes in compressed form, which UnpackChanges reads.
func (c PatchChanges) Pack() []byte {
	raw := binary.AppendUvarint(nil, uint64(len(c.Set)))
	raw = appendPairs(raw, c.Set)
	raw = binary.AppendUvarint(raw, uint64(len(c.Removed)))
	raw = appendStrings(raw, c.Removed)
	return deflate(append(raw, c.Source...))
}

// UnpackChanges reads the result of PatchChanges.Pack.
func UnpackChanges(packed []byte) (PatchChanges, error) {
	raw, err := inflate(packed)
	if err != nil {
		return PatchChanges{}, err
	}
	r := stringReader{raw: raw}
	set := r.list(2)
	removed := r.list(1)
	if r.malformed {
		return PatchChanges{}, errMalformedPack
	}
	return PatchChanges{Set: pairsOf(set), Removed: removed, Source: r.raw}, nil
}

// compressors holds compressors for reuse, since a new one takes more than a megabyte.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is valid
	}
	return w
}}

// deflate returns data in compressed form.
func deflate(data []byte) []byte {
	var b bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&b)
	// A write to a buffer never fails.
	_, _ = w.Write(data)
	_ = w.Close()
	return b.Bytes()
}

func inflate(packed []byte) ([]byte, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpackedBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "wire: packed value")
	}
	if len(raw) > maxUnpackedBytes {
		return nil, errors.Errorf("wire: a packed value is longer than %d bytes", maxUnpackedBytes)
	}
	return raw, nil
}

func appendString(b []byte, s string) []byte {
	b = binary.AppendUvarint(b, uint64(len(s)))
	return append(b, s...)
}

func appendStrings(b []byte, list []string) []byte {
	for _, s := range list {
		b = appendString(b, s)
	}
	return b
}

func appendPairs(b []byte, pairs []Pair) []byte {
	for _, p := range pairs {
		b = appendString(b, p.Key)
		b = appendString(b, p.Value)
	}
	return b
}

// pairsOf returns the settings of a list of alternating keys and values.
func pairsOf(list []string) []Pair {
	pairs := make([]Pair, 0, len(list)/2)
	for i := 0; i < len(list); i += 2 {
		pairs = append(pairs, Pair{Key: list[i], Value: list[i+1]})
	}
	return pairs
}

// stringReader reads a sequence of strings. After malformed bytes it returns nothing.
type stringReader struct {
	raw       []byte
	malformed bool
}

func (r *stringReader) uvarint() uint64 {
	n, size := binary.Uvarint(r.raw)
	if size <= 0 {
		r.malformed = true
		return 0
	}
	r.raw = r.raw[size:]
	return n
}

func (r *stringReader) string() string {
	n := r.uvarint()
	if r.malformed || n > uint64(len(r.raw)) {
		r.malformed = true
		return ""
	}
	s := string(r.raw[:n])
	r.raw = r.raw[n:]
	return s
}

// list reads the number of elements and then that many elements of width strings each.
func (r *stringReader) list(width int) []string {
	count := r.uvarint()
	if count > uint64(len(r.raw)) { // a string takes at least a byte
		r.malformed = true
		return nil
	}
	var out []string
	for range count {
		for range width {
			out = append(out, r.string())
		}
		if r.malformed {
			return nil
		}
	}
	return out
}

// unpackStrings decodes a JSON string that holds a compressed list of strings.
func unpackStrings(data []byte) ([]string, error) {
	var packed []byte
	if err := json.Unmarshal(data, &packed); err != nil {
		return nil, err
	}
	raw, err := inflate(packed)
	if err != nil {
		return nil, err
	}
	r := stringReader{raw: raw}
	var out []string
	for len(r.raw) > 0 {
		out = append(out, r.string())
		if r.malformed {
			return nil, errMalformedPack
		}
	}
	return out, nil
}
