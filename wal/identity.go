package wal

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"

	"github.com/baobabshore/baobabshore/consensus"
)

// Identity names a data directory and counts the starts on it.
type Identity struct {
	ID   consensus.ID `json:"id"`
	Boot uint64       `json:"boot"` // 1 at the first start
}

// Identify returns the identity of the data directory after raising and syncing
// its boot count. A directory without one gets the id fresh, which the caller
// has drawn at random. Identify is called once for each Open.
func (l *Log) Identify(fresh consensus.ID) (Identity, error) {
	if l.err != nil {
		return Identity{}, l.err
	}
	id, err := l.readIdentity(fresh)
	if err != nil {
		return Identity{}, err
	}
	id.Boot++
	payload, err := json.Marshal(id)
	if err != nil {
		return Identity{}, fmt.Errorf("wal: encode the identity: %w", err)
	}
	l.err = l.replace(filepath.Join(l.dir, identityFile), appendFrame(nil, 0, payload))
	return id, l.err
}

func (l *Log) readIdentity(fresh consensus.ID) (Identity, error) {
	name := filepath.Join(l.dir, identityFile)
	data, err := l.fs.ReadFile(name)
	if errors.Is(err, fs.ErrNotExist) {
		if !l.isNew {
			return Identity{}, &CorruptError{File: name, Problem: "the identity is missing, but the log is not new"}
		}
		return Identity{ID: fresh}, nil
	}
	if err != nil {
		return Identity{}, fmt.Errorf("wal: read %s: %w", name, err)
	}
	payload, next, state := frameAt(data, 0)
	if state != frameIntact || next != int64(len(data)) {
		return Identity{}, &CorruptError{File: name, Problem: "the identity is damaged"}
	}
	var id Identity
	if err := json.Unmarshal(payload, &id); err != nil {
		return Identity{}, &CorruptError{File: name, Problem: err.Error()}
	}
	return id, nil
}
