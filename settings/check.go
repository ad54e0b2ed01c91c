package settings

import (
	"fmt"
	"net"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/baobabshore/baobabshore/ids"
)

const (
	maxNameBytes = 63
	maxPathBytes = 4096
)

// Names are part of flat keys, URLs and metrics, so they must not contain dots or slashes.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9_-]*[a-z0-9])?$`)

// IsName reports whether s can be the name of a service, team or queue.
func IsName(s string) bool { return len(s) <= maxNameBytes && namePattern.MatchString(s) }

// Checkable is a settings type that Check accepts.
type Checkable interface {
	Cluster | Control | Entry | Agent
}

// Check validates v, including contradictions between its settings. An error is a
// Problems with all errors.
func Check[T Checkable](v T) error {
	r := &report{}
	checkByType(v, r)
	return r.err()
}

func checkByType(v any, r *report) {
	switch v := v.(type) {
	case Cluster:
		checkCluster(v, r)
	case Control:
		checkControl(v, r)
	case Entry:
		checkEntry(v, r)
	case Agent:
		checkAgent(v, r)
	}
}

func checkCluster(c Cluster, r *report) {
	checkValue(reflect.ValueOf(c), field{}, "", r)
	checkRelations(c, r)
}

// checkRelations reports contradictions between the settings of a configuration.
func checkRelations(c Cluster, r *report) {
	for _, name := range sortedNames(c.Services) {
		s := c.Services[name]
		checkConnections(s.Slots, s.Connections, "services."+string(name), r)
	}
	checkQueues(c, r)
	checkJobs(c.Jobs, r)
}

// checkComplete reports what whoever writes a configuration by hand has left out: all
// teams and queues, all services, or the host or the prefix of a queue. A configuration
// made by another program may lack these on purpose.
func checkComplete(c Cluster, r *report) {
	if len(c.Teams) == 0 && len(c.Queues) == 0 {
		r.add("teams", "there is no team and no queue, so callers could not submit any job", "add a team, for example teams: {acme: {quota: 1}}")
	}
	if len(c.Services) == 0 {
		r.add("services", "there is no service, so no task could run", "add a service, for example services: {web: {slots: 8}}")
	}
	for _, name := range sortedNames(c.Queues) {
		key, q := "queues."+string(name), c.Queues[name]
		if q.Host == "" {
			r.add(key+".host", "the value is missing", "set it (host name in the caller's request)")
		}
		if q.Prefix == "" {
			r.add(key+".prefix", "the value is missing", "set it (first part of the path)")
		}
	}
}

// checkQueues reports queues without an existing service and queues with the same
// canonical host and prefix.
func checkQueues(c Cluster, r *report) {
	type hostPrefix struct{ host, prefix string }
	queueByRoute := map[hostPrefix]ids.Queue{}
	for _, name := range sortedNames(c.Queues) {
		q := c.Queues[name]
		key := "queues." + string(name)
		if _, ok := c.Services[q.Service]; !ok {
			r.add(key+".service", fmt.Sprintf("there is no service %q", q.Service), "add the service, or set an existing one")
		}
		route := hostPrefix{CanonicalHost(q.Host), q.Prefix}
		if other, ok := queueByRoute[route]; ok {
			r.add(key+".prefix", fmt.Sprintf("queue %q has the same host and prefix", other), "change one of them")
		}
		queueByRoute[route] = name
	}
}

func checkJobs(j Jobs, r *report) {
	if j.Retention < j.MaxDeadline {
		r.add("jobs.retention", fmt.Sprintf("%s is below max_deadline (%s), so a key could be forgotten before its job must end", formatDuration(j.Retention), formatDuration(j.MaxDeadline)),
			fmt.Sprintf("set retention to %s or more, or lower max_deadline", formatDuration(j.MaxDeadline)))
	}
	if j.TombstoneRetention < j.Retention {
		r.add("jobs.tombstone_retention", fmt.Sprintf("%s is below retention (%s)", formatDuration(j.TombstoneRetention), formatDuration(j.Retention)),
			fmt.Sprintf("set tombstone_retention to %s or more", formatDuration(j.Retention)))
	}
}

