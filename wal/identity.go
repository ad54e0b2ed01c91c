package wal

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"

	"github.com/baobabshore/baobabshore/consensus"
)

// Identity is the id of a data directory and the number of starts on it.
type Identity struct {
	ID   consensus.ID `json:"id"`
	Boot uint64       `json:"boot"` // 1 at the first start
}

// RecordBoot increments the boot count of the data directory, syncs it and returns
// the identity. A directory without an identity gets newID, which the caller must
// have drawn at random. RecordBoot is called once for each Open.
func (l *Log) RecordBoot(newID consensus.ID) (Identity, error) {
	if l.err != nil {
		return Identity{}, l.err
	}
	id, err := l.readIdentity(newID)
	if err != nil {
		return Identity{}, err
	}
	id.Boot++
	payload, err := json.Marshal(id)
	if err != nil {
		return Identity{}, fmt.Errorf("wal: encode the identity: %w", err)
	}
	l.err = l.writeFileAtomically(filepath.Join(l.dir, identityFile), appendFrame(nil, 0, payload))
	return id, l.err
}

func (l *Log) readIdentity(newID consensus.ID) (Identity, error) {
	path := filepath.Join(l.dir, identityFile)
	data, err := l.fs.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		if !l.isNew {
			return Identity{}, &CorruptError{File: path, Problem: "the identity is missing, but the log is not new"}
		}
		return Identity{ID: newID}, nil
	}
	if err != nil {
		return Identity{}, fmt.Errorf("wal: read %s: %w", path, err)
	}
	payload, next, state := readFrame(data, 0)
	if state != frameIntact || next != int64(len(data)) {
		return Identity{}, &CorruptError{File: path, Problem: "the identity is damaged"}
	}
	var id Identity
	if err := json.Unmarshal(payload, &id); err != nil {
		return Identity{}, &CorruptError{File: path, Problem: err.Error()}
	}
	return id, nil
}
