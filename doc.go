// Package turmericshed defines what all parts of the router fleet share: the
// identifiers, the documents stored in the platform's key-value service, the
// interfaces between layers, and the closed list of error kinds.
//
// The layers below it are:
//
//   - core/ts<noun>: pure decision logic without sockets, goroutines or clock
//     reads; time and randomness are passed as arguments.
//   - io/ts<noun>: sockets, clocks and supervised controllers around the core.
//   - standin/ts<noun>: small fakes of the platform and of backend servers.
//   - load/ts<noun>: load generators, experiments and randomized test runs.
//
// # Usage
//
// A function in core takes its inputs as values and returns a result or an
// error with a [Kind]:
//
//	res, err := holder.Reserve(ctx, profile, requestID, worstCase)
//	if turmericshed.KindOf(err) == turmericshed.KindBudgetExhausted {
//		// The request is rejected; nothing was sent to a backend server.
//	}
//
// The error answer to a caller is derived from the kind only, by [Kind.Info].
package turmericshed
