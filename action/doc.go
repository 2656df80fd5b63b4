// Package action runs non-idempotent calls to backend services at most once per idempotency
// key.
//
// A key is claimed by writing a row of the platform's table before the call is sent to an
// agent. The claim names the agent and its incarnation, and the agent's ledger runs each claim
// at most once. A claim whose outcome is lost is never run again. Another claim on the key is
// made only after the previous one is proved never to run.
package action
