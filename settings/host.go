package settings

import "strings"

// CanonicalHost returns the form in which two hosts are compared: ASCII letters in lower
// case, without a port and without one final dot. Everything that compares hosts uses it
// (the check for duplicate queues and the queue table of the entries), so that a host
// which the check tells apart from all others is also one that requests reach.
//
// The host is that of a Host field: a name or an IP literal in brackets, and optionally a
// colon and a decimal port. Anything else after a colon is part of the host.
func CanonicalHost(host string) string {
	return lowerASCII(strings.TrimSuffix(trimPort(host), "."))
}

func trimPort(host string) string {
	colon := strings.LastIndexByte(host, ':')
	if colon < 0 || strings.Trim(host[colon+1:], "0123456789") != "" {
		return host
	}
	name := host[:colon]
	isLiteral := strings.HasPrefix(name, "[") && strings.HasSuffix(name, "]")
	if strings.Contains(name, ":") && !isLiteral {
		return host // an IPv6 address without brackets has no port
	}
	return name
}

// lowerASCII returns s with A to Z in lower case. Unlike strings.ToLower, it leaves all
// other bytes as they are, and so does the comparison of host names in HTTP.
func lowerASCII(s string) string {
	if strings.IndexFunc(s, isUpperASCII) < 0 {
		return s
	}
	b := []byte(s)
	for i, c := range b {
		if isUpperASCII(rune(c)) {
			b[i] = c + 'a' - 'A'
		}
	}
	return string(b)
}

func isUpperASCII(c rune) bool { return 'A' <= c && c <= 'Z' }