func checkConnections(slots, connections int, key string, r *report) {
	if connections < slots {
		r.add(joinKey(key, "connections"), fmt.Sprintf("%d connections are fewer than the %d slots, so some slots could never be used", connections, slots),
			fmt.Sprintf("set connections to %d or more, or lower slots", slots))
	}
}

func checkControl(c Control, r *report) {
	checkValue(reflect.ValueOf(c), field{}, "", r)
	checkProcess(c.Process, r)
	checkPeers(c, r)
	if portOf(c.Listen) == "0" && c.Advertise == "" {
		r.add("listen", "port 0 gives the control node a different address at each start", "set a fixed port")
	}
}

func checkPeers(c Control, r *report) {
	seenNodes := map[ids.Node]bool{}
	seenAddresses := map[string]bool{}
	for i, p := range c.Peers {
		key := "peers." + strconv.Itoa(i)
		if seenNodes[p.Node] {
			r.add(key+".node", fmt.Sprintf("%q is listed twice", p.Node), "give each peer its own name")
		}
		if seenAddresses[p.Address] {
			r.add(key+".address", fmt.Sprintf("%q is listed twice", p.Address), "give each peer its own address")
		}
		seenNodes[p.Node] = true
		seenAddresses[p.Address] = true
	}
	if !seenNodes[c.Node] && c.Node != "" && len(c.Peers) > 0 {
		r.add("peers", fmt.Sprintf("this node (%q) is not in the list", c.Node), "add this node and its address to the list")
	}
	if len(c.Peers)%2 == 0 && len(c.Peers) > 0 {
		r.add("peers", fmt.Sprintf("%d nodes tolerate no more node failures than %d", len(c.Peers), len(c.Peers)-1), "list an odd number of nodes")
	}
}

func checkEntry(e Entry, r *report) {
	checkValue(reflect.ValueOf(e), field{}, "", r)
	checkProcess(e.Process, r)
	checkDistinctAddresses(r, listener{"listen", e.Listen}, listener{"ops", e.Ops}, listener{"callers", e.Callers})
	if e.Limits.RequestBytes < e.Limits.BodyBytes {
		r.add("limits.request_bytes", fmt.Sprintf("%d bytes for all requests are less than body_bytes, %d for one", e.Limits.RequestBytes, e.Limits.BodyBytes), "set at least body_bytes")
	}
}

func checkAgent(a Agent, r *report) {
	checkValue(reflect.ValueOf(a), field{}, "", r)
	checkProcess(a.Process, r)
	checkConnections(a.Slots, a.Connections, "", r)
	checkDistinctAddresses(r, listener{"listen", a.Listen}, listener{"ops", a.Ops}, listener{"upstream", a.Upstream})
}

func checkProcess(p Process, r *report) {
	checkDistinctAddresses(r, listener{"listen", p.Listen}, listener{"ops", p.Ops})
	checkExposure("listen", p.Listen, p, r)
	checkExposure("ops", p.Ops, p, r)
	if isWildcard(p.Listen) && p.Advertise == "" {
		r.add("advertise", fmt.Sprintf("listen %q has no address to which others can connect", p.Listen), "set advertise to host:port on which others reach this process")
	}
	checkTLS(p.TLS, r)
}

func checkTLS(t TLS, r *report) {
	if !t.Enabled() {
		return
	}
	for _, f := range [...]struct{ key, path string }{{"tls.cert", t.Cert}, {"tls.key", t.Key}, {"tls.ca", t.CA}} {
		if f.path == "" {
			r.add(f.key, "TLS needs cert, key and ca", "set all three, or remove tls")
		}
	}
}

func checkExposure(key, address string, p Process, r *report) {
	if address == "" || isLoopback(address) || p.TokenFile != "" || p.TLS.Enabled() {
		return
	}
	r.add(key, fmt.Sprintf("%q is reachable from other machines, without a token or TLS", address),
		"set token_file or tls, or bind to 127.0.0.1")
}

type listener struct{ key, address string }

func checkDistinctAddresses(r *report, listeners ...listener) {
	for i, l := range listeners {
		for _, other := range listeners[:i] {
			if l.address == other.address && l.address != "" && portOf(l.address) != "0" {
				r.add(l.key, fmt.Sprintf("%q is also the address of %s", l.address, other.key), "use another port")
			}
		}
	}
}

