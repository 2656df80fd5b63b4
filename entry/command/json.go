package command

import "unicode/utf8"

const hexDigits = "0123456789abcdef"

// appendJSONString appends text as a JSON string without allocating. Invalid UTF-8 is replaced by
// the replacement character.
func appendJSONString(buf, text []byte) []byte {
	buf = append(buf, '"')
	for len(text) > 0 {
		r, size := utf8.DecodeRune(text)
		switch {
		case r == utf8.RuneError && size == 1:
			buf = append(buf, `\ufffd`...)
		case r == '"' || r == '\\':
			buf = append(buf, '\\', byte(r))
		case r == '\n':
			buf = append(buf, '\\', 'n')
		case r < ' ':
			buf = append(buf, '\\', 'u', '0', '0', hexDigits[r>>4], hexDigits[r&0xf])
		default:
			buf = append(buf, text[:size]...)
		}
		text = text[size:]
	}
	return append(buf, '"')
}
