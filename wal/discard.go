package wal

import "io/fs"

// Discard implements FS and keeps nothing: each log that is opened on it is empty. It
// serves a node whose log need not survive the process.
type Discard struct{}

// MkdirAll does nothing.
func (Discard) MkdirAll(string) error { return nil }

// Create returns a file that drops what is written to it.
func (Discard) Create(string) (File, error) { return discardFile{}, nil }

// OpenAppend returns a file that drops what is written to it.
func (Discard) OpenAppend(string) (File, error) { return discardFile{}, nil }

// ReadFile returns fs.ErrNotExist.
func (Discard) ReadFile(string) ([]byte, error) { return nil, fs.ErrNotExist }

// Rename does nothing.
func (Discard) Rename(string, string) error { return nil }

// Remove does nothing.
func (Discard) Remove(string) error { return nil }

// List returns no names.
func (Discard) List(string) ([]string, error) { return nil, nil }

// SyncDir does nothing.
func (Discard) SyncDir(string) error { return nil }

type discardFile struct{}

func (discardFile) Write(b []byte) (int, error) { return len(b), nil }
func (discardFile) Truncate(int64) error        { return nil }
func (discardFile) Sync() error                 { return nil }
func (discardFile) Close() error                { return nil }
