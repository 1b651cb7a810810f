package tsadmin

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"turmericshed"
)

// Bounds on the fields of documents. maxPrepaid is in tokens and also bounds the cost of
// a call. maxAccountLimit bounds each numeric limit of an account.
const (
	maxIDBytes      = 128
	maxPrepaid      = 1_000_000_000_000_000
	maxPriority     = 9
	maxCutBridge    = 24 * time.Hour
	maxAccounts     = 2000
	maxServices     = 64
	maxAccountLimit = 1_000_000
)

// DecodeProfile decodes an operator's JSON document on top of base: absent fields
// keep the values of base. It rejects unknown fields, text after the document and
// text that is not UTF-8. Errors: KindBadRequest.
func DecodeProfile(text []byte, base turmericshed.Profile) (turmericshed.Profile, error) {
	p := base
	// A list in the document replaces the list of base; it is never merged
	// element by element.
	p.Accounts, p.Services = nil, nil
	if err := decodeStrict(text, &p); err != nil {
		return base, turmericshed.WrapError(turmericshed.KindBadRequest, err, "profile document")
	}
	var given struct {
		Accounts json.RawMessage `json:"accounts"`
		Services json.RawMessage `json:"services"`
	}
	if err := json.Unmarshal(text, &given); err != nil {
		return base, turmericshed.WrapError(turmericshed.KindBadRequest, err, "profile document")
	}
	if given.Accounts == nil {
		p.Accounts = base.Accounts
	}
	if given.Services == nil {
		p.Services = base.Services
	}
	return p, nil
}

// decodeStrict decodes a single JSON document. It rejects unknown fields, text after
// the document and text that is not UTF-8.
func decodeStrict(text []byte, v any) error {
	if !utf8.Valid(text) {
		return errors.New("not UTF-8")
	}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("text after the document")
	}
	return nil
}

// ValidateProfile checks the fields of a profile. The error names the first invalid
// field and its valid values. Errors: KindBadRequest.
func ValidateProfile(p turmericshed.Profile) error {
	if err := validateID("name", string(p.Name)); err != nil {
		return err
	}
	switch {
	case p.Prepaid < 0 || p.Prepaid > maxPrepaid:
		return invalidFieldError("prepaid %d: want 0 to %d tokens", p.Prepaid, maxPrepaid)
	case p.CallCost < 0 || p.CallCost > maxPrepaid:
		return invalidFieldError("call_cost %d: want 0 to %d tokens", p.CallCost, maxPrepaid)
	case p.Priority < 0 || p.Priority > maxPriority:
		return invalidFieldError("priority %d: want 0 to %d", p.Priority, maxPriority)
	case p.Edge != "" && p.Edge != turmericshed.PreferNoSurprise && p.Edge != turmericshed.PreferNoRefusal:
		return invalidFieldError("edge %q: want %s or %s", p.Edge, turmericshed.PreferNoSurprise, turmericshed.PreferNoRefusal)
	case p.PartitionTolerance < 0 || time.Duration(p.PartitionTolerance) > maxCutBridge:
		return invalidFieldError("cut_bridge %s: want 0s to %s", time.Duration(p.PartitionTolerance), maxCutBridge)
	}
	if err := validateWork(p); err != nil {
		return err
	}
	return validateAccounts(p.Accounts)
}

func invalidFieldError(format string, args ...any) error {
	return turmericshed.NewError(turmericshed.KindBadRequest, format, args...)
}

func validateWork(p turmericshed.Profile) error {
	switch p.Work {
	case turmericshed.WorkAssistant:
		if len(p.Services) > 0 {
			return invalidFieldError("services: want none for work %s", p.Work)
		}
	case turmericshed.WorkService:
		if p.Model != "" {
			return invalidFieldError("model %q: want none for work %s", p.Model, p.Work)
		}
		if len(p.Services) == 0 || len(p.Services) > maxServices {
			return invalidFieldError("services: want 1 to %d names for work %s", maxServices, p.Work)
		}
		for _, s := range p.Services {
			if err := validateID("services", s); err != nil {
				return err
			}
		}
	default:
		return invalidFieldError("work %q: want %s or %s", p.Work, turmericshed.WorkAssistant, turmericshed.WorkService)
	}
	return nil
}

func validateAccounts(accounts []turmericshed.AccountLimit) error {
	if len(accounts) == 0 || len(accounts) > maxAccounts {
		return invalidFieldError("accounts: want 1 to %d", maxAccounts)
	}
	seen := map[turmericshed.AccountID]bool{}
	for _, a := range accounts {
		if err := validateID("account", string(a.Account)); err != nil {
			return err
		}
		if seen[a.Account] {
			return invalidFieldError("account %q stands twice", a.Account)
		}
		seen[a.Account] = true
		if !(a.RequestsPerSecond >= 0 && a.RequestsPerSecond <= maxAccountLimit) {
			return invalidFieldError("account %q: requests_per_second %v: want 0 to %d", a.Account, a.RequestsPerSecond, maxAccountLimit)
		}
		for name, n := range map[string]int{"burst": a.Burst, "concurrency": a.Concurrency, "weight": a.Weight} {
			if n < 0 || n > maxAccountLimit {
				return invalidFieldError("account %q: %s %d: want 0 to %d", a.Account, name, n, maxAccountLimit)
			}
		}
	}
	return nil
}

// validateID checks an identifier that becomes part of a store key; what names its
// field in the error.
func validateID(what, id string) error {
	bad := func(r rune) bool { return r == '/' || unicode.IsSpace(r) || !unicode.IsPrint(r) }
	if id == "" || len(id) > maxIDBytes || !utf8.ValidString(id) || strings.ContainsFunc(id, bad) {
		return invalidFieldError("%s %q: want 1 to %d bytes without blanks and slashes", what, id, maxIDBytes)
	}
	return nil
}
