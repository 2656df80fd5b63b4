package main

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/wigeonfork/wigeonfork/gateway"
)

// agreementTimeout is the time without faults within which all gateways must have the operator's
// newest configuration and the same era of the store.
const agreementTimeout = 15 * time.Second

// checkAgreement checks that all gateways have the newest configuration and the era of the store once
// all faults have ended.
func (s *system) checkAgreement() {
	var behind string
	for end := time.Now().Add(agreementTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if behind = s.behind(); behind == "" {
			return
		}
	}
	s.violations.add("%s has not the newest configuration and era %v after the faults", behind, agreementTimeout)
}

// behind returns the name of a gateway that differs from the store, or an empty text.
func (s *system) behind() string {
	for _, n := range s.nodes {
		state, err := n.state()
		if err != nil || state.Version != s.ConfigurationVersion() || state.Era != s.Store.Era() {
			return n.name
		}
	}
	return ""
}

func (n *node) state() (gateway.State, error) {
	var state gateway.State
	response, err := http.Get("http://" + n.ip + ":9464/state")
	if err != nil {
		return state, err
	}
	defer response.Body.Close()
	return state, json.NewDecoder(response.Body).Decode(&state)
}
