// Package tsentry is one entry VM: it takes callers' requests over HTTP,
// admits them under a profile, spends from the profile's budget, dispatches
// to a backend server and relays the whole answer or a truthful refusal.
//
// # Usage
//
//	e := tsentry.New(cfg, deps)
//	err := e.Serve(ctx) // returns after a graceful stop
package tsentry

import (
	"net/netip"
	"time"

	"turmericshed"
)

// Config holds the settings of one entry VM.
type Config struct {
	Name          string
	Region        turmericshed.Region
	FailureDomain turmericshed.FailureDomain
	// CallerAddr serves callers and operators, PeerAddr other entry VMs.
	CallerAddr netip.AddrPort
	PeerAddr   netip.AddrPort
	// PlatformAddr is the platform's key-value service and VM list.
	PlatformAddr netip.AddrPort
	// OperatorKeyHash is the hex SHA-256 of the operators' key; empty bars
	// operators' calls.
	OperatorKeyHash string
	// CertFile, KeyFile and CAFile turn on mutual TLS between entry VMs.
	CertFile string
	KeyFile  string
	CAFile   string
	// DrainLimit bounds a graceful stop.
	DrainLimit time.Duration
	// DefaultDeadline applies to requests that name none.
	DefaultDeadline time.Duration
	// MaxRunning bounds the requests that run at once.
	MaxRunning int
}
