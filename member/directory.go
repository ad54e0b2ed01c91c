package member

import (
	"slices"
	"sync"
)

// Directory holds the addresses of the control nodes. These are the addresses that the
// control group reported last or, while no report is in use, those from the settings. The
// sessions of a process share it, so that a new session starts with the addresses that
// earlier ones received. It is safe for concurrent use.
type Directory struct {
	mu         sync.Mutex
	seedAddrs  []string
	groupAddrs []string // empty while no report of the group is in use
}

// NewDirectory returns a directory with the addresses from the settings, host:port.
func NewDirectory(seedAddrs ...string) *Directory { return &Directory{seedAddrs: seedAddrs} }

// Addrs returns the addresses to use. The caller must not change them.
func (d *Directory) Addrs() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.groupAddrs) > 0 {
		return d.groupAddrs
	}
	return d.seedAddrs
}

// SetSeeds replaces the addresses from the settings.
func (d *Directory) SetSeeds(seedAddrs []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seedAddrs = slices.Clone(seedAddrs)
}

// setGroupAddrs stores the addresses that the control group reported.
func (d *Directory) setGroupAddrs(addrs []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.groupAddrs = slices.Clone(addrs)
}

// clearGroupAddrs falls back to the addresses from the settings. It is called when none
// of the reported addresses answers any more.
func (d *Directory) clearGroupAddrs() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.groupAddrs = nil
}
