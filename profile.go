package turmericshed

import "time"

// Key prefixes in the platform's key-value service. The key is the prefix
// followed by the name or identifier.
const (
	ProfilePrefix    = "profiles/"
	BudgetPrefix     = "budgets/"
	ClaimPrefix      = "claims/"
	AccountPrefix    = "accounts/"
	QuarantinePrefix = "quarantine/"
)

// EdgePreference says which error a profile prefers near the end of its
// budget. Neither value ever lets spending exceed the budget.
type EdgePreference string

// The edge preferences.
const (
	// PreferNoSurprise keeps lots small and refuses early.
	PreferNoSurprise EdgePreference = "no_surprise"
	// PreferNoRefusal waits, moves tokens between entry VMs and asks engines
	// for exact prompt counts before it refuses.
	PreferNoRefusal EdgePreference = "no_refusal"
)

// AccountLimit covers one client account under a profile. Zero limits mean
// no limit.
type AccountLimit struct {
	Account AccountID `json:"account"`
	// RequestsPerSecond limits the arrival rate at each entry VM's share.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	// Burst is the number of requests let through at once; at least one.
	Burst int `json:"burst,omitempty"`
	// Concurrency limits the requests running at once at one entry VM.
	Concurrency int `json:"concurrency,omitempty"`
	// Weight is the account's fair share; zero counts as one.
	Weight int `json:"weight,omitempty"`
}

// Profile is the document under ProfilePrefix + Name. It is watched.
type Profile struct {
	Name     ProfileName    `json:"name"`
	Budget   BudgetID       `json:"budget"`
	Prepaid  Tokens         `json:"prepaid"`
	Accounts []AccountLimit `json:"accounts"`
	Work     WorkKind       `json:"work"`
	Model    Model          `json:"model,omitempty"`
	// Services lists the plain services that the profile may call.
	Services []string `json:"services,omitempty"`
	// Priority orders kinds of work under load; higher goes first, 0 to 9.
	Priority int            `json:"priority,omitempty"`
	Edge     EdgePreference `json:"edge,omitempty"`
	// CutBridge is how long a failure domain is to serve while cut off; it
	// sizes the lots.
	CutBridge Duration `json:"cut_bridge,omitempty"`
	// CallCost is what one plain service call takes from the budget.
	CallCost Tokens `json:"call_cost,omitempty"`
	// EditedBy and EditedAt tell the loser of a race who won.
	EditedBy string    `json:"edited_by,omitempty"`
	EditedAt time.Time `json:"edited_at,omitzero"`
	// Closed stops new lots and recalls the open ones.
	Closed bool `json:"closed,omitempty"`

	// Version is the store's version of the document, not part of it.
	Version Version `json:"-"`
}

// Limit returns the entry for account and whether the profile covers it.
func (p Profile) Limit(account AccountID) (AccountLimit, bool) {
	for _, a := range p.Accounts {
		if a.Account == account {
			return a, true
		}
	}
	return AccountLimit{}, false
}

// AllowsService reports whether the profile may call the plain service.
func (p Profile) AllowsService(service string) bool {
	for _, s := range p.Services {
		if s == service {
			return true
		}
	}
	return false
}

// Account is the document under AccountPrefix + ID.
type Account struct {
	ID AccountID `json:"id"`
	// KeyHashes are hex SHA-256 digests of the account's keys.
	KeyHashes []string  `json:"key_hashes"`
	CreatedAt time.Time `json:"created_at"`
}

// Duration is a time.Duration that is written as text ("90s") in documents.
type Duration time.Duration

// MarshalText writes the duration in the form of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads the form of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return NewError(KindBadRequest, "bad duration %q: want a form like 90s or 1h30m", text)
	}
	*d = Duration(v)
	return nil
}
