package tsengine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"strings"

	"turmericshed"
)

const (
	// digestHexDigits is the number of hex digits of the prompt's digest that
	// each token of the answer repeats.
	digestHexDigits = 12
	// bytesPerToken is the number of bytes of prompt text per token.
	bytesPerToken = 4
	// templateTokens is the overhead of a prompt, messageTokens that of each
	// of its messages.
	templateTokens = 3
	messageTokens  = 4
	// maxNaturalLength is the maximum length of an answer, in tokens, before
	// the request's limit truncates it.
	maxNaturalLength = 96
)

// CountTokens returns the number of prompt tokens of messages: one per four
// bytes of content, rounded up, plus four per message and three for the
// template. It never exceeds three plus the bytes of content plus four per
// message.
func CountTokens(messages []turmericshed.Message) turmericshed.Tokens {
	n := templateTokens
	for _, m := range messages {
		n += messageTokens + (len(m.Content)+bytesPerToken-1)/bytesPerToken
	}
	return turmericshed.Tokens(n)
}

// answer is the deterministic answer to a prompt.
type answer struct {
	digest string
	length turmericshed.Tokens
	finish string
}

// answerTo returns the answer to messages, truncated to maxTokens.
func answerTo(messages []turmericshed.Message, maxTokens turmericshed.Tokens) answer {
	hash := sha256.New()
	for _, m := range messages {
		_, _ = fmt.Fprintf(hash, "%d:%s%d:%s", len(m.Role), m.Role, len(m.Content), m.Content)
	}
	sum := hash.Sum(nil)
	a := answer{digest: hex.EncodeToString(sum)[:digestHexDigits], finish: "stop"}
	a.length = 1 + turmericshed.Tokens(binary.BigEndian.Uint64(sum)%maxNaturalLength)
	if a.length > maxTokens {
		a.length, a.finish = maxTokens, "length"
	}
	return a
}

// text returns the text of the tokens in the half-open range [from, to).
func (a answer) text(from, to turmericshed.Tokens) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		_, _ = fmt.Fprintf(&b, "%s.%d ", a.digest, i)
	}
	return b.String()
}

// ExpectedAnswer returns the complete answer to messages and its usage, against which a
// caller can check the answer that it received. Every token contains the digest
// of the prompt and the token's number.
func ExpectedAnswer(messages []turmericshed.Message, maxTokens turmericshed.Tokens) (text string, usage turmericshed.Usage) {
	a := answerTo(messages, maxTokens)
	return a.text(0, a.length), turmericshed.Usage{Prompt: CountTokens(messages), Completion: a.length}
}
