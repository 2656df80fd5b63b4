package generation

import (
	"unicode/utf8"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/backend"
)

// Log stores the tokens of one answer in compact form. The zero value is empty.
// A Log is not safe for concurrent use.
type Log struct {
	ids  []uint32
	ends []uint32
	text []byte
}

// Append adds a token. It copies the token's text.
func (l *Log) Append(t backend.Token) {
	l.ids = append(l.ids, t.ID)
	l.text = append(l.text, t.Text...)
	l.ends = append(l.ends, uint32(len(l.text)))
}

// Len returns the number of tokens, which is also the next position.
func (l *Log) Len() wigeonfork.Position {
	return wigeonfork.Position(len(l.ids))
}

// At returns the token at position p. Its text stays valid and must not be modified.
func (l *Log) At(p wigeonfork.Position) backend.Token {
	return backend.Token{ID: l.ids[p], Text: l.text[l.start(p):l.ends[p]]}
}

// AppendTokens appends at most limit tokens, starting at position from.
func (l *Log) AppendTokens(to []backend.Token, from wigeonfork.Position, limit int) []backend.Token {
	for p := from; p < l.Len() && limit > 0; p++ {
		to = append(to, l.At(p))
		limit--
	}
	return to
}

// AppendFrame is like AppendTokens, but also limits the text of all tokens together to maxText
// bytes. It always appends the first token, even if its text is longer.
func (l *Log) AppendFrame(to []backend.Token, from wigeonfork.Position, limit, maxText int) []backend.Token {
	text := 0
	for p := from; p < l.Len() && limit > 0; p++ {
		token := l.At(p)
		text += len(token.Text)
		if text > maxText && p > from {
			break
		}
		to = append(to, token)
		limit--
	}
	return to
}

// IDs returns the ids of all tokens. The slice must not be modified.
func (l *Log) IDs() []uint32 {
	return l.ids
}

// Text returns the text of the tokens in [from, to).
func (l *Log) Text(from, to wigeonfork.Position) []byte {
	if from >= to {
		return nil
	}
	return l.text[l.start(from):l.ends[to-1]]
}

// RuneBoundary returns the largest position p in [from, Len] such that the
// text of [from, p) does not end inside a UTF-8 rune. The text before from
// must end at a rune boundary.
func (l *Log) RuneBoundary(from wigeonfork.Position) wigeonfork.Position {
	for p := l.Len(); p > from; p-- {
		if !endsInsideRune(l.Text(from, p)) {
			return p
		}
	}
	return from
}

func (l *Log) start(p wigeonfork.Position) uint32 {
	if p == 0 {
		return 0
	}
	return l.ends[p-1]
}

// endsInsideRune reports whether text ends with the beginning of a rune that
// further bytes can complete.
func endsInsideRune(text []byte) bool {
	for back := 1; back < utf8.UTFMax && back <= len(text); back++ {
		b := text[len(text)-back]
		if !utf8.RuneStart(b) {
			continue
		}
		return !utf8.FullRune(text[len(text)-back:])
	}
	return false
}
