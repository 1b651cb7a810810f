package tsrelay

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"turmericshed"
	"turmericshed/core/tsfreshness"
	"turmericshed/core/tstable"
	"turmericshed/io/tsintake"
)

const (
	// headerLineOverhead is the size of a header line beyond its name and value: a colon,
	// a space, CR and LF.
	headerLineOverhead = 4
	// defaultHeaderTimeout is added to the request's time limit to bound the reading
	// of its body when the routing table sets no header timeout.
	defaultHeaderTimeout = 10 * time.Second
	// digestBytes is the length of a request's digest in bytes, before hex encoding.
	digestBytes = 16
	// partDigestPrefix distinguishes the digests of prompt parts from those of requests,
	// which are hexadecimal.
	partDigestPrefix = "part-"
	// maxSharedParts bounds the parts of a prompt that are watched for crashes.
	maxSharedParts = 16
	// noTableRetryAfter is the Retry-After before the first routing table has arrived.
	noTableRetryAfter = 500 * time.Millisecond
)

// request is the state of one caller's request until it is answered.
type request struct {
	relay   *Relay
	w       http.ResponseWriter
	r       *http.Request
	rc      *http.ResponseController
	ctx     context.Context
	arrived time.Time

	inbound turmericshed.Inbound
	table   *tstable.Table
	// tableIsFresh is true if the table was recent enough at arrival to contain every
	// entry that must be in force.
	tableIsFresh bool
	route        turmericshed.Route
	service      string
	account      turmericshed.AccountGrant
	// body holds the parts of the body, bodyBytes is their size.
	body      [][]byte
	bodyBytes int
	// intake reads the body within the bounds of this entry VM.
	intake *tsintake.Request
	// answers are the reservations for the answers of the attempts.
	answers []*tsintake.Body
	// deadline is arrived plus the time limit of the request.
	deadline time.Time

	// admission describes the request to the admission control, which learns from its
	// attempts through feedback; nil if there is none.
	admission turmericshed.AdmitRequest
	feedback  turmericshed.AdmissionFeedback
	// hasBegun is true once the current attempt was reported as begun.
	hasBegun bool
	// refusedAsFull is true if the server of the current attempt refused the request
	// because it was full.
	refusedAsFull bool

	reservation turmericshed.Reservation
	reserved    bool
	billed      turmericshed.Tokens

	// sentAttempts counts the attempts in which the request was sent to a server,
	// unsentAttempts those that failed before that.
	sentAttempts   int
	unsentAttempts int
	excluded       []turmericshed.ServerID
	// attemptRoute is what the server of the current attempt was chosen for.
	attemptRoute turmericshed.RouteRequest
	// attemptSoftware is the software version of the server of the current attempt.
	attemptSoftware turmericshed.SoftwareVersion
	// hasPicked is true if the router picked a server for the current attempt.
	hasPicked bool
	// pickedAt is when the last server was picked, from a server list of the age
	// serversAge.
	pickedAt   time.Time
	serversAge time.Duration
	// sentAt is when the request was last sent to a server.
	sentAt time.Time
	// measured is what was measured of the current attempt.
	measured measurement
	// callerDisconnectNanos is when the relay noticed that the caller disconnected, in
	// nanoseconds after arrived; 0 if it has not.
	callerDisconnectNanos atomic.Int64
	// digest caches the result of contentDigest; empty until it is needed.
	digest turmericshed.Digest
	// parts caches the result of sharedParts; nil until it is needed.
	parts []turmericshed.Digest
	// crashedServer is true if a server terminated right after the head of its answer to
	// the request, which is then the likeliest cause. It is not sent to another server at once.
	crashedServer bool
	// mayHaveRun is true once a server may have begun to work on the request.
	mayHaveRun bool
	// committed is true once the answer's headers were sent to the caller. status,
	// contentType and server describe that answer.
	committed   bool
	status      int
	contentType string
	server      turmericshed.ServerID
	firstByte   time.Duration
	// software is the version that began the stream, at which alone it goes on, if hasSoftware is
	// true.
	software    turmericshed.SoftwareVersion
	hasSoftware bool
	// events is the number of relayed events, lastEvent the id of the last one.
	events    int
	lastEvent uint64
	// mayHaveUnrelayedOutput is true if a server may have generated more output than
	// was relayed.
	mayHaveUnrelayedOutput bool
}

