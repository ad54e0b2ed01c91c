package controlstate

import (
	"encoding/binary"

	"github.com/go-faster/errors"

	"github.com/baobabshore/baobabshore/ids"
)

// endedRowBytes is the size of the row of an ended job in a snapshot.
const endedRowBytes = 72

// encode returns the rows in order, and the attribute sets that they refer to in the
// order of their first use.
func (t *endedTable) encode() (rows []byte, attributeSets []attributes) {
	rows = make([]byte, 0, t.len()*endedRowBytes)
	positions := map[uint32]uint32{}
	for i := range t.len() {
		r := t.rows.nth(i)
		n, ok := positions[r.attributes]
		if !ok {
			n = uint32(len(attributeSets))
			positions[r.attributes] = n
			attributeSets = append(attributeSets, t.attributeSets.get(r.attributes))
		}
		rows = r.append(rows, n)
	}
	return rows, attributeSets
}

func (r *endedRow) append(b []byte, attributes uint32) []byte {
	b = binary.BigEndian.AppendUint64(b, uint64(r.job))
	b = append(b, r.key[:]...)
	b = append(b, r.body[:]...)
	b = binary.BigEndian.AppendUint64(b, uint64(r.keyTime))
	b = binary.BigEndian.AppendUint64(b, uint64(r.ended))
	b = binary.BigEndian.AppendUint32(b, r.admittedBefore)
	b = binary.BigEndian.AppendUint32(b, uint32(r.deadlineAfter))
	b = binary.BigEndian.AppendUint32(b, attributes)
	return binary.BigEndian.AppendUint32(b, r.tasks)
}

// parseEndedRow decodes a row of endedRowBytes.
func parseEndedRow(b []byte) endedRow {
	be := binary.BigEndian
	r := endedRow{
		job: ids.Job(be.Uint64(b)), keyTime: int64(be.Uint64(b[40:])),
		ended: int64(be.Uint64(b[48:])), admittedBefore: be.Uint32(b[56:]), deadlineAfter: int32(be.Uint32(b[60:])),
		attributes: be.Uint32(b[64:]), tasks: be.Uint32(b[68:]),
	}
	copy(r.key[:], b[8:])
	copy(r.body[:], b[24:])
	return r
}

// restore inserts the rows that encode has written.
func (t *jobTable) restore(rows []byte, attributeSets []attributes) error {
	if len(rows)%endedRowBytes != 0 || len(rows)/endedRowBytes > maxQueueRows {
		return errors.Errorf("control state snapshot: table of ended jobs has an invalid length of %d bytes", len(rows))
	}
	for ; len(rows) > 0; rows = rows[endedRowBytes:] {
		r := parseEndedRow(rows)
		if int(r.attributes) >= len(attributeSets) {
			return errors.Errorf("control state snapshot: job %d refers to attribute set %d, but there are only %d", r.job, r.attributes, len(attributeSets))
		}
		r.attributes = t.ended.attributeSets.add(attributeSets[r.attributes])
		t.ended.add(r)
		if r.hasUntimedKey() {
			t.untimedKeys++
		}
	}
	return nil
}
