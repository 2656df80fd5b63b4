package action

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"

	"github.com/google/uuid"
	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/infra"
)

// ClaimID names one claim on a key. It is unique for ever.
type ClaimID string

// NewClaimID returns a random claim id.
func NewClaimID() ClaimID { return ClaimID(uuid.NewString()) }

// Incarnation names one run of an agent process. A restarted agent has a new
// one, because it has lost what it knew.
type Incarnation string

// NewIncarnation returns a random incarnation for an agent that starts.
func NewIncarnation() Incarnation { return Incarnation(uuid.NewString()) }

// Fingerprint identifies the method, path and body of a call.
type Fingerprint string

const fingerprintBytes = 16

// FingerprintOf returns the fingerprint of call.
func FingerprintOf(call backend.Call) Fingerprint {
	hash := sha256.New()
	var size [8]byte
	for _, part := range [][]byte{[]byte(call.Method), []byte(call.Path), call.Body} {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		hash.Write(size[:])
		hash.Write(part)
	}
	return Fingerprint(hex.EncodeToString(hash.Sum(nil)[:fingerprintBytes]))
}

// Target is the agent that a claim is for. It is chosen before the claim.
type Target struct {
	AgentAddress string      `json:"agent_address" cbor:"1,keyasint"`
	Incarnation  Incarnation `json:"incarnation" cbor:"2,keyasint"`
}

// Claim is the right to run one call once, at one incarnation of one agent.
// A dispatch carries it whole.
type Claim struct {
	ID          ClaimID              `json:"id"`
	Workspace   wigeonfork.Workspace `json:"workspace"`
	Key         Key                  `json:"key"`
	Fingerprint Fingerprint          `json:"fingerprint"`
	Target      Target               `json:"target"`
	RequestID   wigeonfork.RequestID `json:"request_id"`
	// ClaimedAt and Expires are in the time of the entry that made the claim.
	// The agent refuses a dispatch after Expires, and until Expires it
	// remembers the claim, both by its own clock: a difference between the
	// clocks costs time in which the claim can be used, not safety.
	ClaimedAt time.Time `json:"claimed_at"`
	Expires   time.Time `json:"expires"`
	// Revision is that of the claim's row.
	Revision infra.Revision `json:"revision"`
}
