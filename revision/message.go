package revision

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/wigeonfork/wigeonfork"
)

// Kind tells what a message asks for.
type Kind uint8

// The kinds of messages.
const (
	// KindState brings a delta or facts, or only tells what the sender holds.
	KindState Kind = iota + 1
	// KindPull asks for what the sender lacks.
	KindPull
	// KindProbe asks what the receiver holds, without the delta.
	KindProbe
	// KindSurvey asks on which hosts a revision is in force.
	KindSurvey
	// KindSurveyReply answers KindSurvey.
	KindSurveyReply
)

// Message is what two nodes exchange. Revision, Serving and Facts tell what
// the sender holds and stand in every message.
type Message struct {
	Kind        Kind                `json:"kind" cbor:"1,keyasint"`
	Revision    wigeonfork.Revision `json:"revision" cbor:"2,keyasint"`
	Serving     bool                `json:"serving,omitempty" cbor:"3,keyasint,omitempty"`
	FactsDigest uint64              `json:"facts,omitempty" cbor:"4,keyasint,omitempty"`
	Delta       *Delta              `json:"delta,omitempty" cbor:"5,keyasint,omitempty"`
	FactList    []Fact              `json:"fact_list,omitempty" cbor:"6,keyasint,omitempty"`
	Survey      *Survey             `json:"survey,omitempty" cbor:"7,keyasint,omitempty"`
}

// Survey is the part of a message that belongs to one survey. Peers lists the
// hosts that the receiver is to ask; Domains is the answer.
type Survey struct {
	ID       uint64              `json:"id" cbor:"1,keyasint"`
	Revision wigeonfork.Revision `json:"revision" cbor:"2,keyasint"`
	Peers    []Peer              `json:"peers,omitempty" cbor:"3,keyasint,omitempty"`
	Domains  []DomainCount       `json:"domains,omitempty" cbor:"4,keyasint,omitempty"`
}

// Encode returns m as CBOR.
func Encode(m Message) ([]byte, error) { return cbor.Marshal(m) }

// decoder bounds what a peer can make this process build.
var decoder = mustDecoder()

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
