// Package tsadmin implements the operators' commands: it creates, edits and deletes
// profiles and client accounts in the platform's key-value service.
//
// Every edit of a profile is conditional on a version: the one that the operator
// passes, or else the one that was read. An edit that loses a race returns
// KindConflict with the operator who won and what changed, and writes nothing.
//
// # Usage
//
//	a := tsadmin.New(tsadmin.Config{Store: store, Operator: "ana"})
//	p, err := a.PutProfile(ctx, profile, 0)
//	p, err = a.EditProfile(ctx, "counter", p.Version, func(p *turmericshed.Profile) error {
//		p.Prepaid += 1000
//		return nil
//	})
//	key, err := a.AddAccount(ctx, "corner-1")
package tsadmin

import (
	"time"

	"turmericshed"
)

// listPageSize is the number of documents read in one call of the store.
const listPageSize = 500

// Config holds the settings of an Admin. Store is required.
type Config struct {
	Store turmericshed.Store
	// Operator is the name recorded as the editor of changed profiles.
	Operator string
	// Now reads the clock; nil means time.Now.
	Now func() time.Time
}

// Admin changes profiles and accounts.
type Admin struct{ cfg Config }

// New returns an Admin.
func New(cfg Config) *Admin {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Admin{cfg: cfg}
}
