// Package wal implements the write-ahead log of a control node: an append-only
// file with checksums, and snapshots that let the log be truncated. A batch is
// durable once Append has returned without an error.
package wal

import "io"

// FS is the set of file system operations that the log uses. Tests implement it
// with fault injection.
type FS interface {
	MkdirAll(dir string) error
	Create(name string) (File, error)     // truncates an existing file
	OpenAppend(name string) (File, error) // creates the file if it is missing
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
