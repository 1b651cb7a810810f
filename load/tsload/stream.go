package tsload

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"time"

	"turmericshed"
)

// maxEventBytes bounds one server-sent event.
const maxEventBytes = 1 << 20

// chunk is one event of a streamed answer in the OpenAI format.
type chunk struct {
	errorAnswer
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Finish string `json:"finish_reason"`
	} `json:"choices"`
	Usage turmericshed.Usage `json:"usage"`
}

// readStream reads a streamed answer. The answer is complete only if it ends with
// [DONE]; a stream that ends earlier counts as run.
func readStream(r io.Reader) attemptResult {
	a := attemptResult{outcome: turmericshed.OutcomeRan, kind: "stream_ended_early", retryable: true}
	var text strings.Builder
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxEventBytes)
	for sc.Scan() {
		data, ok := bytes.CutPrefix(sc.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			a.complete, a.kind, a.text = true, "", text.String()
			return a
		}
		var c chunk
		if err := json.Unmarshal(data, &c); err != nil {
			a.kind, a.message = "bad_event", err.Error()
			return a
		}
		if c.Error != nil {
			return c.toResult()
		}
		if a.firstTokenAt.IsZero() {
			a.firstTokenAt = time.Now()
		}
		for _, choice := range c.Choices {
			text.WriteString(choice.Delta.Content)
			if choice.Finish != "" {
				a.usage = c.Usage
			}
		}
	}
	if err := sc.Err(); err != nil {
		a.message = err.Error()
	}
	return a
}