// prepare reads the request and looks up its route, client account and service.
func (q *request) prepare() error {
	f := q.relay.cfg.Freshness
	q.tableIsFresh = f == nil || f.IsFresh(q.arrived, tsfreshness.Table)
	q.table = q.relay.Table()
	if q.table == nil {
		return turmericshed.WithRetryAfter(turmericshed.NewError(turmericshed.KindNotReady, "no routing table yet"), noTableRetryAfter)
	}
	in, err := q.relay.cfg.Codec.DecodeRequest(q.r.Header)
	q.inbound = in
	if err != nil {
		return err
	}
	q.lastEvent = in.LastEvent
	if err := q.relay.checkFreshness(q.arrived, 0); err != nil {
		return err
	}
	if limit := q.table.Limits.HeaderBytes; limit > 0 && headerBytes(q.r) > limit {
		return turmericshed.NewError(turmericshed.KindHeadersTooLarge, "the headers exceed %d bytes", limit)
	}
	path, _, _ := strings.Cut(q.r.RequestURI, "?")
	route, ok := q.table.Route(q.r.Host, path)
	if !ok {
		return q.errOrStaleTable(turmericshed.NewError(turmericshed.KindNotFound, "no route for this host and path"))
	}
	q.route = route
	if err := q.authenticate(); err != nil {
		return err
	}
	q.service = tstable.Service(route, rand.Float64())
	q.deadline = q.arrived.Add(q.timeLimit())
	if err := q.checkStopping(time.Now()); err != nil {
		return err
	}
	return q.readBody()
}

// checkStopping returns KindDraining if this entry VM is stopping and a server's answer to
// the request might be cut off, else nil.
func (q *request) checkStopping(now time.Time) error {
	stop := q.relay.stop.Load()
	if stop == nil || now.Before(stop.acceptUntil) && (q.route.Repeatable || !q.deadline.After(stop.cutAt)) {
		return nil
	}
	return errStopping()
}

// errStopping returns the error for a request that came too late before a stop.
func errStopping() error {
	// Another entry VM may serve the request at once.
	return turmericshed.WithRetryAfter(turmericshed.NewError(turmericshed.KindDraining, "this entry VM is stopping"), 0)
}

// timeLimit returns the time limit of the caller, or the default, bounded by that of the
// route.
func (q *request) timeLimit() time.Duration {
	d := q.callerTimeLimit()
	if q.route.Timeout > 0 {
		d = min(d, q.route.Timeout)
	}
	return d
}

// callerTimeLimit returns the time limit of the caller, or the default.
func (q *request) callerTimeLimit() time.Duration {
	if q.inbound.TimeLimit <= 0 {
		return defaultTimeLimit
	}
	return q.inbound.TimeLimit
}

// errOrStaleTable returns err, which reports that the routing table lacks an entry. If
// the table was not fresh and may only be out of date, it returns KindNotReady instead,
// so that the caller retries.
func (q *request) errOrStaleTable(err error) error {
	if q.tableIsFresh {
		return err
	}
	age := q.relay.cfg.Freshness.Age(q.arrived, tsfreshness.Table)
	return turmericshed.NewError(turmericshed.KindNotReady, "unknown host, path or key, but the routing table is %s old", age.Round(time.Millisecond))
}

// authenticate looks up the client account of the request's key.
func (q *request) authenticate() error {
	if !q.table.Authenticates() {
		return nil
	}
	a, ok := q.table.Account(q.inbound.Key)
	if ok {
		q.account = a
		return nil
	}
	if q.route.Anonymous {
		return nil
	}
	return q.errOrStaleTable(turmericshed.NewError(turmericshed.KindUnauthenticated, "the key belongs to no client account"))
}

func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + headerLineOverhead
		}
	}
	return n
}

// serve reserves the request's tokens, sends it and relays the answer.
func (q *request) serve() error {
	if err := q.checkQuarantine(); err != nil {
		return err
	}
	if err := q.findSoftware(); err != nil {
		return err
	}
	release, err := q.admit()
	if err != nil {
		return err
	}
	defer release()
	if err := q.reserve(); err != nil {
		return err
	}
	q.relay.countRequest(q.arrived, q.service)
	err = q.run()
	q.settle()
	return err
}

// usesTokens reports whether the request generates output that is measured in tokens.
func (q *request) usesTokens() bool {
	return q.inbound.HasTokenCounts && q.serviceSpec().TokensPerEvent > 0
}

func (q *request) serviceSpec() turmericshed.ServiceSpec { return q.table.Spec(q.service) }

// reserve reserves the most tokens that the request can use from the client account's
// budget.
func (q *request) reserve() error {
	if !q.account.HasPrepaid || !q.inbound.HasTokenCounts {
		return nil
	}
	res, err := q.relay.cfg.Budgets.Reserve(q.ctx, BudgetProfile(q.table, q.account), q.inbound.ID, q.inbound.PromptTokens+q.inbound.MaxOutput)
	if err != nil {
		return err
	}
	q.reservation, q.reserved = res, true
	return nil
}

