package wal

import (
	"errors"
	"os"
)

const (
	dirMode  = 0o700
	fileMode = 0o600
)

// OSFS implements FS with the file system of the operating system.
type OSFS struct{}

// MkdirAll creates dir and its parents.
func (OSFS) MkdirAll(dir string) error { return os.MkdirAll(dir, dirMode) }

// Create creates the file or truncates it.
func (OSFS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_RDWR|os.O_CREATE|os.O_TRUNC, fileMode)
}

// OpenAppend opens the file for appending and creates it if it is missing.
func (OSFS) OpenAppend(name string) (File, error) {
	return os.OpenFile(name, os.O_RDWR|os.O_CREATE|os.O_APPEND, fileMode)
}

// ReadFile returns the content of the file.
func (OSFS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// Rename renames a file and replaces the one that has the new name.
func (OSFS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (OSFS) Remove(name string) error { return os.Remove(name) }

// List returns the names of the entries of dir, sorted.
func (OSFS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

// SyncDir makes the creation, renaming and removal of files in dir durable.
func (OSFS) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}
