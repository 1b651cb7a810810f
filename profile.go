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

// EdgePreference is the error that a profile prefers when its budget is nearly
// exhausted. Spending never exceeds the budget with either value.
type EdgePreference string

// The edge preferences.
const (
	// PreferNoSurprise draws small lots and rejects requests early.
	PreferNoSurprise EdgePreference = "no_surprise"
	// PreferNoRefusal waits, moves tokens between entry VMs and requests exact
	// prompt token counts from engines before it rejects a request.
	PreferNoRefusal EdgePreference = "no_refusal"
)

// AccountLimit holds the limits of one client account under a profile. A limit
// of zero means no limit.
type AccountLimit struct {
	Account AccountID `json:"account"`
	// RequestsPerSecond limits the arrival rate; each entry VM enforces its share.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	// Burst is the number of requests admitted in a burst; at least one.
	Burst int `json:"burst,omitempty"`
	// Concurrency limits the requests that run concurrently at one entry VM.
	Concurrency int `json:"concurrency,omitempty"`
	// Weight is the account's weight in fair queueing; zero counts as one.
	Weight int `json:"weight,omitempty"`
}

// Profile is the document under ProfilePrefix + Name. Entry VMs watch it.
type Profile struct {
	Name     ProfileName    `json:"name"`
	Budget   BudgetID       `json:"budget"`
	Prepaid  Tokens         `json:"prepaid"`
	Accounts []AccountLimit `json:"accounts"`
	Work     WorkKind       `json:"work"`
	Model    Model          `json:"model,omitempty"`
	// Services lists the plain services that the profile may call.
	Services []string `json:"services,omitempty"`
	// Priority orders requests under load, from 0 to 9; higher runs first.
	Priority int            `json:"priority,omitempty"`
	Edge     EdgePreference `json:"edge,omitempty"`
	// PartitionTolerance is how long a failure domain should continue to serve while it is
	// partitioned from the store; it determines the size of lots.
	PartitionTolerance Duration `json:"cut_bridge,omitempty"`
	// CallCost is the amount charged for one plain service call.
	CallCost Tokens `json:"call_cost,omitempty"`
	// EditedBy and EditedAt identify the last edit in conflict errors, for the
	// operator whose concurrent edit lost.
	EditedBy string    `json:"edited_by,omitempty"`
	EditedAt time.Time `json:"edited_at,omitzero"`
	// Closed prevents new lots and recalls the open ones.
	Closed bool `json:"closed,omitempty"`

	// Version is the document's version in the store; it is not marshaled.
	Version Version `json:"-"`
}

// Limit returns the limits of account and whether the profile covers it.
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

// Duration is a time.Duration that is marshaled as text ("90s") in documents.
type Duration time.Duration

// MarshalText formats the duration as time.Duration.String does.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText accepts the syntax of time.ParseDuration. It returns
// KindBadRequest for any other text.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return NewError(KindBadRequest, "bad duration %q: want a form like 90s or 1h30m", text)
	}
	*d = Duration(v)
	return nil
}
