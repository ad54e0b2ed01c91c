package controlstate

import (
	"encoding/binary"
	"encoding/json"
	"slices"

	"github.com/go-faster/errors"

	"github.com/baobabshore/baobabshore/wire"
)

// snapshot is the JSON form of the tables. Rows are in table order, so equal
// tables have equal snapshots.
type snapshot struct {
	Index     uint64            `json:"index"`
	Now       int64             `json:"now"`
	ConfigVer uint64            `json:"config_ver"`
	Command   string            `json:"command"`
	By        string            `json:"by,omitempty"`
	Pairs     []wire.SourcePair `json:"pairs"`
	Revision  uint64            `json:"revision,omitempty"`
	Source    []byte            `json:"source,omitempty"`
	Commands  []commandRow      `json:"commands"`
	Members   []memberRow       `json:"members"`
	Jobs      []jobRow          `json:"jobs"`    // open ones by id
	Ended     []byte            `json:"ended"`   // endedBytes for each, in the order of their ends
	Nonces    []byte            `json:"nonces"`  // nonceBytes for each, of ended jobs
	Origins   []origin          `json:"origins"` // of ended jobs
	KeyFloor  int64             `json:"key_floor"`
	Tombs     []byte            `json:"tombs"` // tombBytes for each: hash, then time in big endian
	LogFloor  uint64            `json:"log_floor"`
	Log       []change          `json:"log"`
}

const tombBytes = 24

// Frozen is a copy of the tables that can be encoded while they change.
type Frozen struct{ rows snapshot }

// Freeze copies the tables. It takes a small part of the time of the encoding.
func (s *State) Freeze() Frozen {
	out := snapshot{
		Index: s.index, Now: s.now,
		ConfigVer: s.config.version, Command: s.config.command, By: s.config.by,
		Pairs: s.config.sorted(), Commands: slices.Clone(s.commands.order),
		Revision: s.config.revision, Source: s.config.source,
		KeyFloor: s.jobs.keyFloor, LogFloor: s.log.floor, Log: slices.Clone(s.log.records),
	}
	for _, inc := range s.members.order {
		out.Members = append(out.Members, *s.members.rows[inc])
	}
	out.Jobs = make([]jobRow, 0, len(s.jobs.rows))
	for _, job := range s.jobs.admitted {
		if r, ok := s.jobs.rows[job]; ok {
			out.Jobs = append(out.Jobs, *r)
		}
	}
	out.Nonces = s.jobs.nonces.encode()
	out.Ended, out.Origins = s.jobs.ended.encode()
	out.Tombs = make([]byte, 0, s.tombs.len()*tombBytes)
	for i := range s.tombs.len() {
		t := s.tombs.rows.nth(i)
		out.Tombs = append(out.Tombs, t.hash[:]...)
		out.Tombs = binary.BigEndian.AppendUint64(out.Tombs, uint64(t.at))
	}
	return Frozen{out}
}

// Index returns the log index up to which the copy is complete.
func (f Frozen) Index() uint64 { return f.rows.Index }

// Encode returns the tables as JSON.
func (f Frozen) Encode() ([]byte, error) { return json.Marshal(f.rows) }

// Snapshot returns the tables as JSON.
func (s *State) Snapshot() ([]byte, error) { return s.Freeze().Encode() }

// Restore returns the tables that a snapshot holds.
func Restore(data []byte) (*State, error) {
	var in snapshot
	if err := json.Unmarshal(data, &in); err != nil {
		return nil, errors.Wrap(err, "control state snapshot")
	}
	s := New()
	s.index, s.now = in.Index, in.Now
	s.log.floor = in.LogFloor
	for _, c := range in.Log {
		s.log.add(c)
	}
	if err := s.restoreConfig(in); err != nil {
		return nil, err
	}
	for _, r := range in.Commands {
		s.commands.add(r.ID, r.At, r.Reply)
	}
	for i := range in.Members {
		s.members.add(&in.Members[i])
	}
	for _, r := range in.Jobs {
		s.restoreJob(newJobRow(r)) // a copy, so that a dropped row does not keep the others
	}
	if err := s.jobs.restore(in.Ended, in.Origins); err != nil {
		return nil, err
	}
	if err := s.jobs.nonces.restore(in.Nonces); err != nil {
		return nil, err
	}
	s.jobs.keyFloor = in.KeyFloor
	if len(in.Tombs)/tombBytes > maxQueue {
		return nil, errors.New("control state snapshot: the key table is too long")
	}
	for row := range slices.Chunk(in.Tombs, tombBytes) {
		if len(row) != tombBytes {
			return nil, errors.New("control state snapshot: the key table is cut off")
		}
		s.tombs.add(keyHash(row[:16]), int64(binary.BigEndian.Uint64(row[16:])))
	}
	return s, nil
}

// restoreJob enters a row, which has ended only in snapshots of versions that
// kept whole rows of ended jobs.
func (s *State) restoreJob(r *jobRow) {
	if r.isOpen() {
		s.jobs.add(r)
		return
	}
	s.jobs.addEnded(r)
	if r.plainKey() {
		s.jobs.plain++
	}
}

func (s *State) restoreConfig(in snapshot) error {
	pairs := make([]wire.Pair, 0, len(in.Pairs))
	for _, p := range in.Pairs {
		s.config.pairs[p.Key] = p
		pairs = append(pairs, p.Pair)
	}
	l, e := checkPairs(pairs)
	if e != nil {
		return errors.Wrap(e, "control state snapshot")
	}
	s.config.version, s.config.command, s.config.by, s.config.limits = in.ConfigVer, in.Command, in.By, l
	s.config.revision, s.config.source = in.Revision, in.Source
	return nil
}
