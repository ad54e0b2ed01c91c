package ops

import (
	"errors"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

func get(t *testing.T, url, token string) (int, string) {
	t.Helper()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI(url)
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	if err := fasthttp.Do(req, resp); err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode(), string(resp.Body())
}

// Guards against a dump that can be read without the token, and against a daemon that
// reports that it is ready while it refuses work.
func TestPages(t *testing.T) {
	s, err := New(Options{
		Addr:   "127.0.0.1:0",
		Prefix: "test",
		Ready:  func() error { return errors.New("draining") },
		Dump:   func() any { return struct{ Rows int }{7} },
		Token:  "secret",
	})
	if err != nil {
		t.Fatal(err)
	}
	s.Scope().Counter("starts").Inc(1)
	base := "http://" + s.Addr()
	if code, _ := get(t, base+"/healthz", ""); code != 200 {
		t.Errorf("healthz: %d", code)
	}
	if code, body := get(t, base+"/readyz", ""); code != 503 || !strings.Contains(body, "draining") {
		t.Errorf("readyz: %d %q", code, body)
	}
	for _, token := range []string{"", "guess"} {
		if code, _ := get(t, base+"/dump", token); code != 401 {
			t.Errorf("dump with token %q: %d", token, code)
		}
	}
	if code, body := get(t, base+"/dump", "secret"); code != 200 || !strings.Contains(body, `"Rows": 7`) {
		t.Errorf("dump: %d %q", code, body)
	}
	if err := s.scopeCloser.Close(); err != nil { // reports pending metrics
		t.Fatal(err)
	}
	if code, body := get(t, base+"/metrics", "secret"); code != 200 || !strings.Contains(body, "test_starts 1") {
		t.Errorf("metrics: %d %q", code, body)
	}
	if err := s.http.Shutdown(); err != nil {
		t.Fatal(err)
	}
}
