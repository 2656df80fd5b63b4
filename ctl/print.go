package ctl

import "encoding/json"

// timeFormat is the format of times in text output.
const timeFormat = "2006-01-02T15:04:05Z07:00"

// print prints value as JSON if the output format is json, and else calls text.
func (s *session) print(value any, text func()) error {
	if s.Output == "json" {
		return s.printJSON(value)
	}
	text()
	return nil
}

func (s *session) printJSON(value any) error {
	encoder := json.NewEncoder(s.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
