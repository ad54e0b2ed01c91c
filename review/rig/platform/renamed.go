package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	configApply = 2 * time.Second
	stopGrace   = 50 * time.Millisecond
)

// playRenamed has a client hand a job in. Then the operator adds a route that has the same
// name as the job's, with another prefix. Later than ConfigApplyMs after its confirmation the
// client deletes the job. The rule says that no task of it runs on StopGraceMs after
// cancel_ms from the acknowledgement.
func playRenamed(w *world, trouble bool) (bool, error) {
	id := newID()
	j := smallJob(12_000, 3)
	posted := make(chan answer, 1)
	w.rec.add("client sends job %s to front-1", id)
	go func() { posted <- w.post(0, id, j, 20*time.Second) }()
	for end := time.Now().Add(3 * time.Second); len(w.runsOf(id)) == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			return false, fmt.Errorf("the job doesn't start")
		}
	}
	if trouble {
		if !w.putConfig(w.configWithRouteOfSameName()) {
			return false, fmt.Errorf("the configuration is not acknowledged")
		}
		w.rec.add("the operator's version 3 is acknowledged")
	}
	time.Sleep(configApply + 200*time.Millisecond)
	w.rec.add("client deletes job %s at front-2", id)
	d := w.call(http.MethodDelete, 1, id, "", 3*time.Second)
	acknowledged := time.Now()
	w.rec.add("client gets: %v", d)
	if d.status != http.StatusOK && d.status != http.StatusGone {
		return false, fmt.Errorf("the DELETE is not acknowledged")
	}
	time.Sleep(cancelTime + stopGrace + 500*time.Millisecond)
	broken := false
	for _, t := range w.runsOf(id) {
		if end := acknowledged.Add(cancelTime + stopGrace); t.ended.IsZero() || t.ended.After(end) {
			w.rec.add("UNASKED: %v runs on, %.1f s after the cancelling was acknowledged", t, time.Since(acknowledged).Seconds())
			broken = true
		}
	}
	w.rec.add("the POST gets: %v", <-posted)
	return broken, nil
}

// configWithRouteOfSameName returns the configuration in force with one more route, which
// differs from the first one in its prefix only.
func (w *world) configWithRouteOfSameName() []byte {
	var c map[string]any
	_ = json.Unmarshal(w.config(), &c) // it has been encoded from such a map
	routes := c["Routes"].([]any)
	added := map[string]any{}
	for k, v := range routes[0].(map[string]any) {
		added[k] = v
	}
	added["PathPrefix"] = "/q2/"
	c["Routes"], c["Version"] = append(routes, added), w.version+1
	data, _ := json.Marshal(c)
	return data
}
