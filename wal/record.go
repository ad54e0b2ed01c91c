package wal

import (
	"encoding/binary"
	"encoding/json"
	"errors"

	"github.com/baobabshore/baobabshore/consensus"
)

// These are the kinds of records in the payload of a frame.
const (
	recordHeader    = 1 // first record of a log file
	recordHardState = 2
	recordEntry     = 3
)

// header is the first record of a log file. It identifies the snapshot that
// belongs to the file.
type header struct {
	generation       uint64
	snapshotIndex    uint64
	snapshotTerm     uint64
	snapshotChecksum uint64 // CRC-32C of the snapshot's payload
	hasSnapshot      bool
}

func appendHeader(b []byte, h header) []byte {
	b = append(b, recordHeader)
	b = binary.AppendUvarint(b, h.generation)
	b = binary.AppendUvarint(b, h.snapshotIndex)
	b = binary.AppendUvarint(b, h.snapshotTerm)
	b = binary.AppendUvarint(b, h.snapshotChecksum)
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

// errUndecodableRecord means that a payload with a correct checksum can't be
// decoded, since another version of this package has written it. It is reported as
// a CorruptError.
var errUndecodableRecord = errors.New("undecodable record")

// decoder decodes a payload. After an error all its methods return zero values.
type decoder struct {
	b   []byte
	err error
}

func (d *decoder) hasMore() bool { return d.err == nil && len(d.b) > 0 }

func (d *decoder) byte() byte {
	if d.err != nil || len(d.b) == 0 {
		d.err = errUndecodableRecord
		return 0
	}
	c := d.b[0]
	d.b = d.b[1:]
	return c
}

func (d *decoder) uvarint() uint64 {
	if d.err != nil {
		return 0
	}
	v, k := binary.Uvarint(d.b)
	if k <= 0 {
		d.err = errUndecodableRecord
		return 0
	}
	d.b = d.b[k:]
	return v
}

func (d *decoder) bytes() []byte {
	size := d.uvarint()
	if d.err != nil || size > uint64(len(d.b)) {
		d.err = errUndecodableRecord
		return nil
	}
	data := d.b[:size:size]
	d.b = d.b[size:]
	if size == 0 {
		return nil
	}
	return data
}

func (d *decoder) header() header {
	h := header{generation: d.uvarint(), snapshotIndex: d.uvarint(), snapshotTerm: d.uvarint(), snapshotChecksum: d.uvarint()}
	h.hasSnapshot = d.byte() == 1
	return h
}

func (d *decoder) hardState() consensus.HardState {
	hs := consensus.HardState{Term: d.uvarint(), Commit: d.uvarint()}
	hs.Vote = consensus.ID(d.bytes())
	return hs
}

func (d *decoder) entry() consensus.Entry {
	e := consensus.Entry{Kind: consensus.EntryKind(d.byte())}
	e.Index = d.uvarint()
	e.Term = d.uvarint()
	e.Data = d.bytes()
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
	d := decoder{b: payload}
	s := &consensus.Snapshot{Index: d.uvarint(), Term: d.uvarint()}
	group := d.bytes()
	s.Data = d.bytes()
	if d.err != nil {
		return nil, d.err
	}
	return s, json.Unmarshal(group, &s.Group)
}
