package wigeonfork

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// HostID identifies one machine of the platform.
type HostID string

// FailureDomain identifies a set of hosts that can fail together.
type FailureDomain string

// Region identifies a set of failure domains with short network paths between them.
type Region string

// Workspace identifies one customer of an operator.
type Workspace string

// BackendServerID identifies one model engine or plain service instance.
type BackendServerID string

// Model names a model or a plain service, independent of its version.
type Model string

// Version names one deployable version of a model or service.
type Version string

// RequestID identifies one request of a caller. It is never reused.
type RequestID string

// Generation numbers the attempts to produce the answer to one request,
// starting at 1. Only frames of the current generation are delivered.
type Generation uint32

// Position is the zero-based index of a token in an answer.
type Position uint32

// FencingNumber increases with each change of a lease's holder. An order with a
// lower number than one seen before is refused.
type FencingNumber uint64

// Revision numbers the states of the accepted configuration. It only increases.
type Revision uint64

// Class is the kind of work of a request. It determines the priority.
type Class uint8

// The request classes of the two users' workloads.
const (
	ClassUnknown Class = iota
	ClassNarrative
	ClassCertificate
	ClassLookup
	ClassDraft
	ClassDisbursement
)

// NumClasses is the number of classes, ClassUnknown included.
const NumClasses = 6

var classNames = [NumClasses]string{
	"unknown", "narrative", "certificate", "lookup", "draft", "disbursement",
}

// String returns the name of c that settings and requests use.
func (c Class) String() string {
	if int(c) >= len(classNames) {
		return classNames[ClassUnknown]
	}
	return classNames[c]
}

// ParseClass returns the class with the given name, ignoring case. An unknown
// name is an error.
func ParseClass(name string) (Class, error) {
	for i, known := range classNames {
		if i != int(ClassUnknown) && strings.EqualFold(known, name) {
			return Class(i), nil
		}
	}
	return ClassUnknown, errors.Newf("unknown class %q", name)
}

// Rank is the urgency of a request among those for the same service. 0 is the most
// urgent.
type Rank uint8

// MaxRank is the least urgent rank.
const MaxRank Rank = 255
