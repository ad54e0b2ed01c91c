package control

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"io/fs"
	"path/filepath"

	"github.com/go-faster/errors"

	"github.com/baobabshore/baobabshore/consensus"
	"github.com/baobabshore/baobabshore/wal"
)

// membershipFile is the content of the membership file, which records the group that the
// node belongs to.
type membershipFile struct {
	// Joined is set once the log holds state of a group. A joined node with an empty
	// log has lost the votes that it cast, so it must not start: it could vote twice
	// in one term.
	Joined bool `json:"joined"`
	// MayForm is set on a node that was allowed to form a new group when its data
	// directory was empty.
	MayForm bool `json:"may_form,omitempty"`
	// InitialGroup is the group that this node has locked, and has formed once
	// Joined is set. It is empty on a node that was added later.
	InitialGroup consensus.Group `json:"first"`
}

const membershipFileName = "membership.json"

// loadMembership reads the membership file of a data directory. Without the file the
// node belongs to no group.
func loadMembership(files wal.FS, dir string) (membershipFile, error) {
	var m membershipFile
	name := filepath.Join(dir, membershipFileName)
	data, err := files.ReadFile(name)
	if errors.Is(err, fs.ErrNotExist) {
		return m, nil
	}
	if err != nil {
		return m, errors.Wrap(err, "control: read membership")
	}
	if err := json.Unmarshal(data, &m); err != nil {
		return m, errors.Wrapf(err, "control: decode %s", name)
	}
	return m, nil
}

// save replaces the membership file atomically: after a crash it has either the old
// or the new content.
func (m membershipFile) save(files wal.FS, dir string) error {
	data, err := json.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "control: save membership")
	}
	name := filepath.Join(dir, membershipFileName)
	if err := writeSynced(files, name+".new", data); err != nil {
		return errors.Wrap(err, "control: save membership")
	}
	if err := files.Rename(name+".new", name); err != nil {
		return errors.Wrap(err, "control: save membership")
	}
	if err := files.SyncDir(dir); err != nil {
		return errors.Wrap(err, "control: save membership")
	}
	return nil
}

func writeSynced(files wal.FS, name string, data []byte) error {
	f, err := files.Create(name)
	if err != nil {
		return err
	}
	if _, err := f.Write(data); err != nil {
		f.Close()
		return err
	}
	if err := f.Sync(); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}

// newInstance returns a random instance id for an empty data directory.
func newInstance() consensus.ID {
	var b [12]byte
	_, _ = rand.Read(b[:]) // never fails
	return consensus.ID(hex.EncodeToString(b[:]))
}
