package control

import (
	"testing"
	"time"

	"github.com/baobabshore/baobabshore/controlstate"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// Guards against a follower that has not applied a registration yet and replies with
// a version but no rows, so that the member misses the configuration.
func TestRenewalBeforeRegistrationIsApplied(t *testing.T) {
	c := &core{state: controlstate.New(), leases: newLeases(), confirmedAt: time.Now()}
	c.state.Skip(4)
	r, err := c.renew(wire.Renew{Incarnation: 5}, time.Now())
	if err == nil || err.Verdict != verdict.NotRun {
		t.Fatalf("reply %+v, error %v", r, err)
	}
}
