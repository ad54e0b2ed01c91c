package settings

import "github.com/baobabshore/baobabshore/ids"

// Builder creates a Cluster in code. Each method changes one part and returns
// the builder; Build validates the result.
type Builder struct {
	cluster Cluster
}

// NewCluster returns a builder that holds the defaults.
func NewCluster() *Builder { return &Builder{cluster: DefaultCluster()} }

// Service adds or changes a service. Each option changes one of its defaults.
func (b *Builder) Service(name ids.Service, options ...func(*Service)) *Builder {
	s, ok := b.cluster.Services[name]
	if !ok {
		s = DefaultService()
	}
	for _, o := range options {
		o(&s)
	}
	b.cluster.Services[name] = s
	return b
}

// Team adds or changes a team. Each option changes one of its defaults.
func (b *Builder) Team(name ids.Team, options ...func(*Team)) *Builder {
	t, ok := b.cluster.Teams[name]
	if !ok {
		t = DefaultTeam()
	}
	for _, o := range options {
		o(&t)
	}
	b.cluster.Teams[name] = t
	return b
}

// Dispatch changes the settings of placement and retries.
func (b *Builder) Dispatch(change func(*Dispatch)) *Builder {
	change(&b.cluster.Dispatch)
	return b
}

// Jobs changes the retention and limits of jobs.
func (b *Builder) Jobs(change func(*Jobs)) *Builder {
	change(&b.cluster.Jobs)
	return b
}

// Build returns the configuration, or a Problems with all its errors.
func (b *Builder) Build() (Cluster, error) {
	c, err := FromPairs(Flatten(b.cluster)) // a copy that shares no maps with the builder
	if err != nil {
		return Cluster{}, err
	}
	r := &report{}
	checkComplete(c, r)
	return c, r.err()
}
