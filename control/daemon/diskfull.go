package daemon

import (
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"github.com/baobabshore/baobabshore/control"
	"github.com/baobabshore/baobabshore/intake"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wal"
)

// reopenInterval is the pause between two attempts to start the node on a full disk.
const reopenInterval = 500 * time.Millisecond

// isDiskFull reports whether a node has stopped because a write found no space. What was
// written before is intact then: the log can be opened again, which removes a torn end. That
// is not so after a failed sync, whose pages the system may have dropped.
func isDiskFull(err error) bool {
	var failedSync *wal.SyncError
	return errors.Is(err, syscall.ENOSPC) && !errors.As(err, &failedSync)
}

// errDiskFull is the answer to all calls while the node is stopped.
func errDiskFull() *verdict.Error {
	return verdict.Refuse(verdict.NoQuorum, "the disk of the control node is full").After(time.Second)
}

// supervise restarts the node after it has found its disk full. It returns when the node has
// stopped for another reason, or the daemon is closed. n is nil if the disk was full at the
// start of the daemon.
func (d *Daemon) supervise(n *control.Node) {
	defer close(d.done)
	for {
		if n != nil {
			select {
			case <-d.ctx.Done():
				d.err = n.Close()
				return
			case <-n.Done():
			}
			d.node.Store(nil)
			if d.err = n.Close(); !isDiskFull(d.err) {
				return
			}
		}
		if n = d.reopen(); n == nil {
			return
		}
	}
}

// reopen starts the node as soon as the disk has room again. It returns nil if the daemon is
// closed, or d.err is set because the start has failed for another reason.
func (d *Daemon) reopen() *control.Node {
	since := time.Now()
	klog.ErrorS(d.err, "control: Disk full, the node neither votes nor serves", "addr", d.addr, "dir", d.opts.Data)
	d.setDiskFull(1)
	ticker := time.NewTicker(reopenInterval)
	defer ticker.Stop()
	for isDiskFull(d.err) {
		select {
		case <-d.ctx.Done():
			d.err = nil // a planned stop
			return nil
		case <-ticker.C:
		}
		var n *control.Node
		if n, d.err = d.start(); d.err == nil {
			d.node.Store(n)
			d.setDiskFull(0)
			klog.InfoS("control: Disk has room again, the node takes part", "addr", d.addr, "ms", time.Since(since).Milliseconds())
			return n
		}
	}
	return nil
}

// start starts the node on a new listener, since a node closes its own.
func (d *Daemon) start() (*control.Node, error) {
	l, err := intake.Listen(d.addr)
	if err != nil {
		return nil, errors.Wrap(err, "control: listen")
	}
	o := d.opts
	o.Listener = l
	return control.Start(o)
}

func (d *Daemon) setDiskFull(v float64) {
	if d.opts.Scope != nil {
		d.opts.Scope.Gauge("disk_full").Update(v)
	}
}
