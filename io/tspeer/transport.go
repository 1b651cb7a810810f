// Package tspeer transports calls between entry VMs over HTTP/2, unencrypted, or with
// mutual TLS if certificates are configured. It is independent of the protocols,
// which are connect-go services mounted on a [Server].
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
// Tests replace the Dial function of [Config] to cut links.
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
	// PeerName is the DNS name that every peer's certificate must contain. All
	// peers share it because the addresses of replacement VMs are not known when
	// certificates are issued.
	PeerName = "peer.turmericshed"

	dialTimeout       = 2 * time.Second
	idleTimeout       = 90 * time.Second
	pingIdleInterval  = 15 * time.Second
	pingTimeout       = 5 * time.Second
	readHeaderTimeout = 5 * time.Second
	shutdownTimeout   = 5 * time.Second
	// maxHeaderBytes bounds the headers of one call, and those of its answer.
	maxHeaderBytes = 16 << 10
	// maxMessageBytes bounds one message in an answer. The largest are snapshots of the routing table.
	maxMessageBytes = 8 << 20
)

// DialFunc opens a connection; see net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Config holds the settings of a Transport and a Server.
type Config struct {
	// Dial opens connections; nil means a net.Dialer.
	Dial DialFunc
	// TLS enables mutual TLS; nil means unencrypted connections.
	TLS *tls.Config
	// Clock propagates the logical clock in a header; nil sends none.
	Clock Clock
	// HTTP1 selects HTTP/1.1, with one call at a time on a connection. A call
	// without an answer then closes its connection, so that a connection which no
	// longer responds is not reused. It has no effect with TLS.
	HTTP1 bool
	// StopTimeout bounds the time that calls in flight have to finish when the
	// server stops; 0 means shutdownTimeout.
	StopTimeout time.Duration
}

// Clock propagates a logical clock with the messages between processes.
type Clock interface {
	// Transport adds the clock's timestamp to requests that are sent.
	Transport(next http.RoundTripper) http.RoundTripper
	// Receive merges the timestamps of received requests into the clock.
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

// MutualTLS returns settings that require of both sides a certificate that was issued
// by the authority for PeerName.
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

// BoundAnswers returns the option of a connect-go client that bounds what is held of an answer,
// whatever answers at the address of a peer.
func BoundAnswers() connect.ClientOption { return connect.WithReadMaxBytes(maxMessageBytes) }

// Peers opens calls to other entry VMs.
type Peers interface {
	// Client returns the HTTP client and base URL for connect-go clients of
	// the peer at addr.
	Client(addr netip.AddrPort) (c connect.HTTPClient, baseURL string)
}

var _ Peers = (*Transport)(nil)

// Transport opens connections to peers and reuses them.
type Transport struct {
	client    *http.Client
	transport *http.Transport
	scheme    string
}

// NewTransport returns a transport without open connections.
func NewTransport(cfg Config) *Transport {
	dial := cfg.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	rt := &http.Transport{
		DialContext:            dial,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		HTTP2:                  &http.HTTP2Config{SendPingTimeout: pingIdleInterval, PingTimeout: pingTimeout},
		Protocols:              new(http.Protocols),
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
	if cfg.HTTP1 {
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
