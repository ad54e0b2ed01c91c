package member

import (
	"slices"
	"sync"
)

// Directory holds the addresses of the control nodes: those that the control group
// has told, until then those of the settings. The sessions of a process share it, so
// that a new one begins with what the one before has learnt.
type Directory struct {
	mu    sync.Mutex
	seeds []string
	group []string // empty until the group has told them
}

// NewDirectory returns a directory with the addresses of the settings, host:port.
func NewDirectory(seeds ...string) *Directory { return &Directory{seeds: seeds} }

// Addrs returns the addresses to use. The caller must not change them.
func (d *Directory) Addrs() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.group) > 0 {
		return d.group
	}
	return d.seeds
}

// SetSeeds replaces the addresses of the settings.
func (d *Directory) SetSeeds(seeds []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seeds = slices.Clone(seeds)
}

// setGroup takes over the addresses that the control group has told.
func (d *Directory) setGroup(addrs []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.group = slices.Clone(addrs)
}

// forgetGroup returns to the addresses of the settings when none of the group's
// answers any more.
func (d *Directory) forgetGroup() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.group = nil
}
