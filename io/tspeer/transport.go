// Package tspeer carries calls between entry VMs: HTTP/2 without encryption,
// or with mutual TLS when certificates are set. It knows nothing of the
// protocols, which are connect-go services mounted on a [Server].
//
// # Usage
//
//	pair, err := tspeer.LoadTLS(certFile, keyFile, caFile)
//	t := tspeer.NewTransport(tspeer.Config{TLS: pair})
//	httpClient, baseURL := t.Client(peer.PeerAddr)
//	gossip := tspeerapiconnect.NewGossipClient(httpClient, baseURL)
//
//	s := tspeer.NewServer(tspeer.Config{TLS: pair})
//	s.Mount(tspeerapiconnect.NewGossipHandler(fleet))
//	err = s.Serve(ctx, listener)
//
// Tests cut links in the Dial hook of [Config].
package tspeer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"connectrpc.com/connect"

	"turmericshed"
)

const (
	// PeerName is the DNS name that every peer's certificate must have.
	// Addresses of replaced VMs are not known when certificates are issued.
	PeerName = "peer.turmericshed"

	dialTimeout       = 2 * time.Second
	idleTimeout       = 90 * time.Second
	pingIdleInterval  = 15 * time.Second
	pingTimeout       = 5 * time.Second
	readHeaderTimeout = 5 * time.Second
	shutdownTimeout   = 5 * time.Second
	// maxHeaderBytes bounds the headers of one call.
	maxHeaderBytes = 16 << 10
)

// DialFunc opens a connection; see net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Config holds the settings of both sides.
type Config struct {
	// Dial replaces the dialer; nil takes net.Dialer.
	Dial DialFunc
	// TLS turns on mutual TLS; nil is HTTP/2 without encryption.
	TLS *tls.Config
	// Clock joins the processes' logical clocks by a header; nil does not.
	Clock Clock
	// Plain carries one call at a time on a connection (HTTP/1.1). A call that
	// gets no answer then costs its connection, so that one which went silent
	// is not used again. It can't be joined with TLS.
	Plain bool
	// StopTimeout is what calls in flight have left when the server stops; 0
	// takes shutdownTimeout.
	StopTimeout time.Duration
}

// Clock adds the logical clock to messages between processes.
type Clock interface {
	// Transport stamps the requests that are sent.
	Transport(next http.RoundTripper) http.RoundTripper
	// Receive joins the stamps of the requests that are received.
	Receive(next http.Handler) http.Handler
}

// LoadTLS reads PEM files for mutual TLS. Errors: KindBadRequest.
func LoadTLS(certFile, keyFile, caFile string) (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, turmericshed.WrapError(turmericshed.KindBadRequest, err, "peer certificate")
	}
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, turmericshed.WrapError(turmericshed.KindBadRequest, err, "peer authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, turmericshed.NewError(turmericshed.KindBadRequest, "peer authority %s: no certificate in it", caFile)
	}
	return MutualTLS(pair, pool), nil
}

// MutualTLS returns the settings under which both sides must show a
// certificate of the authority that names PeerName.
func MutualTLS(pair tls.Certificate, authority *x509.CertPool) *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{pair},
		RootCAs:      authority,
		ClientCAs:    authority,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ServerName:   PeerName,
		MinVersion:   tls.VersionTLS13,
		VerifyConnection: func(s tls.ConnectionState) error {
			return s.PeerCertificates[0].VerifyHostname(PeerName)
		},
	}
}

// Peers opens calls to other entry VMs.
type Peers interface {
	// Client returns the HTTP client and base URL for connect-go clients of
	// the peer at addr.
	Client(addr netip.AddrPort) (c connect.HTTPClient, baseURL string)
}

var _ Peers = (*Transport)(nil)

// Transport opens and keeps connections to peers.
type Transport struct {
	client    *http.Client
	transport *http.Transport
	scheme    string
}

// NewTransport returns a transport.
func NewTransport(cfg Config) *Transport {
	dial := cfg.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	rt := &http.Transport{
		DialContext:     dial,
		IdleConnTimeout: idleTimeout,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingIdleInterval, PingTimeout: pingTimeout},
		Protocols:       new(http.Protocols),
	}
	t := &Transport{client: &http.Client{Transport: rt}, transport: rt, scheme: "http"}
	if cfg.Clock != nil {
		t.client.Transport = cfg.Clock.Transport(rt)
	}
	if cfg.TLS != nil {
		t.scheme = "https"
		rt.TLSClientConfig = cfg.TLS.Clone()
		rt.Protocols.SetHTTP2(true)
		return t
	}
	if cfg.Plain {
		rt.Protocols.SetHTTP1(true)
		return t
	}
	rt.Protocols.SetUnencryptedHTTP2(true)
	return t
}

// Client returns the HTTP client and base URL for connect-go clients of the
// peer at addr.
func (t *Transport) Client(addr netip.AddrPort) (connect.HTTPClient, string) {
	return t.client, t.scheme + "://" + addr.String()
}

// Close closes idle connections.
func (t *Transport) Close() { t.transport.CloseIdleConnections() }