// checkValue checks the range, format and presence of v and of all values in it.
func checkValue(v reflect.Value, f field, key string, r *report) {
	switch v.Kind() {
	case reflect.Struct:
		for _, f := range fieldsOf(v.Type()) {
			checkValue(v.FieldByIndex(f.index), f, joinKey(key, f.key), r)
		}
	case reflect.Map:
		checkMap(v, key, r)
	case reflect.Slice:
		checkSlice(v, f, key, r)
	case reflect.String:
		checkString(v.String(), f, key, r)
	default:
		checkRange(v, f, key, r)
	}
}

func checkMap(v reflect.Value, key string, r *report) {
	for _, k := range v.MapKeys() {
		name := joinKey(key, k.String())
		checkString(k.String(), field{format: "name", required: true}, name, r)
		checkValue(v.MapIndex(k), field{}, name, r)
	}
}

func checkSlice(v reflect.Value, f field, key string, r *report) {
	if v.Len() == 0 && f.required {
		r.add(key, "the list is missing or empty", "add "+f.unit)
	}
	for i := range v.Len() {
		checkValue(v.Index(i), f, joinKey(key, strconv.Itoa(i)), r)
	}
}

func checkRange(v reflect.Value, f field, key string, r *report) {
	if f.min == "" {
		return
	}
	low, high := reflect.New(v.Type()).Elem(), reflect.New(v.Type()).Elem()
	if parseScalar(low, f.min) != nil || parseScalar(high, f.max) != nil {
		panic("settings: malformed range of " + key)
	}
	if less(v, low) || less(high, v) {
		r.add(key, formatScalar(v)+" is out of range", fmt.Sprintf("use %s to %s (%s)", f.min, f.max, f.unit))
	}
}

func less(a, b reflect.Value) bool {
	if a.Kind() == reflect.Float64 {
		return a.Float() < b.Float()
	}
	return a.Int() < b.Int()
}

func checkString(s string, f field, key string, r *report) {
	if s == "" {
		if f.required {
			r.add(key, "the value is missing", "set it ("+f.unit+")")
		}
		return
	}
	switch f.format {
	case "name":
		if !IsName(s) {
			r.add(key, fmt.Sprintf("%q is not a name", s), fmt.Sprintf("use at most %d of a-z, 0-9, - and _, with a letter or digit first and last", maxNameBytes))
		}
	case "address", "listen":
		checkAddress(s, f.format == "listen", key, r)
	case "path":
		if len(s) > maxPathBytes || !utf8.ValidString(s) || strings.ContainsFunc(s, unicode.IsControl) {
			r.add(key, fmt.Sprintf("%q is not a path", s), "write a path without control characters")
		}
	}
}

func checkAddress(s string, forListening bool, key string, r *report) {
	const fix = "write host:port, for example 127.0.0.1:7100"
	host, portText, err := net.SplitHostPort(s)
	if err != nil || strings.ContainsFunc(host, isInvalidInHost) {
		r.add(key, fmt.Sprintf("%q is not an address", s), fix)
		return
	}
	n, err := strconv.ParseUint(portText, 10, 16)
	if err != nil || strconv.FormatUint(n, 10) != portText {
		r.add(key, fmt.Sprintf("%q is not a port number from 0 to 65535", portText), fix)
		return
	}
	if !forListening && (host == "" || n == 0 || isWildcard(s)) {
		r.add(key, fmt.Sprintf("%q is not an address to which processes can connect", s), fix)
	}
}

func isInvalidInHost(c rune) bool {
	return c > unicode.MaxASCII || !unicode.IsLetter(c) && !unicode.IsDigit(c) && !strings.ContainsRune(".-_:%", c)
}

func portOf(address string) string {
	_, p, _ := net.SplitHostPort(address)
	return p
}

func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return true // a malformed address is reported by checkAddress
	}
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

func isWildcard(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return host == "" || ip != nil && ip.IsUnspecified()
}

func formatDuration(d Duration) string { return formatScalar(reflect.ValueOf(d)) }

func sortedNames[K ~string, V any](m map[K]V) []K {
	names := make([]K, 0, len(m))
	for k := range m {
		names = append(names, k)
	}
	slices.Sort(names)
	return names
}
