package wal

import (
	"errors"
	"io/fs"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
)

var (
	errNoSpace = errors.New("no space left on device")
	errIO      = errors.New("input/output error")
)

// memFS is an in-memory file system that may lose unsynced data when it crashes.
type memFS struct {
	names       map[string]*inode // directory entries as running processes see them
	syncedNames map[string]*inode // directory entries that are durable
	rng         *rand.Rand
	calls       int   // number of calls so far that change something
	failAtCall  int   // number of the first call that fails, 0 for none
	err         error // error of the failing calls
}

type inode struct {
	data   []byte
	synced []byte
}

func newMemFS(seed uint64) *memFS {
	return &memFS{
		names: map[string]*inode{}, syncedNames: map[string]*inode{},
		rng: rand.New(rand.NewPCG(seed, 2)), err: errIO,
	}
}

// countCall counts a call that changes something and returns its injected error.
func (m *memFS) countCall() error {
	m.calls++
	if m.failAtCall > 0 && m.calls >= m.failAtCall {
		return m.err
	}
	return nil
}

// crash returns the file system as it is after a power failure.
func (m *memFS) crash() *memFS {
	after := newMemFS(m.rng.Uint64())
	all := maps.Clone(m.syncedNames)
	maps.Copy(all, m.names)
	for _, name := range slices.Sorted(maps.Keys(all)) {
		node := m.syncedNames[name]
		if m.rng.IntN(2) == 0 {
			node = m.names[name] // the unsynced change of the directory was written anyway
		}
		if node == nil {
			continue
		}
		data := m.dataAfterCrash(node)
		found := &inode{data, slices.Clone(data)}
		after.names[name], after.syncedNames[name] = found, found
	}
	return after
}

// dataAfterCrash returns the synced data and a random part of the unsynced data
// after it, in which one sector may not have been written.
func (m *memFS) dataAfterCrash(n *inode) []byte {
	kept := len(n.synced)
	if len(n.data) <= kept {
		return slices.Clone(n.synced)
	}
	data := slices.Clone(n.data[:kept+m.rng.IntN(len(n.data)-kept+1)])
	if len(data) > kept && m.rng.IntN(2) == 0 {
		from := kept + m.rng.IntN(len(data)-kept)
		from = max(kept, from/sectorBytes*sectorBytes)
		clear(data[from:min(len(data), (from/sectorBytes+1)*sectorBytes)])
	}
	return data
}

func (m *memFS) MkdirAll(string) error { return nil }

func (m *memFS) Create(name string) (File, error) {
	if err := m.countCall(); err != nil {
		return nil, err
	}
	m.names[name] = &inode{}
	return &memFile{m, m.names[name]}, nil
}

func (m *memFS) OpenAppend(name string) (File, error) {
	if m.names[name] == nil {
		m.names[name] = &inode{}
	}
	return &memFile{m, m.names[name]}, nil
}

func (m *memFS) ReadFile(name string) ([]byte, error) {
	if n := m.names[name]; n != nil {
		return slices.Clone(n.data), nil
	}
	return nil, fs.ErrNotExist
}

func (m *memFS) Rename(from, to string) error {
	if err := m.countCall(); err != nil {
		return err
	}
	m.names[to] = m.names[from]
	delete(m.names, from)
	return nil
}

func (m *memFS) Remove(name string) error {
	if err := m.countCall(); err != nil {
		return err
	}
	delete(m.names, name)
	return nil
}

func (m *memFS) List(dir string) ([]string, error) {
	var names []string
	for name := range m.names {
		names = append(names, filepath.Base(name))
	}
	slices.Sort(names)
	return names, nil
}

func (m *memFS) SyncDir(string) error {
	if err := m.countCall(); err != nil {
		return err
	}
	m.syncedNames = maps.Clone(m.names)
	return nil
}

type memFile struct {
	fs   *memFS
	node *inode
}

func (f *memFile) Write(b []byte) (int, error) {
	if err := f.fs.countCall(); err != nil {
		part := f.fs.rng.IntN(len(b))
		f.node.data = append(f.node.data, b[:part]...)
		return part, err
	}
	f.node.data = append(f.node.data, b...)
	return len(b), nil
}

func (f *memFile) Truncate(size int64) error {
	if err := f.fs.countCall(); err != nil {
		return err
	}
	f.node.data = f.node.data[:size]
	return nil
}

func (f *memFile) Sync() error {
	if err := f.fs.countCall(); err != nil {
		return err
	}
	f.node.synced = slices.Clone(f.node.data)
	return nil
}

func (f *memFile) Close() error { return nil }