// BudgetProfile returns the budget profile of a client account.
func BudgetProfile(t *tstable.Table, a turmericshed.AccountGrant) turmericshed.Profile {
	return turmericshed.Profile{
		Name: turmericshed.ProfileName(a.Account), Budget: turmericshed.BudgetID(a.Account), Prepaid: a.Prepaid,
		Accounts: []turmericshed.AccountLimit{{Account: a.Account}}, Work: turmericshed.WorkAssistant,
		Edge: turmericshed.PreferNoSurprise, Version: turmericshed.Version(t.Version),
	}
}

// recordCallerDisconnect records the first time at which the caller was found disconnected.
func (q *request) recordCallerDisconnect() {
	q.callerDisconnectNanos.CompareAndSwap(0, max(int64(time.Since(q.arrived)), 1))
}

// contentDigest returns a digest of the client account, request URI and body, which a
// request shares with its repeats even if their ids differ.
func (q *request) contentDigest() turmericshed.Digest {
	if q.digest == "" {
		h := sha256.New()
		for _, part := range []string{string(q.account.Account), q.r.RequestURI} {
			_, _ = io.WriteString(h, strconv.Itoa(len(part))+":"+part)
		}
		for _, part := range q.body {
			_, _ = h.Write(part)
		}
		q.digest = turmericshed.Digest(hex.EncodeToString(h.Sum(nil)[:digestBytes]))
	}
	return q.digest
}

// sharedParts returns digests of the prompt's parts without the last one, which no other
// request has. They don't depend on the client account, the model or the route: a part
// that crashes servers does so whatever else the request holds. Short hexadecimal ids are
// kept, so that they can be searched for in logs.
func (q *request) sharedParts() []turmericshed.Digest {
	n := min(len(q.inbound.Parts)-1, maxSharedParts)
	if q.parts != nil || n <= 0 {
		return q.parts
	}
	q.parts = make([]turmericshed.Digest, 0, n)
	for _, p := range q.inbound.Parts[:n] {
		id := strings.ToLower(p.ID)
		if len(id) > 2*digestBytes || strings.Trim(id, "0123456789abcdef") != "" {
			sum := sha256.Sum256([]byte(id))
			id = "x" + hex.EncodeToString(sum[:digestBytes])
		}
		q.parts = append(q.parts, turmericshed.Digest(partDigestPrefix+id))
	}
	return q.parts
}

// crashSubject returns what a server may crash by while it runs the request.
func (q *request) crashSubject() turmericshed.CrashSubject {
	return turmericshed.CrashSubject{Request: q.contentDigest(), Parts: q.sharedParts()}
}

// checkQuarantine returns KindQuarantined if the request, or a part of its prompt, is
// quarantined, else nil.
func (q *request) checkQuarantine() error {
	w := q.relay.cfg.CrashWatch
	if w == nil || !w.Active() {
		return nil
	}
	return w.Check(time.Now(), q.crashSubject())
}

// reportSurvived reports to the crash watch that a server answered the request completely.
// A server may fail, for example at the time limit, before it begins to work on the parts
// of the prompt.
func (q *request) reportSurvived(success bool) {
	if success {
		q.reportPartsSurvived()
	}
	if w := q.relay.cfg.CrashWatch; w != nil && w.Active() {
		w.Survived(time.Now(), q.contentDigest())
	}
}

// reportPartsSurvived reports to the crash watch that a server got past the beginning of
// its answer.
func (q *request) reportPartsSurvived() {
	if w := q.relay.cfg.CrashWatch; w != nil {
		w.PartsSurvived(time.Now(), q.sharedParts())
	}
}

// settle bills the prompt and the delivered output, and settles the reservation once.
// Where a server may have generated more than was relayed, one extra event is billed.
func (q *request) settle() {
	if !q.reserved {
		return
	}
	q.reserved = false
	var used turmericshed.Tokens
	if q.mayHaveRun {
		events := q.events
		if q.mayHaveUnrelayedOutput {
			events++
		}
		used = q.inbound.PromptTokens + min(turmericshed.Tokens(events)*q.serviceSpec().TokensPerEvent, q.inbound.MaxOutput)
	}
	q.billed = used
	q.relay.cfg.Budgets.Settle(q.reservation, used)
}

// routeRequest returns the criteria by which the router picks a server.
func (q *request) routeRequest() turmericshed.RouteRequest {
	return turmericshed.RouteRequest{
		Work: turmericshed.WorkService, Service: q.service, Model: q.inbound.Model,
		Prefix: q.prefixHash(), BodyBytes: int64(q.bodyBytes), Cost: q.inbound.PromptTokens + q.inbound.MaxOutput, Excluded: q.excluded,
		PromptTokens: q.inbound.PromptTokens, PrefixTokens: q.prefixTokens(), MaxOutput: q.inbound.MaxOutput,
		FirstByteWithin: max(time.Until(q.arrived.Add(q.route.LatencyObjective)), 0),
		MemoryTokens:    q.serviceSpec().MemoryTokens, Estimate: &turmericshed.RouteEstimate{}, Software: q.allowedSoftware(),
	}
}

