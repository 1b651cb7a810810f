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
	// digestLength is the number of hex digits of the prompt's digest that
	// each token of the answer repeats.
	digestHexDigits = 12
	// bytesPerToken is the length of prompt text that makes one token.
	bytesPerToken = 4
	// templateTokens are added to a prompt, messageTokens to each message.
	templateTokens = 3
	messageTokens  = 4
	// naturalLengths is the number of lengths that unbounded answers have.
	maxNaturalLength = 96
)

// CountTokens returns the prompt tokens of messages: one for each four bytes
// of content begun, four for each message and three for the template. It
// never exceeds three and the content's bytes and four for each message.
func CountTokens(messages []turmericshed.Message) turmericshed.Tokens {
	n := templateTokens
	for _, m := range messages {
		n += messageTokens + (len(m.Content)+bytesPerToken-1)/bytesPerToken
	}
	return turmericshed.Tokens(n)
}

// answer is the text that a prompt brings forth.
type answer struct {
	digest string
	length turmericshed.Tokens
	finish string
}

// answerTo returns the answer to messages, bounded by maxTokens.
func answerTo(messages []turmericshed.Message, maxTokens turmericshed.Tokens) answer {
	h := sha256.New()
	for _, m := range messages {
		_, _ = fmt.Fprintf(h, "%d:%s%d:%s", len(m.Role), m.Role, len(m.Content), m.Content)
	}
	sum := h.Sum(nil)
	a := answer{digest: hex.EncodeToString(sum)[:digestHexDigits], finish: "stop"}
	a.length = 1 + turmericshed.Tokens(binary.BigEndian.Uint64(sum)%maxNaturalLength)
	if a.length > maxTokens {
		a.length, a.finish = maxTokens, "length"
	}
	return a
}

// text returns the tokens from up to, not including, to.
func (a answer) text(from, to turmericshed.Tokens) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		_, _ = fmt.Fprintf(&b, "%s.%d ", a.digest, i)
	}
	return b.String()
}

// Expect returns the whole answer to messages, so that a caller can tell
// whether it got its own answer, whole. Every token holds the digest of its
// prompt and its number.
func Expect(messages []turmericshed.Message, maxTokens turmericshed.Tokens) (text string, usage turmericshed.Usage) {
	a := answerTo(messages, maxTokens)
	return a.text(0, a.length), turmericshed.Usage{Prompt: CountTokens(messages), Completion: a.length}
}
