// Package wal keeps the log of a control node on disk: an append-only file with
// checksums, snapshots and truncation. What Append returned is durable.
package wal

import "io"

// FS is the part of a file system that the log uses. Tests put a faulty one in
// its place.
type FS interface {
	MkdirAll(dir string) error
	Create(name string) (File, error)     // truncates
	OpenAppend(name string) (File, error) // creates if missing
	ReadFile(name string) ([]byte, error)
	Rename(from, to string) error
	Remove(name string) error
	List(dir string) ([]string, error)
	SyncDir(dir string) error
}

// File is an open file.
type File interface {
	io.Writer
	io.Closer
	Truncate(size int64) error
	Sync() error
}
