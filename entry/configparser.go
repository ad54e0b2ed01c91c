package entry

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/baobabshore/baobabshore/dispatch"
	"github.com/baobabshore/baobabshore/member"
	"github.com/baobabshore/baobabshore/settings"
	"github.com/baobabshore/baobabshore/wire"
)

// parsedConfig is a configuration in the form in which the entry uses it.
type parsedConfig struct {
	cluster  settings.Cluster
	queues   *QueueTable
	dispatch dispatch.Config
}

// configParser parses the configurations of successive views. It runs outside the event
// loop, since a configuration of thousands of queues takes many times as long as a tick.
type configParser struct {
	lastVersion uint64 // of the configuration seen last, valid or not
	// cluster is the last valid configuration, and pairs its settings, nil before the
	// first one.
	cluster settings.Cluster
	pairs   []wire.Pair
}

// parse returns the configuration of a view, or nil if the last view had it too or it is
// invalid.
func (p *configParser) parse(v *member.View) *parsedConfig {
	if v.ConfigVer == p.lastVersion {
		return nil
	}
	p.lastVersion = v.ConfigVer
	begin := time.Now()
	c, err := p.parseCluster(v.Config)
	if err != nil {
		klog.Errorf("entry: Configuration version %d is invalid and was not applied: %v.", v.ConfigVer, err)
		return nil
	}
	p.cluster, p.pairs = c, v.Config
	out := &parsedConfig{cluster: c, queues: NewQueueTable(v.ConfigVer, c.Queues), dispatch: dispatch.FromCluster(c)}
	klog.InfoS("entry: Configuration parsed", "config", v.ConfigVer, "queues", len(c.Queues), "ms", time.Since(begin).Milliseconds())
	return out
}

func (p *configParser) parseCluster(pairs []wire.Pair) (settings.Cluster, error) {
	if p.pairs == nil {
		return settings.FromPairs(pairs)
	}
	return settings.UpdateFromPairs(p.cluster, p.pairs, pairs)
}
