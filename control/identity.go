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

// membership is what a data folder says of the node's group.
type membership struct {
	// Joined is set once the log holds state of a group. A joined node with an
	// empty log has lost votes that it gave, so it must not start.
	Joined bool `json:"joined"`
	// First is the group that this node has locked, and formed once Joined is
	// set. It is empty on a node that was added later.
	First consensus.Group `json:"first"`
}

const membershipFile = "membership.json"

// loadMembership reads the file of a folder. A folder without one has no group.
func loadMembership(files wal.FS, dir string) (membership, error) {
	var m membership
	name := filepath.Join(dir, membershipFile)
	data, err := files.ReadFile(name)
	if errors.Is(err, fs.ErrNotExist) {
		return m, nil
	}
	if err != nil {
		return m, errors.Wrap(err, "control: membership")
	}
	if err := json.Unmarshal(data, &m); err != nil {
		return m, errors.Wrapf(err, "control: %s", name)
	}
	return m, nil
}

// save replaces the file, so that a crash leaves the old or the new content.
func (m membership) save(files wal.FS, dir string) error {
	data, err := json.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "control: membership")
	}
	name := filepath.Join(dir, membershipFile)
	if err := writeSynced(files, name+".new", data); err != nil {
		return errors.Wrap(err, "control: membership")
	}
	if err := files.Rename(name+".new", name); err != nil {
		return errors.Wrap(err, "control: membership")
	}
	if err := files.SyncDir(dir); err != nil {
		return errors.Wrap(err, "control: membership")
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

// newInstance returns a random id for an empty data folder.
func newInstance() consensus.ID {
	var b [12]byte
	_, _ = rand.Read(b[:]) // never fails
	return consensus.ID(hex.EncodeToString(b[:]))
}
