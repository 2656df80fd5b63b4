package revision

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/wigeonfork/wigeonfork"
)

// Kind is the type of a message.
type Kind uint8

// The kinds of messages.
const (
	// KindState carries a delta, facts, or only the sender's revision and digest.
	KindState Kind = iota + 1
	// KindPull requests the changes that the sender lacks.
	KindPull
	// KindProbe requests the revision of the receiver, without a delta.
	KindProbe
	// KindSurvey asks on which hosts a revision is in force.
	KindSurvey
	// KindSurveyReply answers KindSurvey.
	KindSurveyReply
)

// Message is a message between two nodes. Revision, Serving and FactsDigest
// describe the state of the sender and are set in every message.
type Message struct {
	Kind        Kind                `json:"kind" cbor:"1,keyasint"`
	Revision    wigeonfork.Revision `json:"revision" cbor:"2,keyasint"`
	Serving     bool                `json:"serving,omitempty" cbor:"3,keyasint,omitempty"`
	FactsDigest uint64              `json:"facts,omitempty" cbor:"4,keyasint,omitempty"`
	Delta       *Delta              `json:"delta,omitempty" cbor:"5,keyasint,omitempty"`
	FactList    []Fact              `json:"fact_list,omitempty" cbor:"6,keyasint,omitempty"`
	Survey      *Survey             `json:"survey,omitempty" cbor:"7,keyasint,omitempty"`
}

// Survey is the part of a message that belongs to one survey. In a request,
// Peers lists the hosts that the receiver has to ask. In a reply, Domains holds
// their counts.
type Survey struct {
	ID       uint64              `json:"id" cbor:"1,keyasint"`
	Revision wigeonfork.Revision `json:"revision" cbor:"2,keyasint"`
	Peers    []Peer              `json:"peers,omitempty" cbor:"3,keyasint,omitempty"`
	Domains  []DomainCount       `json:"domains,omitempty" cbor:"4,keyasint,omitempty"`
}

// Encode returns m as CBOR.
func Encode(m Message) ([]byte, error) { return cbor.Marshal(m) }

// decoder limits the size of the values that a peer's message can create.
var decoder = mustDecoder()

// Limits of a decoded message: the elements of each array or map, and the levels
// of nesting.
const (
	maxElements = 1 << 17
	maxNesting  = 8
)

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxNesting,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Decode reads a message that Encode wrote.
func Decode(data []byte) (Message, error) {
	var m Message
	err := decoder.Unmarshal(data, &m)
	return m, err
}
