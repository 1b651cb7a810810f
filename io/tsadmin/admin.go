// Package tsadmin carries out what operators ask for: it makes, edits and
// deletes profiles and client accounts in the platform's key-value service.
//
// Every change is conditional on the version that the operator saw. The loser
// of a race gets KindConflict with who won and what changed, and leaves
// nothing behind.
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

// listPage is the number of documents read in one call.
const listPageSize = 500

// Config sets up an Admin.
type Config struct {
	Store turmericshed.Store
	// Operator is written into the documents that change.
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
