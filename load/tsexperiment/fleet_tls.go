package tsexperiment

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"turmericshed"
	"turmericshed/io/tspeer"
	"turmericshed/io/tspeerapi"
)

const tlsConnections = 50

// measureConnections measures the cost of connections with mutual TLS on loopback, each with one
// probe.
func measureConnections(ctx context.Context, cfg *tls.Config, cost *TransportCost) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	addr, err := serveGossip(ctx, tspeer.Config{TLS: cfg})
	if err != nil {
		return err
	}
	var n atomic.Int64
	request := &tspeerapi.GossipMessage{From: &tspeerapi.MemberUpdate{Name: "a", Incarnation: "a", State: 1, PeerAddr: []byte{127, 0, 0, 1, 1, 0}}}
	start := processorTime()
	for range tlsConnections {
		t := tspeer.NewTransport(tspeer.Config{TLS: cfg, Dial: countingDialer(&n)})
		c, base := t.Client(addr)
		if _, err := tspeerapi.NewGossipClient(c, base).Probe(ctx, connect.NewRequest(request)); err != nil {
			return turmericshed.WrapError(turmericshed.KindInternal, err, "probe")
		}
		t.Close()
	}
	cost.TLSMicros = float64((processorTime() - start).Microseconds()) / tlsConnections
	cost.TLSBytes = float64(n.Load()) / tlsConnections
	return nil
}

// temporaryTLS returns mutual TLS settings with a self-signed certificate for one measurement.
func temporaryTLS() (*tls.Config, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, turmericshed.WrapError(turmericshed.KindInternal, err, "generate key")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "experiment"}, DNSNames: []string{tspeer.PeerName},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, turmericshed.WrapError(turmericshed.KindInternal, err, "create certificate")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, turmericshed.WrapError(turmericshed.KindInternal, err, "parse certificate")
	}
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	return tspeer.MutualTLS(tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, pool), nil
}
