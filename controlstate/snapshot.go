package controlstate

import (
	"encoding/binary"
	"encoding/json"
	"slices"

	"github.com/go-faster/errors"

	"github.com/baobabshore/baobabshore/wire"
)

// snapshot is the JSON form of the tables. Rows are in table order, so equal tables
// have equal snapshots.
type snapshot struct {
	Index         uint64            `json:"index"`
	Now           int64             `json:"now"`
	ConfigVer     uint64            `json:"config_ver"`
	Command       string            `json:"command"`
	By            string            `json:"by,omitempty"`
	Pairs         []wire.SourcePair `json:"pairs"`
	Revision      uint64            `json:"revision,omitempty"`
	Source        []byte            `json:"source,omitempty"`
	Commands      []commandRow      `json:"commands"`
	Members       []memberRow       `json:"members"`
	Jobs          []jobRow          `json:"jobs"`    // open jobs in order of id
	Ended         []byte            `json:"ended"`   // endedRowBytes for each job, in the order of their ends
	Nonces        []byte            `json:"nonces"`  // nonceRowBytes for each ended job
	AttributeSets []attributes      `json:"origins"` // of ended jobs
	KeyFloor      int64             `json:"key_floor"`
	Tombstones    []byte            `json:"tombs"` // tombstoneRowBytes for each: hash, then time in big endian
	LogFloor      uint64            `json:"log_floor"`
	Log           []change          `json:"log"`
	// Domains is missing in snapshots of versions that can't drain failure domains.
	Domains []wire.DomainDrain `json:"domains,omitempty"`
}

const tombstoneRowBytes = 24

// Frozen is an immutable copy of the tables, which can be encoded while the tables
// change.
type Frozen struct{ tables snapshot }

// Freeze copies the tables. It takes a small part of the time that the encoding
// takes.
func (s *State) Freeze() Frozen {
	out := snapshot{
		Index: s.index, Now: s.now,
		ConfigVer: s.config.version, Command: s.config.commandID, By: s.config.appliedBy,
		Pairs: s.config.pairs.rows, Commands: slices.Clone(s.commands.order),
		Revision: s.config.revision, Source: s.config.source,
		KeyFloor: s.jobs.keyFloor, LogFloor: s.changes.floor, Log: slices.Clone(s.changes.records),
		Domains: slices.Clone(s.domains.rows),
	}
	for _, inc := range s.members.order {
		out.Members = append(out.Members, *s.members.rows[inc])
	}
	out.Jobs = make([]jobRow, 0, len(s.jobs.rows))
	for _, job := range s.jobs.admissionOrder {
		if r, ok := s.jobs.rows[job]; ok {
			out.Jobs = append(out.Jobs, *r)
		}
	}
	out.Nonces = s.jobs.nonces.encode()
	out.Ended, out.AttributeSets = s.jobs.ended.encode()
	out.Tombstones = make([]byte, 0, s.tombstones.len()*tombstoneRowBytes)
	for i := range s.tombstones.len() {
		t := s.tombstones.rows.nth(i)
		out.Tombstones = append(out.Tombstones, t.hash[:]...)
		out.Tombstones = binary.BigEndian.AppendUint64(out.Tombstones, uint64(t.droppedAt))
	}
	return Frozen{out}
}

// Index returns the log index up to which the copy is complete.
func (f Frozen) Index() uint64 { return f.tables.Index }

// Encode returns the tables as JSON.
func (f Frozen) Encode() ([]byte, error) { return json.Marshal(f.tables) }

// Snapshot returns the tables as JSON.
func (s *State) Snapshot() ([]byte, error) { return s.Freeze().Encode() }

// Restore returns the tables of a snapshot.
func Restore(data []byte) (*State, error) {
	var in snapshot
	if err := json.Unmarshal(data, &in); err != nil {
		return nil, errors.Wrap(err, "control state snapshot")
	}
	s := New()
	s.index, s.now = in.Index, in.Now
	s.changes.floor = in.LogFloor
	for _, c := range in.Log {
		s.changes.add(c)
	}
	if err := s.restoreConfig(in); err != nil {
		return nil, err
	}
	s.domains.rows = in.Domains
	for _, r := range in.Commands {
		s.commands.add(r.ID, r.At, r.Reply)
	}
	for i := range in.Members {
		s.members.add(&in.Members[i])
	}
	for _, r := range in.Jobs {
		s.restoreJob(newJobRow(r)) // newJobRow copies the row, so that a dropped row does not keep the others in memory
	}
	if err := s.jobs.restore(in.Ended, in.AttributeSets); err != nil {
		return nil, err
	}
	if err := s.jobs.nonces.restore(in.Nonces); err != nil {
		return nil, err
	}
	s.jobs.keyFloor = in.KeyFloor
	if len(in.Tombstones)/tombstoneRowBytes > maxQueueRows {
		return nil, errors.New("control state snapshot: table of tombstones is too long")
	}
	for row := range slices.Chunk(in.Tombstones, tombstoneRowBytes) {
		if len(row) != tombstoneRowBytes {
			return nil, errors.New("control state snapshot: table of tombstones is truncated")
		}
		s.tombstones.add(keyHash(row[:16]), int64(binary.BigEndian.Uint64(row[16:])))
	}
	return s, nil
}

// restoreJob inserts a row. It is the row of an ended job only in snapshots of older
// versions, which kept whole rows of ended jobs.
func (s *State) restoreJob(r *jobRow) {
	if r.isOpen() {
		s.jobs.add(r)
		return
	}
	s.jobs.addEnded(r)
	if r.hasUntimedKey() {
		s.jobs.untimedKeys++
	}
}

func (s *State) restoreConfig(in snapshot) error {
	pairs := make([]wire.Pair, 0, len(in.Pairs))
	for _, p := range in.Pairs {
		pairs = append(pairs, p.Pair)
	}
	l, e := checkPairs(pairs)
	if e != nil {
		return errors.Wrap(e, "control state snapshot")
	}
	s.config.pairs = pairTable{}.changed(in.Pairs, nil)
	s.config.version, s.config.commandID, s.config.appliedBy, s.config.limits = in.ConfigVer, in.Command, in.By, l
	s.config.setSource(in.Revision, in.Source)
	return nil
}
