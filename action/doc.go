// Package action runs calls to plain services that may not be repeated: each
// at most once under its idempotency key.
//
// A key is claimed by a row of the platform's table before the call leaves
// for an agent. The claim names the agent and its incarnation, and the agent's
// ledger runs each claim at most once. A claim whose outcome is lost is never
// run again; another claim on the key is made only after the first is proved
// never to run.
package action
