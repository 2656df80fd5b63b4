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

// ClaimID identifies one claim on a key. It is never reused.
type ClaimID string

// NewClaimID returns a random claim id.
func NewClaimID() ClaimID { return ClaimID(uuid.NewString()) }

// Incarnation identifies one run of an agent process. A restarted agent gets a new one, because
// its ledger was lost with the old process.
type Incarnation string

// NewIncarnation returns a random incarnation for a starting agent.
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

// Target is the agent that a claim is made for. It is selected before the claim is made.
type Target struct {
	AgentAddress string      `json:"agent_address" cbor:"1,keyasint"`
	Incarnation  Incarnation `json:"incarnation" cbor:"2,keyasint"`
}

// Claim is the right to run one call once, at one incarnation of one agent. A dispatch contains
// the complete claim.
type Claim struct {
	ID          ClaimID              `json:"id"`
	Workspace   wigeonfork.Workspace `json:"workspace"`
	Key         Key                  `json:"key"`
	Fingerprint Fingerprint          `json:"fingerprint"`
	Target      Target               `json:"target"`
	RequestID   wigeonfork.RequestID `json:"request_id"`
	// ClaimedAt and Expires are times of the entry that made the claim. The agent applies
	// Expires by its own clock: until then it remembers the claim, and afterwards it refuses a
	// dispatch of it. Clock skew therefore shortens the time in which the claim can be used, but
	// does not affect safety.
	ClaimedAt time.Time `json:"claimed_at"`
	Expires   time.Time `json:"expires"`
	// Revision is the revision of the row that holds the claim.
	Revision infra.Revision `json:"revision"`
}
