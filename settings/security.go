package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"

	"github.com/go-faster/errors"

	"github.com/baobabshore/baobabshore/rpc"
)

// minTokenBytes makes a guess of the shared token hopeless.
const minTokenBytes = 16

// Security reads the token and the TLS files of the process.
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

// ReadToken reads a token file. An empty path gives an empty token.
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
		return "", errors.Errorf("token_file: %s holds %d bytes, fewer than %d. Fix: write a random token of %d bytes or more",
			path, len(token), minTokenBytes, minTokenBytes)
	}
	return token, nil
}

// Load reads the files. Both ends of a connection show a certificate of the
// same authority. It returns nil if TLS is not in use.
func (t TLS) Load() (*tls.Config, error) {
	if !t.Set() {
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
		return nil, errors.Errorf("tls.ca: %s holds no certificate", t.CA)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}, nil
}