// prefixHash returns a hash of the prompt's parts without the last one, which other
// requests may share. A prompt of one part is hashed completely. 0 means no affinity.
func (q *request) prefixHash() uint64 {
	parts := q.inbound.Parts
	if !q.route.Affinity || len(parts) == 0 {
		return 0
	}
	if len(parts) > 1 {
		parts = parts[:len(parts)-1]
	}
	var h xxhash.Digest
	h.Reset()
	for _, p := range parts {
		_, _ = h.WriteString(p.ID)
		_, _ = h.WriteString("\x00")
	}
	return max(h.Sum64(), 1)
}

// urgency returns the client account's priority, or the route's if it has none.
func (q *request) urgency() int {
	if q.account.HasPriority {
		return q.account.Priority
	}
	return q.route.Priority
}

// finish sends an error response if none was begun, counts the request and logs it. It
// aborts the connection of an answer that is incomplete.
func (q *request) finish(err error) {
	if err != nil && !q.committed {
		q.refuse(err)
	}
	q.observe(err)
	if err != nil && q.committed {
		// Aborting the connection shows the caller that the answer is incomplete.
		if !q.r.ProtoAtLeast(1, 1) {
			q.resetOnClose()
		}
		panic(http.ErrAbortHandler)
	}
}

// logPanic logs a panic with the request that it ends, and aborts the connection. net/http alone
// would close the connection without naming the request.
func (q *request) logPanic() {
	v := recover()
	if v == nil {
		return
	}
	if v != http.ErrAbortHandler { //nolint:errorlint // net/http compares the value itself.
		q.relay.cfg.Log.Error("request ended by a panic", "request", string(q.inbound.ID), "caller", q.r.RemoteAddr, "route", q.route.Name,
			"status", q.status, "events", q.events, "panic", fmt.Sprint(v), "stack", string(debug.Stack()))
	}
	panic(http.ErrAbortHandler)
}

// observe records the request's metrics and its log line.
func (q *request) observe(err error) {
	elapsed := time.Since(q.arrived)
	kind := turmericshed.KindOf(err)
	work := turmericshed.WorkService
	if q.route.Stream {
		work = turmericshed.WorkAssistant
	}
	if q.relay.cfg.Metrics != nil {
		q.relay.cfg.Metrics.RecordRequest(work, kind, q.firstByte, elapsed)
	}
	level := slog.LevelInfo
	attrs := []slog.Attr{
		slog.String("request", string(q.inbound.ID)), slog.String("route", q.route.Name), slog.String("account", string(q.account.Account)),
		slog.String("service", q.service), slog.String("server", string(q.server)), slog.Int("status", q.status),
		slog.Int("sent", q.sentAttempts), slog.Int("dials", q.unsentAttempts), slog.Int("events", q.events),
		slog.Int64("billed", int64(q.billed)), slog.Int("body_bytes", q.bodyBytes), slog.Int64("limit_ms", q.inbound.TimeLimit.Milliseconds()),
		slog.Int64("first_byte_ms", q.firstByte.Milliseconds()), slog.Int64("elapsed_ms", elapsed.Milliseconds()),
	}
	if q.table != nil {
		attrs = append(attrs, slog.Uint64("table_version", q.table.Version))
	}
	if !q.pickedAt.IsZero() {
		attrs = append(attrs, slog.Int64("picked_ms", q.pickedAt.Sub(q.arrived).Milliseconds()), slog.Int64("servers_age_ms", q.serversAge.Milliseconds()))
	}
	if !q.sentAt.IsZero() {
		attrs = append(attrs, slog.Int64("sent_ms", q.sentAt.Sub(q.arrived).Milliseconds()))
	}
	if left := q.callerDisconnectNanos.Load(); left > 0 {
		attrs = append(attrs, slog.Int64("left_ms", time.Duration(left).Milliseconds()))
	}
	if q.digest != "" {
		attrs = append(attrs, slog.String("digest", string(q.digest)))
	}
	msg := "answered"
	if err != nil {
		msg, level = "not answered", slog.LevelWarn
		attrs = append(attrs, slog.String("kind", kind.String()), slog.String("outcome", string(q.outcome(err))), slog.String("caller", q.r.RemoteAddr))
		if kind == turmericshed.KindCanceled {
			attrs = append(attrs, slog.String("connection", callerConnectionState(q.r.Context())))
		}
		if f := q.relay.cfg.Freshness; f != nil {
			attrs = append(attrs, slog.Int64("table_age_ms", f.Age(time.Now(), tsfreshness.Table).Milliseconds()))
		}
		attrs = append(attrs, slog.String("error", err.Error()))
	}
	q.relay.cfg.Log.LogAttrs(context.Background(), level, msg, attrs...)
}
