// Package telemetry provides the logs and metrics of the daemons: one line of
// key=value pairs for each event, and metrics in the text exposition format.
package telemetry

import (
	"io"
	"strconv"

	"github.com/phuslu/log"
)

// Logger writes one key=value line for each event.
type Logger = log.Logger

const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

// NewLogger returns a logger that writes events of at least level to out. Each
// line carries the role and id of the process. An unknown level disables the log.
func NewLogger(out io.Writer, level, role, id string) *Logger {
	return &Logger{
		Level:      log.ParseLevel(level),
		TimeFormat: logTimeFormat,
		Context:    log.NewContext(nil).Str("role", role).Str("id", id).Value(),
		Writer: &log.ConsoleWriter{
			Writer:    out,
			Formatter: formatKeyValues,
		},
	}
}

// Discard returns a logger that writes nothing.
func Discard() *Logger {
	return NewLogger(io.Discard, "fatal", "none", "none")
}

// initialLineCapacity is the initial size of a line's buffer, in bytes.
const initialLineCapacity = 384

// formatKeyValues writes one event as key=value pairs. The message is the
// event's name. The library's own logfmt writes the message without a key.
func formatKeyValues(out io.Writer, args *log.FormatterArgs) (int, error) {
	line := append(make([]byte, 0, initialLineCapacity), "time="...)
	line = append(line, args.Time...)
	line = append(append(line, " level="...), args.Level...)
	line = append(append(line, " event="...), args.Message...)
	for _, pair := range args.KeyValues {
		line = append(append(append(line, ' '), pair.Key...), '=')
		line = appendValue(line, pair.Value)
	}
	return out.Write(append(line, '\n'))
}

// appendValue appends value to line, in quotes unless isUnquotedValue holds.
func appendValue(line []byte, value string) []byte {
	if isUnquotedValue(value) {
		return append(line, value...)
	}
	return strconv.AppendQuote(line, value)
}

// isUnquotedValue reports whether value is non-empty printable ASCII without spaces,
// quotes, equals signs or backslashes.
func isUnquotedValue(value string) bool {
	for i := 0; i < len(value); i++ {
		switch c := value[i]; {
		case c <= ' ', c > '~', c == '"', c == '=', c == '\\':
			return false
		}
	}
	return value != ""
}
