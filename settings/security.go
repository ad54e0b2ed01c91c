package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"

	"github.com/go-faster/errors"

	"github.com/baobabshore/baobabshore/rpc"
)

// minTokenBytes is long enough to make guessing a random token infeasible.
const minTokenBytes = 16

// Security loads the token and the TLS files of the process.
func (p Process) Security() (rpc.Security, error) {
	token, err := ReadToken(p.TokenFile)
	if err != nil {
		return rpc.Security{}, err
	}
	conf, err := p.TLS.Load()
	if err != nil {
		return rpc.Security{}, err
	}
	return rpc.Security{Token: token, TLS: conf}, nil
}

// ReadToken reads a token file. It returns an empty token if path is empty.
func ReadToken(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return "", errors.Wrap(err, "token_file")
	}
	token := strings.TrimSpace(string(data))
	if len(token) < minTokenBytes {
		return "", errors.Errorf("token_file: the token in %s has %d bytes, fewer than %d. Fix: write a random token of %d bytes or more",
			path, len(token), minTokenBytes, minTokenBytes)
	}
	return token, nil
}

// Load reads the files and returns the configuration for mutual TLS: both ends of a
// connection present a certificate of the same authority. It returns nil if no file
// is set.
func (t TLS) Load() (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(t.Cert, t.Key)
	if err != nil {
		return nil, errors.Wrap(err, "tls.cert and tls.key")
	}
	pem, err := os.ReadFile(t.CA)
	if err != nil {
		return nil, errors.Wrap(err, "tls.ca")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("tls.ca: %s contains no certificate", t.CA)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}, nil
}
