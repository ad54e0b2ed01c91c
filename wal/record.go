package wal

import (
	"encoding/binary"
	"encoding/json"
	"errors"

	"github.com/baobabshore/baobabshore/consensus"
)

// The kinds of records in the payload of a frame.
const (
	recordHeader    = 1 // first record of a log file
	recordHardState = 2
	recordEntry     = 3
)

// header is the first record of a log file. It binds the file to its snapshot.
type header struct {
	generation  uint64
	snapIndex   uint64
	snapTerm    uint64
	snapSum     uint64 // CRC-32C of the snapshot's payload
	hasSnapshot bool
}

func appendHeader(b []byte, h header) []byte {
	b = append(b, recordHeader)
	b = binary.AppendUvarint(b, h.generation)
	b = binary.AppendUvarint(b, h.snapIndex)
	b = binary.AppendUvarint(b, h.snapTerm)
	b = binary.AppendUvarint(b, h.snapSum)
	if h.hasSnapshot {
		return append(b, 1)
	}
	return append(b, 0)
}

func appendHardState(b []byte, hs consensus.HardState) []byte {
	b = append(b, recordHardState)
	b = binary.AppendUvarint(b, hs.Term)
	b = binary.AppendUvarint(b, hs.Commit)
	return appendBytes(b, []byte(hs.Vote))
}

func appendEntry(b []byte, e consensus.Entry) []byte {
	b = append(b, recordEntry, byte(e.Kind))
	b = binary.AppendUvarint(b, e.Index)
	b = binary.AppendUvarint(b, e.Term)
	return appendBytes(b, e.Data)
}

func appendBytes(b, data []byte) []byte {
	b = binary.AppendUvarint(b, uint64(len(data)))
	return append(b, data...)
}

// errRecord means that a payload with a right checksum can't be decoded: it was
// written by another version of this package.
var errRecord = errors.New("undecodable record")

// reader decodes a payload. After an error all its results are zero.
type reader struct {
	b   []byte
	err error
}

func (r *reader) more() bool { return r.err == nil && len(r.b) > 0 }

func (r *reader) byte() byte {
	if r.err != nil || len(r.b) == 0 {
		r.err = errRecord
		return 0
	}
	c := r.b[0]
	r.b = r.b[1:]
	return c
}

func (r *reader) number() uint64 {
	if r.err != nil {
		return 0
	}
	v, k := binary.Uvarint(r.b)
	if k <= 0 {
		r.err = errRecord
		return 0
	}
	r.b = r.b[k:]
	return v
}

func (r *reader) bytes() []byte {
	size := r.number()
	if r.err != nil || size > uint64(len(r.b)) {
		r.err = errRecord
		return nil
	}
	data := r.b[:size:size]
	r.b = r.b[size:]
	if size == 0 {
		return nil
	}
	return data
}

func (r *reader) header() header {
	h := header{generation: r.number(), snapIndex: r.number(), snapTerm: r.number(), snapSum: r.number()}
	h.hasSnapshot = r.byte() == 1
	return h
}

func (r *reader) hardState() consensus.HardState {
	hs := consensus.HardState{Term: r.number(), Commit: r.number()}
	hs.Vote = consensus.ID(r.bytes())
	return hs
}

func (r *reader) entry() consensus.Entry {
	e := consensus.Entry{Kind: consensus.EntryKind(r.byte())}
	e.Index = r.number()
	e.Term = r.number()
	e.Data = r.bytes()
	return e
}

func encodeSnapshot(s *consensus.Snapshot) ([]byte, error) {
	group, err := json.Marshal(s.Group)
	if err != nil {
		return nil, err
	}
	b := binary.AppendUvarint(nil, s.Index)
	b = binary.AppendUvarint(b, s.Term)
	b = appendBytes(b, group)
	return appendBytes(b, s.Data), nil
}

func decodeSnapshot(payload []byte) (*consensus.Snapshot, error) {
	r := reader{b: payload}
	s := &consensus.Snapshot{Index: r.number(), Term: r.number()}
	group := r.bytes()
	s.Data = r.bytes()
	if r.err != nil {
		return nil, r.err
	}
	return s, json.Unmarshal(group, &s.Group)
}
