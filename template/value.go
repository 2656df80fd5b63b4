package template

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// Type is the type of a parameter.
type Type string

// The parameter types. A duration is written as text such as "1m30s".
const (
	TypeString   Type = "string"
	TypeInteger  Type = "integer"
	TypeNumber   Type = "number"
	TypeBoolean  Type = "boolean"
	TypeDuration Type = "duration"
)

// Value is a typed scalar. The zero Value has no type and is never valid.
type Value struct {
	kind   valueKind
	text   string
	number float64
}

type valueKind uint8

const (
	kindNone valueKind = iota
	kindText
	kindNumber
	kindBoolean
)

const (
	booleanFalse = 0
	booleanTrue  = 1
)

// String returns a text value.
func String(text string) Value { return Value{kind: kindText, text: text} }

// Number returns a numeric value.
func Number(number float64) Value { return Value{kind: kindNumber, number: number} }

// Duration returns a duration value.
func Duration(d time.Duration) Value { return String(d.String()) }

// Boolean returns a boolean value.
func Boolean(value bool) Value {
	if value {
		return Value{kind: kindBoolean, number: booleanTrue}
	}
	return Value{kind: kindBoolean, number: booleanFalse}
}

// ParseValue parses a command-line argument as a value of type t.
func ParseValue(t Type, text string) (Value, error) {
	switch t {
	case TypeString, TypeDuration:
		return requireType(t, String(text))
	case TypeBoolean:
		value, err := strconv.ParseBool(text)
		if err != nil {
			return Value{}, errors.Newf("%q is not a boolean", text)
		}
		return Boolean(value), nil
	case TypeInteger, TypeNumber:
		number, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return Value{}, errors.Newf("%q is not a number", text)
		}
		return requireType(t, Number(number))
	default:
		return Value{}, errors.Newf("unknown type %q", t)
	}
}

func requireType(t Type, v Value) (Value, error) {
	if !v.HasType(t) {
		return Value{}, errors.Newf("%s is not of type %s", v, t)
	}
	return v, nil
}

// HasType reports whether v is valid for a parameter of type t.
func (v Value) HasType(t Type) bool {
	switch t {
	case TypeString:
		return v.kind == kindText
	case TypeDuration:
		_, err := time.ParseDuration(v.text)
		return v.kind == kindText && err == nil
	case TypeBoolean:
		return v.kind == kindBoolean
	case TypeNumber:
		return v.kind == kindNumber && !math.IsNaN(v.number) && !math.IsInf(v.number, 0)
	case TypeInteger:
		return v.kind == kindNumber && v.number == math.Trunc(v.number) && math.Abs(v.number) <= maxExactInteger
	default:
		return false
	}
}

// maxExactInteger bounds integers. A float64 represents all integers up to it exactly.
const maxExactInteger = 1 << 53

// Text returns the text of a string value.
func (v Value) Text() string { return v.text }

// Float returns the number of a numeric value.
func (v Value) Float() float64 { return v.number }

// Int returns the integer of an integer value.
func (v Value) Int() int64 { return int64(v.number) }

// Bool returns the value of a boolean, or false for other types.
func (v Value) Bool() bool { return v.kind == kindBoolean && v.number == booleanTrue }

// Duration returns the duration of a duration value, or 0 if v is not a valid duration.
func (v Value) Duration() time.Duration {
	d, err := time.ParseDuration(v.text)
	if err != nil {
		return 0
	}
	return d
}

// magnitude returns what Parameter.Minimum and Maximum bound: the number itself,
// a duration in seconds or the length of a string in bytes.
func (v Value) magnitude(t Type) float64 {
	switch t {
	case TypeDuration:
		return v.Duration().Seconds()
	case TypeString:
		return float64(len(v.text))
	default:
		return v.number
	}
}

// String formats v as on a command line.
func (v Value) String() string {
	switch v.kind {
	case kindText:
		return v.text
	case kindNumber:
		return strconv.FormatFloat(v.number, 'f', -1, 64)
	case kindBoolean:
		return strconv.FormatBool(v.Bool())
	default:
		return ""
	}
}

// MarshalJSON encodes v as a JSON string, number or boolean.
func (v Value) MarshalJSON() ([]byte, error) {
	switch v.kind {
	case kindText:
		return json.Marshal(v.text)
	case kindNumber:
		return json.Marshal(v.number)
	case kindBoolean:
		return json.Marshal(v.Bool())
	default:
		return []byte("null"), nil
	}
}

// UnmarshalJSON decodes a JSON string, number or boolean.
func (v *Value) UnmarshalJSON(data []byte) error {
	var text string
	if json.Unmarshal(data, &text) == nil && data[0] == '"' {
		*v = String(text)
		return nil
	}
	var boolean bool
	if json.Unmarshal(data, &boolean) == nil && data[0] != 'n' {
		*v = Boolean(boolean)
		return nil
	}
	var number float64
	if json.Unmarshal(data, &number) == nil && data[0] != 'n' {
		*v = Number(number)
		return nil
	}
	return errors.Newf("%s is not a string, number or boolean", data)
}
