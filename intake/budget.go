package intake

import (
	"math"
	"sync"
)

// Budget is the memory, in bytes, that peers can make a process hold through all of its
// listeners together: connections with their buffers, requests, their decoded form and
// answers. Each listener takes from it through an Account. It is safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	total int64
	// used is the sum over all accounts of what an account holds or, if that is more, of
	// what is kept for it.
	used     int64
	released chan struct{} // closed at the next release; nil while nobody waits for one
	free     [][]byte      // chunks that are not in use
}

// NewBudget returns a budget of the given number of bytes.
func NewBudget(bytes int64) *Budget { return &Budget{total: bytes} }

// Account is what one listener takes from a budget.
type Account struct {
	budget *Budget
	kept   int64 // bytes that other accounts can't take
	limit  int64 // bytes that this account can take
	held   int64
}

// Unlimited returns a budget that never runs out, for a process whose memory is bounded by
// other means.
func Unlimited() *Budget { return NewBudget(math.MaxInt64 / 2) }

// Bytes returns the size of the budget.
func (b *Budget) Bytes() int64 { return b.total }

// Share returns an account for shares of the budget: kept is the share that other accounts
// can't take, limit the largest share that this one can take.
func (b *Budget) Share(kept, limit float64) *Account {
	return b.NewAccount(int64(kept*float64(b.total)), int64(limit*float64(b.total)))
}

// Connections returns the number of connections for three quarters of what the account can
// take. The rest is for their requests.
func (a *Account) Connections() int { return int(min(a.limit/4*3/ConnBytes, math.MaxInt32)) }

// NewAccount returns an account that can always take kept bytes and never more than limit
// bytes. The sum of the kept bytes of all accounts must not exceed the budget.
func (b *Budget) NewAccount(kept, limit int64) *Account {
	b.mu.Lock()
	defer b.mu.Unlock()
	kept = min(kept, limit)
	b.used += kept
	return &Account{budget: b, kept: kept, limit: limit}
}

// take takes n bytes. It returns false if there is no room for them.
func (a *Account) take(n int64) bool {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	more := max(a.held+n, a.kept) - max(a.held, a.kept)
	if a.held+n > a.limit || more > 0 && b.used+more > b.total {
		return false
	}
	b.used += more
	a.held += n
	return true
}

// force takes n bytes that are in memory already, also beyond the limits. Later requests
// find less room.
func (a *Account) force(n int64) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used += max(a.held+n, a.kept) - max(a.held, a.kept)
	a.held += n
}

// give gives n bytes back.
func (a *Account) give(n int64) {
	if n == 0 {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= max(a.held, a.kept) - max(a.held-n, a.kept)
	a.held -= n
	if b.released != nil {
		close(b.released)
		b.released = nil
	}
}

// nextRelease returns a channel that is closed when bytes are given back.
func (a *Account) nextRelease() <-chan struct{} {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.released == nil {
		b.released = make(chan struct{})
	}
	return b.released
}

// bytes returns what the account holds.
func (a *Account) bytes() int64 {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.held
}
