package engine

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/backend"
)

const (
	minAnswerTokens  = 48
	answerTokenRange = 208
	lengthDirective  = "tokens="
	// splitEvery is the distance between two tokens that split a rune.
	splitEvery = 3
)

var syllables = [...]string{
	"van", "tønde", "regn", "måle", "ær", "ø", "til", "skud", "be", "løb",
	"top", "varde", "sti", "山", "頂", "路", "🏔", "é", "gård", "års",
}

// answer is the deterministic answer to one request, truncated at its token limit.
type answer struct {
	hash   uint64
	length int
	stop   backend.StopReason
}

// Answer returns the tokens that an engine without faults generates. They depend on all arguments
// except maxTokens, which limits their number; 0 means no limit. Some tokens end in the
// middle of a UTF-8 rune. The complete text is valid UTF-8.
//
// A prompt that starts with "tokens=N " has an unlimited answer of N tokens.
func Answer(model wigeonfork.Model, version wigeonfork.Version, prompt string, seed uint64, maxTokens uint32) []backend.Token {
	a := newAnswer(model, version, prompt, seed, maxTokens)
	tokens := make([]backend.Token, a.length)
	for i := range tokens {
		tokens[i] = a.token(i)
	}
	return tokens
}

// AnswerStop returns the stop reason of the tokens that Answer returns.
func AnswerStop(model wigeonfork.Model, version wigeonfork.Version, prompt string, seed uint64, maxTokens uint32) backend.StopReason {
	return newAnswer(model, version, prompt, seed, maxTokens).stop
}

func newAnswer(model wigeonfork.Model, version wigeonfork.Version, prompt string, seed uint64, maxTokens uint32) answer {
	digest := xxhash.NewWithSeed(seed)
	for _, part := range []string{string(model), string(version), prompt} {
		// Writes to a digest never fail.
		_, _ = digest.WriteString(part)
		_, _ = digest.WriteString("\x00")
	}
	a := answer{hash: digest.Sum64(), length: unboundedLength(prompt), stop: backend.StopEnd}
	if maxTokens > 0 && int(maxTokens) < a.length {
		a.length = int(maxTokens)
		a.stop = backend.StopLength
	}
	return a
}

func unboundedLength(prompt string) int {
	if rest, ok := strings.CutPrefix(prompt, lengthDirective); ok {
		digits, _, _ := strings.Cut(rest, " ")
		if n, err := strconv.ParseUint(digits, 10, 31); err == nil && n > 0 {
			return int(n)
		}
	}
	return minAnswerTokens + int(xxhash.Sum64String(prompt)%answerTokenRange)
}

// id returns the token id at position i.
func (a answer) id(i int) uint32 { return uint32(splitmix64(a.hash, i) >> 32) }

// token returns the token at position i. Every third token from the first on passes its last byte
// to the next token, unless there is none. This splits a rune that has several bytes.
func (a answer) token(i int) backend.Token {
	text := a.text(i)
	if a.splits(i) {
		text = text[:len(text)-1]
	}
	if i > 0 && a.splits(i-1) {
		previous := a.text(i - 1)
		text = previous[len(previous)-1:] + text
	}
	return backend.Token{ID: a.id(i), Text: []byte(text)}
}

func (a answer) text(i int) string {
	h := splitmix64(a.hash, i)
	return " " + syllables[h%uint64(len(syllables))] + syllables[(h>>16)%uint64(len(syllables))]
}

func (a answer) splits(i int) bool { return i%splitEvery == 0 && i != a.length-1 }

// prefixMatches returns whether ids are the first token ids of a.
func (a answer) prefixMatches(ids []uint32) bool {
	if len(ids) > a.length {
		return false
	}
	for i, id := range ids {
		if id != a.id(i) {
			return false
		}
	}
	return true
}

// splitmix64 returns the i-th output of the SplitMix64 generator with seed key.
func splitmix64(key uint64, i int) uint64 {
	z := key + (uint64(i)+1)*0x9e3779b97f4a7c15
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}
