package tsload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"turmericshed"
)

// Work is the kind of one planned request.
type Work string

// The kinds of planned requests.
const (
	WorkGeneration Work = "generation"
	// WorkCall is not idempotent and has an idempotency key.
	WorkCall Work = "call"
	// WorkLookup is idempotent and has no idempotency key.
	WorkLookup Work = "lookup"
)

// Account is a client account with its key.
type Account struct {
	ID  turmericshed.AccountID `json:"id"`
	Key string                 `json:"key"`
}

// Profile is one source of requests. Its first account is the busiest.
type Profile struct {
	Name     turmericshed.ProfileName `json:"name"`
	Accounts []Account                `json:"accounts"`
	// Share is the profile's part of all arrivals, relative to the others'.
	Share float64 `json:"share"`
	// Model makes the profile's requests generations.
	Model     turmericshed.Model  `json:"model,omitempty"`
	MaxTokens turmericshed.Tokens `json:"max_tokens,omitempty"`
	// PromptBytes is the length of the part of the prompt that the
	// profile's requests have in common.
	PromptBytes int `json:"prompt_bytes,omitempty"`
	// Service makes the profile's requests calls and look-ups.
	Service     string  `json:"service,omitempty"`
	LookupShare float64 `json:"lookup_share,omitempty"`
}

// validate returns an error for the first field that is missing or out of range.
// Errors: KindBadRequest.
func (p Profile) validate() error {
	switch {
	case p.Name == "":
		return optionError("profile without a name")
	case len(p.Accounts) == 0:
		return optionError("profile %s has no accounts", p.Name)
	case p.Share < 0 || p.LookupShare < 0 || p.LookupShare > 1:
		return optionError("profile %s: want share 0 or more, lookup_share 0 to 1", p.Name)
	case (p.Model == "") == (p.Service == ""):
		return optionError("profile %s: want either a model or a service", p.Name)
	case p.Model != "" && p.MaxTokens < 1:
		return optionError("profile %s: want max_tokens above 0", p.Name)
	default:
		return nil
	}
}

func optionError(format string, args ...any) error {
	return turmericshed.NewError(turmericshed.KindBadRequest, format, args...)
}

// Planned is one request before it is sent.
type Planned struct {
	N int
	// At is the arrival time of the request, relative to the start of the run.
	At      time.Duration
	Work    Work
	Profile Profile
	Account Account
	// Key is the idempotency key of all attempts; empty for look-ups.
	Key      string
	Method   string
	Path     string
	Body     string
	Messages []turmericshed.Message
	Entry    uint64
}

// plan generates requests: the same ones for the same seed and options.
type plan struct {
	opts           Options
	rnd            *rand.Rand
	profileWeights []float64
	accountWeights [][]float64
	promptPrefixes []string
	arrival        time.Duration
	count          int
}

func newPlan(o Options) *plan {
	p := &plan{opts: o, rnd: rand.New(rand.NewPCG(o.Seed, 0))}
	for _, pr := range o.Profiles {
		p.profileWeights = append(p.profileWeights, pr.Share)
		ranks := make([]float64, len(pr.Accounts))
		for i := range ranks {
			ranks[i] = math.Pow(float64(i+1), -o.ZipfExponent)
		}
		p.accountWeights = append(p.accountWeights, ranks)
		p.promptPrefixes = append(p.promptPrefixes, promptPrefix(pr))
	}
	return p
}

// promptPrefix returns the prefix that the prompts of a profile share.
func promptPrefix(p Profile) string {
	text := fmt.Sprintf("You answer for %s. ", p.Name)
	return strings.Repeat(text, 1+p.PromptBytes/len(text))[:max(p.PromptBytes, 1)]
}

// pickWeighted returns a random index, with probability proportional to its weight.
func pickWeighted(rnd *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	x := rnd.Float64() * sum
	for i, w := range weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// next returns the next arrival of a Poisson process.
func (p *plan) next() Planned {
	p.arrival += time.Duration(p.rnd.ExpFloat64() / p.opts.Rate * float64(time.Second))
	p.count++
	i := pickWeighted(p.rnd, p.profileWeights)
	pr := p.opts.Profiles[i]
	r := Planned{N: p.count, At: p.arrival, Profile: pr, Account: pr.Accounts[pickWeighted(p.rnd, p.accountWeights[i])], Entry: p.rnd.Uint64()}
	name := fmt.Sprintf("%s-%d-%d", p.opts.Name, p.opts.Seed, p.count)
	switch {
	case pr.Model != "":
		r.Work, r.Method, r.Path, r.Key = WorkGeneration, http.MethodPost, "/v1/chat/completions", name
		r.Messages = []turmericshed.Message{
			{Role: "system", Content: p.promptPrefixes[i]},
			{Role: "user", Content: fmt.Sprintf("Request %s of %s", name, r.Account.ID)},
		}
	case p.rnd.Float64() < pr.LookupShare:
		r.Work, r.Method = WorkLookup, http.MethodGet
		r.Path = fmt.Sprintf("/services/%s/status/%d", pr.Service, p.rnd.IntN(1000))
	default:
		r.Work, r.Method, r.Key = WorkCall, http.MethodPost, name
		r.Path = "/services/" + pr.Service + "/jobs"
		r.Body = fmt.Sprintf(`{"name":%q,"account":%q}`, name, r.Account.ID)
	}
	return r
}
