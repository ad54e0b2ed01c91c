package settings

import (
	"fmt"
	"testing"

	"github.com/baobabshore/baobabshore/ids"
)

// largeCluster returns a configuration with the given number of queues.
func largeCluster(queues int) Cluster {
	c := DefaultCluster()
	c.Services["s"] = DefaultService()
	for i := range queues {
		q := DefaultQueue()
		q.Host, q.Prefix, q.Service = "h.example", fmt.Sprintf("/q%d/", i), "s"
		c.Queues[ids.Queue(fmt.Sprintf("q-%d", i))] = q
	}
	return c
}

// BenchmarkFromPairs measures the work of an entry for each change of a
// configuration with a thousand queues.
func BenchmarkFromPairs(b *testing.B) {
	pairs := Flatten(largeCluster(1000))
	for b.Loop() {
		if _, err := FromPairs(pairs); err != nil {
			b.Fatal(err)
		}
	}
}
