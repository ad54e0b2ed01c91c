package daemon

import (
	"context"
	"fmt"
	"io/fs"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/baobabshore/baobabshore/control"
	"github.com/baobabshore/baobabshore/loopback"
	"github.com/baobabshore/baobabshore/settings"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wal"
	"github.com/baobabshore/baobabshore/wire"
)

// fillableFS is a file system whose writes fail while it is full. The first of them still
// writes half of its bytes.
type fillableFS struct {
	wal.OSFS
	full     atomic.Bool
	failSync atomic.Bool
}

type fillableFile struct {
	wal.File
	fs *fillableFS
}

func (f *fillableFS) wrap(file wal.File, err error) (wal.File, error) {
	if err != nil {
		return nil, err
	}
	return &fillableFile{file, f}, nil
}

func (f *fillableFS) Create(name string) (wal.File, error) { return f.wrap(f.OSFS.Create(name)) }
func (f *fillableFS) OpenAppend(name string) (wal.File, error) {
	return f.wrap(f.OSFS.OpenAppend(name))
}

func (f *fillableFile) Write(b []byte) (int, error) {
	if !f.fs.full.Load() {
		return f.File.Write(b)
	}
	n, err := f.File.Write(b[:len(b)/2])
	if err != nil {
		return n, err
	}
	return n, &fs.PathError{Op: "write", Path: "log", Err: syscall.ENOSPC}
}

func (f *fillableFile) Sync() error {
	if f.fs.failSync.Load() {
		return &fs.PathError{Op: "sync", Path: "log", Err: syscall.ENOSPC}
	}
	return f.File.Sync()
}

// fillableDaemon starts a control node that is a group by itself, on a disk that a test can
// fill.
func fillableDaemon(t *testing.T, disk *fillableFS) *Daemon {
	t.Helper()
	addr := loopback.FreeAddr(t)
	d, err := Open(control.Options{
		Node: "c1", Listen: addr, Domain: "d1", Data: filepath.Join(t.TempDir(), "data"), FS: disk,
		Peers: []control.Peer{{Node: "c1", Addr: addr}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// submit sends a configuration with the given revision.
func submit(d *Daemon, revision uint64) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := d.SubmitConfiguration(ctx, []byte(fmt.Sprint(revision)), func(source []byte) (wire.Apply, error) {
		c := settings.DefaultCluster()
		c.Teams["t"] = settings.Team{Quota: int(revision), MaxQueued: 1}
		return wire.Apply{Revision: revision, Source: source, Pairs: settings.Flatten(c)}, nil
	})
	return err
}

func heldSource(d *Daemon) string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	c, err := d.ReadConfiguration(ctx)
	if err != nil {
		return err.Error()
	}
	return string(c.Text)
}

const settleTime = 30 * time.Second

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(settleTime); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// Guards against a control process that ends when its disk is full, that goes on serving or
// loses what it has acknowledged, and against one that needs help once there is room.
func TestFullDiskStopsTheNodeUntilThereIsRoom(t *testing.T) {
	disk := &fillableFS{}
	d := fillableDaemon(t, disk)
	eventually(t, "a leader", func() bool { return submit(d, 1) == nil })
	for _, acked := range []uint64{1, 3} { // the disk is full twice
		disk.full.Store(true)
		if submit(d, acked+1) == nil {
			t.Error("a change was acknowledged on a full disk")
		}
		eventually(t, "the stop of the node", func() bool { return d.node.Load() == nil })
		err := verdict.FromError(d.Ready())
		if err == nil || err.Reason != verdict.NoQuorum || err.Verdict != verdict.NotRun {
			t.Errorf("readiness on a full disk: %v", err)
		}
		if err := verdict.FromError(submit(d, acked+1)); err == nil || err.Verdict != verdict.NotRun {
			t.Errorf("a change while the node is stopped: %v", err)
		}
		time.Sleep(2 * reopenInterval) // attempts to start it fail
		disk.full.Store(false)
		eventually(t, "readiness with room", func() bool { return d.Ready() == nil })
		if got := heldSource(d); got != fmt.Sprint(acked) && got != fmt.Sprint(acked+1) {
			t.Errorf("held after the disk was full: %s, acknowledged was %d", got, acked)
		}
		if err := submit(d, acked+2); err != nil || heldSource(d) != fmt.Sprint(acked+2) {
			t.Errorf("a change with room: %v, held %s", err, heldSource(d))
		}
	}
	if err := d.Close(); err != nil {
		t.Errorf("a planned stop: %v", err)
	}
}

// Guards against a daemon that doesn't stop while its disk is full, and against one that opens
// its log again after a failed sync: what is on disk isn't known then.
func TestDaemonStopsOnAFullDiskAndOnAFailedSync(t *testing.T) {
	disk := &fillableFS{}
	disk.full.Store(true)
	d := fillableDaemon(t, disk)
	if d.Ready() == nil {
		t.Error("ready on a disk that was full from the start")
	}
	if err := d.Close(); err != nil {
		t.Errorf("a planned stop on a full disk: %v", err)
	}
	disk = &fillableFS{}
	d = fillableDaemon(t, disk)
	eventually(t, "a leader", func() bool { return submit(d, 1) == nil })
	disk.failSync.Store(true)
	if err := submit(d, 2); err == nil {
		t.Error("a change was acknowledged without a sync")
	}
	select {
	case <-d.Done():
	case <-time.After(settleTime):
		t.Error("the daemon goes on after a failed sync")
	}
	if err := d.Close(); err == nil {
		t.Error("the failed sync isn't reported")
	}
}
