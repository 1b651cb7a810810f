// Package tsentry implements an entry VM. It accepts callers' requests over HTTP, admits them under a
// profile, charges the profile's budget and dispatches them to a backend server. A caller receives either
// the complete answer or an error that states whether the request ran.
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
	// CallerAddr is the listen address for callers and operators, PeerAddr that for other entry VMs.
	CallerAddr netip.AddrPort
	PeerAddr   netip.AddrPort
	// PlatformAddr is the address of the platform's key-value service and VM list.
	PlatformAddr netip.AddrPort
	// OperatorKeyHash is the hex SHA-256 of the operators' key; if empty, operators' calls are rejected.
	OperatorKeyHash string
	// CertFile, KeyFile and CAFile enable mutual TLS between entry VMs.
	CertFile string
	KeyFile  string
	CAFile   string
	// DrainTimeout bounds the duration of a graceful stop.
	DrainTimeout time.Duration
	// DefaultDeadline applies to requests without a deadline header.
	DefaultDeadline time.Duration
	// MaxConcurrentRequests bounds the concurrent requests.
	MaxConcurrentRequests int
	// MemoryBytes is the memory that the process may use and FileDescriptors the most open files;
	// 0 means unknown and bounds nothing.
	MemoryBytes     int64
	FileDescriptors int
}
