package wire

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"encoding/json"
	"io"

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
	var raw []byte
	for _, pair := range p {
		raw = appendString(raw, pair.Key)
		raw = appendString(raw, pair.Value)
	}
	return json.Marshal(deflate(raw))
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
	*p = make(Pairs, 0, len(list)/2)
	for i := 0; i < len(list); i += 2 {
		*p = append(*p, Pair{Key: list[i], Value: list[i+1]})
	}
	return nil
}

// Keys is a list of names of settings, which is compressed like Pairs.
type Keys []string

// MarshalJSON implements json.Marshaler.
func (k Keys) MarshalJSON() ([]byte, error) {
	if len(k) < packFrom {
		return json.Marshal([]string(k))
	}
	var raw []byte
	for _, key := range k {
		raw = appendString(raw, key)
	}
	return json.Marshal(deflate(raw))
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

// deflate returns data in compressed form.
func deflate(data []byte) []byte {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is valid
	}
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
	var out []string
	for len(raw) > 0 {
		n, size := binary.Uvarint(raw)
		if size <= 0 || n > uint64(len(raw)-size) {
			return nil, errMalformedPack
		}
		out = append(out, string(raw[size:size+int(n)]))
		raw = raw[size+int(n):]
	}
	return out, nil
}
