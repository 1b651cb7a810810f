package tspeer_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"errors"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed/io/tspeer"
)

// authority issues certificates for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	assert.NilError(t, err)
	cert, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	return authority{cert: cert, key: key}
}

// tlsConfig returns TLS settings with a certificate issued for name.
func (a authority) tlsConfig(t *testing.T, name string) *tls.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(2), DNSNames: []string{name}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &key.PublicKey, a.key)
	assert.NilError(t, err)
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return tspeer.MutualTLS(tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, pool)
}

// serve starts a server that answers with the protocol version of the request, and
// returns its address.
func serve(t *testing.T, cfg tspeer.Config) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := tspeer.NewServer(cfg)
	s.Mount("/", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.Proto)
	}))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, ln) }()
	t.Cleanup(func() {
		cancel()
		assert.ErrorIs(t, <-done, context.Canceled)
	})
	return netip.MustParseAddrPort(ln.Addr().String())
}

// get requests /x at addr through a new transport and returns the body.
func get(t *testing.T, cfg tspeer.Config, addr netip.AddrPort) (string, error) {
	t.Helper()
	tr := tspeer.NewTransport(cfg)
	t.Cleanup(tr.Close)
	c, base := tr.Client(addr)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, base+"/x", nil)
	assert.NilError(t, err)
	res, err := c.Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	return string(b), err
}

func assertReached(t *testing.T, cfg tspeer.Config, addr netip.AddrPort) {
	t.Helper()
	proto, err := get(t, cfg, addr)
	assert.NilError(t, err)
	assert.Equal(t, proto, "HTTP/2.0")
}

func assertRefused(t *testing.T, cfg tspeer.Config, addr netip.AddrPort) {
	t.Helper()
	_, err := get(t, cfg, addr)
	assert.Assert(t, err != nil, "the call succeeded")
}

// Guards against peers that connect with the wrong protocol version, or without a
// certificate of the right authority and name, on either side.
func TestTransport(t *testing.T) {
	t.Run("http/2 without certificates", func(t *testing.T) {
		assertReached(t, tspeer.Config{}, serve(t, tspeer.Config{}))
	})
	t.Run("http/1.1 when one call at a time is configured", func(t *testing.T) {
		proto, err := get(t, tspeer.Config{HTTP1: true}, serve(t, tspeer.Config{HTTP1: true}))
		assert.NilError(t, err)
		assert.Equal(t, proto, "HTTP/1.1")
	})
	t.Run("a cut in the dialer fails the call", func(t *testing.T) {
		addr := serve(t, tspeer.Config{})
		assertRefused(t, tspeer.Config{Dial: func(context.Context, string, string) (net.Conn, error) {
			return nil, errors.New("cut")
		}}, addr)
	})
	a, other := newAuthority(t), newAuthority(t)
	addr := serve(t, tspeer.Config{TLS: a.tlsConfig(t, tspeer.PeerName)})
	t.Run("a peer's certificate is accepted", func(t *testing.T) {
		assertReached(t, tspeer.Config{TLS: a.tlsConfig(t, tspeer.PeerName)}, addr)
	})
	t.Run("no certificate is refused", func(t *testing.T) {
		assertRefused(t, tspeer.Config{}, addr)
	})
	t.Run("a client without its own certificate is refused", func(t *testing.T) {
		cfg := a.tlsConfig(t, tspeer.PeerName)
		cfg.Certificates = nil
		assertRefused(t, tspeer.Config{TLS: cfg}, addr)
	})
	t.Run("another authority's certificate is refused", func(t *testing.T) {
		cfg := other.tlsConfig(t, tspeer.PeerName)
		cfg.RootCAs = a.tlsConfig(t, tspeer.PeerName).RootCAs
		assertRefused(t, tspeer.Config{TLS: cfg}, addr)
	})
	t.Run("a certificate for another purpose is refused", func(t *testing.T) {
		assertRefused(t, tspeer.Config{TLS: a.tlsConfig(t, "other.turmericshed")}, addr)
	})
	t.Run("a server with another name is refused", func(t *testing.T) {
		bad := serve(t, tspeer.Config{TLS: a.tlsConfig(t, "other.turmericshed")})
		assertRefused(t, tspeer.Config{TLS: a.tlsConfig(t, tspeer.PeerName)}, bad)
	})
}
