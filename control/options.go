// Package control implements the control daemon. A Node drives the consensus state
// machine, the log on disk and the replicated tables, and serves the methods
// control.* and peer.*.
package control

import (
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/intake"
	"github.com/baobabshore/baobabshore/member"
	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/wal"
)

// Peer is one of the control nodes that form a new group.
type Peer struct {
	Node ids.Node
	Addr string // host:port
}

// Options configures a control node. withDefaults fills in the defaults.
type Options struct {
	// Node is the name of this control node.
	Node ids.Node
	// Listen is the address to listen on. Default 127.0.0.1:7400.
	Listen string
	// Listener is used instead of Listen if it is not nil.
	Listener net.Listener
	// Advertise is the address at which others reach this node. Default: the address
	// of the listener.
	Advertise string
	// Peers lists the nodes that form a new group, including this one. All nodes
	// need the same list. It has no effect once the group exists. Default: this node
	// alone.
	Peers []Peer
	// JoinOnly makes a node with an empty data directory wait until an existing group
	// has added it. A group that formed anew would have forgotten what the existing one
	// has acknowledged. It has no effect on a node that was started without it and has
	// kept its data directory.
	JoinOnly bool
	// AutoJoin makes a node that is not in the existing group ask to be added, and a
	// leader decide which nodes vote. Without it an operator does both.
	AutoJoin bool
	// Directory holds the addresses of control nodes at which to ask, and to which a
	// leader announces itself. Default: those of Peers.
	Directory *member.Directory
	// Observer makes a node that never votes and keeps no log on disk. It needs no Data.
	Observer bool
	// LostAfter is how long a voter has to be silent before a learner takes its place
	// if AutoJoin is set. Default 10 s, which is longer than a VM is usually frozen or
	// a restart takes.
	LostAfter time.Duration
	// Tolerance is what the group has to bear the loss of. The nodes of a group need
	// the same value. Default one node.
	Tolerance Tolerance
	Region    ids.Region
	Domain    ids.Domain
	// Data is the directory of the log.
	Data     string
	Security rpc.Security
	// SnapshotEntries and SnapshotBytes are the growth of the log after which a
	// snapshot is taken. Defaults 20,000 entries and 8 MB.
	SnapshotEntries int
	SnapshotBytes   int64
	// Tick is the length of a consensus tick. Default 50 ms.
	Tick time.Duration

	// FS and Dial replace the file system and the dialer in tests.
	FS   wal.FS
	Dial member.Dialer
	// Scope receives the metrics; nil disables them.
	Scope tally.Scope
	// Gate bounds what other processes can make the node hold. Nil bounds the number of
	// their connections only.
	Gate *intake.Gate
	// Counters counts the messages of the node. Default: a new set of counters.
	Counters *rpc.Counters
}

// PeersShare is what other processes can take of the limits of a control node's process.
var PeersShare = intake.Share{Sockets: 0.625, Kept: 0.5, Limit: 0.75}

// Tolerance is what may be lost at the same time, disks included, without the loss of
// anything acknowledged.
type Tolerance struct {
	Nodes   int // control nodes
	Domains int // failure domains, with all control nodes in them
}

const (
	defaultListen          = "127.0.0.1:7400"
	defaultSnapshotEntries = 20_000
	defaultSnapshotBytes   = 8 << 20
	defaultTick            = 50 * time.Millisecond
	defaultLostAfter       = 10 * time.Second
	defaultLosses          = 1
)

func (o Options) withDefaults() Options {
	if o.Listen == "" {
		o.Listen = defaultListen
	}
	if o.SnapshotEntries == 0 {
		o.SnapshotEntries = defaultSnapshotEntries
	}
	if o.SnapshotBytes == 0 {
		o.SnapshotBytes = defaultSnapshotBytes
	}
	if o.Tick == 0 {
		o.Tick = defaultTick
	}
	if o.LostAfter == 0 {
		o.LostAfter = defaultLostAfter
	}
	if o.Counters == nil {
		o.Counters = &rpc.Counters{}
	}
	if o.Tolerance == (Tolerance{}) {
		o.Tolerance = Tolerance{Nodes: defaultLosses}
	}
	if o.FS == nil {
		o.FS = wal.OSFS{}
		if o.Observer {
			o.FS = wal.Discard{}
		}
	}
	return o
}

func (o Options) check() error {
	if o.Node == "" {
		return errors.New("control: no node name is given")
	}
	if o.Data == "" && !o.Observer {
		return errors.New("control: no data directory is given")
	}
	if o.Observer && !o.JoinOnly {
		return errors.New("control: an observer can't form a group")
	}
	if len(o.Peers) == 0 || o.JoinOnly {
		return nil
	}
	seen := map[ids.Node]bool{}
	for _, p := range o.Peers {
		if p.Node == "" || p.Addr == "" || seen[p.Node] {
			return errors.Errorf("control: peer %q has no name or no address, or is given twice", p.Node)
		}
		seen[p.Node] = true
	}
	if !seen[o.Node] {
		return errors.Errorf("control: node %q is not among its peers; give every node the same list", o.Node)
	}
	return nil
}

func (o Options) peerAddrs() []string {
	var out []string
	for _, p := range o.Peers {
		out = append(out, p.Addr)
	}
	return out
}

// listen opens the listener. It refuses an address other than loopback without a
// token or certificates, since the node would accept calls of anyone.
func (o Options) listen() (net.Listener, error) {
	if o.Listener != nil {
		return o.Listener, nil
	}
	host, _, err := net.SplitHostPort(o.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "control: listen address %q", o.Listen)
	}
	ip := net.ParseIP(host)
	loopback := host == "localhost" || ip != nil && ip.IsLoopback()
	if !loopback && o.Security.Token == "" && o.Security.TLS == nil {
		return nil, errors.Errorf("control: listening on %s needs a token or certificates", o.Listen)
	}
	l, err := intake.Listen(o.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "control: open listener")
	}
	return l, nil
}
