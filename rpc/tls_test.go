package rpc

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"testing"
	"time"
)

// mutualTLSConfig returns a configuration with a self-signed certificate for ip, which
// both ends trust.
func mutualTLSConfig(t *testing.T, ip net.IP) *tls.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), IPAddresses: []net.IP{ip}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	return &tls.Config{
		MinVersion: tls.VersionTLS13, RootCAs: pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
	}
}

// Guards against mutual TLS that fails if the address is an IP address, and against a
// certificate for another address or a client without certificate that is accepted.
func TestMutualTLS(t *testing.T) {
	conf := mutualTLSConfig(t, net.IPv4(127, 0, 0, 1))
	s := startServer(t, Security{TLS: conf})
	c, err := Dial(t.Context(), s.Addr(), Security{TLS: conf}, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	var got echo
	if err := c.Call(t.Context(), "echo", echo{"hello"}, &got); err != nil || got.Text != "hello" {
		t.Fatalf("echo: %v %v", got, err)
	}
	other := mutualTLSConfig(t, net.IPv4(127, 0, 0, 9))
	otherServer := startServer(t, Security{TLS: other})
	if _, err := Dial(t.Context(), otherServer.Addr(), Security{TLS: other}, nil, nil); err == nil {
		t.Error("a certificate of another address was accepted")
	}
	anonymous := &tls.Config{RootCAs: conf.RootCAs}
	c, err = Dial(t.Context(), s.Addr(), Security{TLS: anonymous}, nil, nil)
	if err == nil {
		defer c.Close()
		if err := c.Call(t.Context(), "echo", echo{}, nil); err == nil {
			t.Error("a client without a certificate was served")
		}
	}
}
