package tsrelay

import (
	"turmericshed/core/tsintake"
)

// readBody reads the complete body into memory, so that it can be sent more than once. Errors: those
// of [turmericshed/io/tsintake.Request.ReadBody].
func (q *request) readBody() (err error) {
	timeout := q.table.Limits.HeaderTimeout
	if timeout <= 0 {
		timeout = defaultHeaderTimeout
	}
	flow := tsintake.Flow{Account: q.account.Account, Service: q.service}
	q.body, err = q.intake.ReadBody(flow, q.table.Limits.BodyBytes, timeout+q.timeLimit())
	for _, part := range q.body {
		q.bodyBytes += len(part)
	}
	return err
}

// releaseMemory frees the memory reserved for the body and the answers.
func (q *request) releaseMemory() {
	q.body = nil
	q.intake.Release()
	for _, a := range q.answers {
		a.Release()
	}
}
