package controlstate

import (
	"encoding/binary"

	"github.com/go-faster/errors"

	"github.com/baobabshore/baobabshore/ids"
)

// endedBytes is the length of a row of an ended job in a snapshot.
const endedBytes = 72

// encode returns the rows in order, and the origins that they refer to in the
// order in which the rows first name them.
func (t *endedTable) encode() (rows []byte, origins []origin) {
	rows = make([]byte, 0, t.len()*endedBytes)
	numbers := map[uint32]uint32{}
	for i := range t.len() {
		r := t.rows.nth(i)
		n, ok := numbers[r.origin]
		if !ok {
			n = uint32(len(origins))
			numbers[r.origin] = n
			origins = append(origins, t.origins.get(r.origin))
		}
		rows = r.append(rows, n)
	}
	return rows, origins
}

func (r *endedRow) append(b []byte, origin uint32) []byte {
	b = binary.BigEndian.AppendUint64(b, uint64(r.job))
	b = append(b, r.key[:]...)
	b = append(b, r.body[:]...)
	b = binary.BigEndian.AppendUint64(b, uint64(r.keyTime))
	b = binary.BigEndian.AppendUint64(b, uint64(r.ended))
	b = binary.BigEndian.AppendUint32(b, r.admitted)
	b = binary.BigEndian.AppendUint32(b, uint32(r.deadline))
	b = binary.BigEndian.AppendUint32(b, origin)
	return binary.BigEndian.AppendUint32(b, r.tasks)
}

// parseEnded reads a row of endedBytes.
func parseEnded(b []byte) endedRow {
	be := binary.BigEndian
	r := endedRow{
		job: ids.Job(be.Uint64(b)), keyTime: int64(be.Uint64(b[40:])),
		ended: int64(be.Uint64(b[48:])), admitted: be.Uint32(b[56:]), deadline: int32(be.Uint32(b[60:])),
		origin: be.Uint32(b[64:]), tasks: be.Uint32(b[68:]),
	}
	copy(r.key[:], b[8:])
	copy(r.body[:], b[24:])
	return r
}

// restore enters the rows that encode has written.
func (t *jobTable) restore(rows []byte, origins []origin) error {
	if len(rows)%endedBytes != 0 || len(rows)/endedBytes > maxQueue {
		return errors.Errorf("control state snapshot: %d bytes are no table of ended jobs", len(rows))
	}
	for ; len(rows) > 0; rows = rows[endedBytes:] {
		r := parseEnded(rows)
		if int(r.origin) >= len(origins) {
			return errors.Errorf("control state snapshot: job %d refers to origin %d of %d", r.job, r.origin, len(origins))
		}
		r.origin = t.ended.origins.add(origins[r.origin])
		t.ended.add(r)
		if r.plainKey() {
			t.plain++
		}
	}
	return nil
}
