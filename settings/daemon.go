package settings

import (
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/wire"
)

// Process holds the settings that all daemons share.
type Process struct {
	Node          ids.Node   `yaml:"node" form:"name" need:"true" unit:"name of this process, unique in the deployment"`
	Region        ids.Region `yaml:"region" form:"name" unit:"name of the region"`
	FailureDomain ids.Domain `yaml:"failure_domain" form:"name" need:"true" unit:"name of the failure domain"`
	// Listen is the address of the listener for the other processes of the deployment.
	Listen string `yaml:"listen" form:"listen" unit:"host:port for the system's other processes"`
	// Advertise is the address on which the other processes reach Listen. If it is
	// empty, they use the address to which the listener is bound.
	Advertise string `yaml:"advertise" form:"address" unit:"host:port on which others reach listen, empty = listen"`
	// Ops is the address of the operators' HTTP listener.
	Ops string `yaml:"ops" form:"listen" unit:"host:port for metrics, health and dumps"`
	// TokenFile holds the token that all processes of the deployment share.
	TokenFile string `yaml:"token_file" form:"path" unit:"file with the shared token, empty = none"`
	TLS       TLS    `yaml:"tls"`
	// MemoryBytes is the memory of the process. Half of it is for what callers and other
	// processes can make it hold.
	MemoryBytes int `yaml:"memory_bytes" range:"0..1099511627776" unit:"bytes of memory of the process, 0 = GOMEMLIMIT or half of the machine's, at most 144 MiB"`
}

// TLS holds the paths of the PEM files for mutual TLS between the processes of the
// deployment. Either all three are set or none.
type TLS struct {
	Cert string `yaml:"cert" form:"path" unit:"PEM file, certificate of this process"`
	Key  string `yaml:"key" form:"path" unit:"PEM file, key of the certificate"`
	CA   string `yaml:"ca" form:"path" unit:"PEM file, authority of all certificates"`
}

// Enabled reports whether any of the files is set.
func (t TLS) Enabled() bool { return t != TLS{} }

// Control holds the settings of baobab-control.
type Control struct {
	Process `yaml:",inline"`
	// Data is the directory of the replicated log and its snapshots.
	Data string `yaml:"data" form:"path" need:"true" unit:"folder of the replicated log"`
	// Peers lists all nodes of the control group, including this one. A node that
	// replaces a lost node lists itself and the remaining nodes.
	Peers []Peer `yaml:"peers" need:"true" unit:"all nodes of the control group, this one included"`
}

// Peer is a node of the control group.
type Peer struct {
	Node    ids.Node `yaml:"node" form:"name" need:"true" unit:"name of the control node"`
	Address string   `yaml:"address" form:"address" need:"true" unit:"host:port of its listener"`
}

// Entry holds the settings of baobab-entry.
type Entry struct {
	Process `yaml:",inline"`
	// Control lists the listeners of control nodes.
	Control []string `yaml:"control" form:"address" need:"true" unit:"host:port of each control node"`
	// Callers is the address of the HTTP listener for callers.
	Callers string `yaml:"callers" form:"listen" unit:"host:port of the callers' HTTP listener"`
	// Weight is the capacity of this entry relative to the other entries.
	Weight int    `yaml:"weight" range:"1..1000" unit:"size of this entry relative to the others"`
	Limits Limits `yaml:"limits"`
}

// Limits bounds the resources that callers can use at one entry.
type Limits struct {
	Connections int `yaml:"connections" range:"1..1000000" unit:"connections of callers at once"`
	BodyBytes   int `yaml:"body_bytes" range:"1024..67108864" unit:"bytes of one request of a caller"`
	// RequestBytes bounds the bodies of all requests that are being read or answered.
	RequestBytes int      `yaml:"request_bytes" range:"1048576..17179869184" unit:"bytes of requests that are read or answered at once, at least body_bytes"`
	ReadTimeout  Duration `yaml:"read_timeout" range:"100ms..10m" unit:"time for reading one request"`
	IdleTimeout  Duration `yaml:"idle_timeout" range:"1s..1h" unit:"time an idle connection is kept"`
	// AnswerBytes bounds the memory for answers that are kept for callers.
	AnswerBytes int `yaml:"answer_bytes" range:"1048576..17179869184" unit:"bytes of answers kept for callers"`
}

// Agent holds the settings of baobab-agent.
type Agent struct {
	Process `yaml:",inline"`
	// Control lists the listeners of control nodes.
	Control []string    `yaml:"control" form:"address" need:"true" unit:"host:port of each control node"`
	Service ids.Service `yaml:"service" form:"name" need:"true" unit:"service of the upstream"`
	// Upstream is the address of the upstream's HTTP listener.
	Upstream    string `yaml:"upstream" form:"address" need:"true" unit:"host:port of the upstream"`
	Slots       int    `yaml:"slots" range:"1..4096" unit:"tasks at once on the upstream"`
	Connections int    `yaml:"connections" range:"1..65535" unit:"connections to the upstream, at least slots"`
}

func defaultProcess(listen, ops string) Process {
	return Process{Region: "main", Listen: listen, Ops: ops}
}

// DefaultControl returns the defaults of a control node.
func DefaultControl() Control {
	return Control{Process: defaultProcess("127.0.0.1:7100", "127.0.0.1:7101")}
}

// DefaultEntry returns the defaults of an entry.
func DefaultEntry() Entry {
	return Entry{
		Process: defaultProcess("127.0.0.1:7200", "127.0.0.1:7201"),
		Callers: "127.0.0.1:8080",
		Weight:  1,
		Limits: Limits{
			Connections:  4096,
			BodyBytes:    2 * wire.MaxBodyBytes,
			RequestBytes: 256 << 20,
			ReadTimeout:  Duration(10 * time.Second),
			IdleTimeout:  Duration(time.Minute),
			AnswerBytes:  256 << 20,
		},
	}
}

// DefaultAgent returns the defaults of an agent.
func DefaultAgent() Agent {
	return Agent{
		Process:     defaultProcess("127.0.0.1:7300", "127.0.0.1:7301"),
		Slots:       DefaultService().Slots,
		Connections: DefaultService().Connections,
	}
}
