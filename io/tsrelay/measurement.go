package tsrelay

import (
	"time"

	"turmericshed"
)

// measurement is what is measured of one attempt for the choice between failure
// domains.
type measurement struct {
	began time.Time
	// firstOutput is the time until the first event of a stream or the headers of
	// another answer; 0 before that. The headers of a stream are not output: a server may
	// send them before it has read the prompt.
	firstOutput time.Duration
	answerBytes int64
}

// record counts bytes of the answer's body. isOutput is true from the first output on.
func (m *measurement) record(n int, isOutput bool) {
	m.answerBytes += int64(n)
	if isOutput && m.firstOutput == 0 {
		m.firstOutput = time.Since(m.began)
	}
}

// addTo adds the measurement to the result of an attempt that was sent.
func (m *measurement) addTo(res *turmericshed.DispatchResult, requestBytes int) {
	res.FirstOutput, res.RequestBytes, res.AnswerBytes = m.firstOutput, int64(requestBytes), m.answerBytes
}
