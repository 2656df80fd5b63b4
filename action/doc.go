// Package action runs non-idempotent calls to backend services at most once per idempotency
// key.
//
// A key is claimed by writing a row of the platform's table (infra.Table) before the call is sent
// to an agent. The claim names the agent and its incarnation, and the agent's ledger ensures that
// each claim is run at most once. A claim whose outcome is lost is never run again. Another claim
// on the key is made only after it is proved that the previous one never runs.
package action
