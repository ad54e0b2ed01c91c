package entry

import (
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/baobabshore/baobabshore/settings"
	"github.com/baobabshore/baobabshore/wire"
)

// Guards against requests that lie in the listener's queue while an entry waits for
// the control group, as after a loss of all VMs: nobody would know how long they have
// waited. They are answered once it has registered, or refused after a moment.
func TestRequestsBeforeRegistration(t *testing.T) {
	control := newFakeControl(settings.Defaults())
	held, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := held.Addr().String()
	held.Close()

	groupIsBack := make(chan struct{})
	started := make(chan *Entry)
	go func() {
		e, err := Start(t.Context(), Options{
			Node: "e1", Callers: addr,
			Session: func(ctx context.Context, self wire.Registration) (Session, error) {
				select {
				case <-groupIsBack:
				case <-ctx.Done():
					return nil, ctx.Err()
				}
				return control.open(self), nil
			},
		})
		if err != nil {
			t.Error(err)
		}
		started <- e
	}()
	ask := func() string {
		var resp *http.Response
		eventually(t, "the listener", func() bool {
			resp, err = http.Get("http://" + addr + "/v1/jobs/1")
			return err == nil
		})
		defer resp.Body.Close()
		return resp.Header.Get("Baobab-Reason")
	}
	if got := ask(); got != "stale" {
		t.Errorf("before the registration: %q, want stale", got)
	}
	answered := make(chan string)
	go func() { answered <- ask() }()
	close(groupIsBack)
	if got := <-answered; got != "unknown-job" {
		t.Errorf("once registered: %q, want the answer for an unknown job", got)
	}
	if e := <-started; e != nil {
		e.Close()
	}
}
