// Package turmericshed holds what every part of the router fleet shares: the
// identifiers, the documents kept in the platform's key-value service, the
// interfaces between layers, and the closed list of error kinds.
//
// The layers below it are:
//
//   - core/ts<noun>: pure decisions. No sockets, no goroutines, no reading of
//     the clock; time and randomness come in as arguments.
//   - io/ts<noun>: sockets, clocks and supervised controllers around them.
//   - standin/ts<noun>: small stand-ins for the platform and backend servers.
//   - load/ts<noun>: load generation, experiments and randomized runs.
//
// # Usage
//
// A decision in core takes its inputs as values and returns a result or an
// error with a [Kind]:
//
//	res, err := holder.Reserve(ctx, profile, requestID, worstCase)
//	if turmericshed.KindOf(err) == turmericshed.KindBudgetExhausted {
//		// Refused, and nothing was sent.
//	}
//
// An answer to a caller is derived from the kind alone, through [Kind.Info].
package turmericshed
