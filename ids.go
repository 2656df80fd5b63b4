package wigeonfork

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// HostID names one machine of the platform.
type HostID string

// FailureDomain names a set of hosts that can be lost together.
type FailureDomain string

// Region names a set of failure domains with short network paths between them.
type Region string

// Workspace names one customer of an operator.
type Workspace string

// BackendServerID names one model engine or plain service instance.
type BackendServerID string

// Model names a model or a plain service, independent of its version.
type Model string

// Version names one deployable version of a model or service.
type Version string

// RequestID names one request of a caller. It is unique for ever.
type RequestID string

// Generation numbers the attempts to produce the answer to one request. The
// first attempt is 1. A frame of another generation than the current one is
// never delivered.
type Generation uint32

// Position is the zero-based index of a token in an answer.
type Position uint32

// FencingNumber grows with each change of a lease's holder. An order that
// carries a lower number than one seen before is refused.
type FencingNumber uint64

// Revision numbers the states of the accepted configuration. It only grows.
type Revision uint64

// Class is the kind of work a request is, from which its priority follows.
type Class uint8

// The classes of the two users' workloads.
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

// String returns the name of c as it stands in settings and requests.
func (c Class) String() string {
	if int(c) >= len(classNames) {
		return classNames[ClassUnknown]
	}
	return classNames[c]
}

// ParseClass returns the class called name. It fails on an unknown name.
func ParseClass(name string) (Class, error) {
	for i, known := range classNames {
		if i != int(ClassUnknown) && strings.EqualFold(known, name) {
			return Class(i), nil
		}
	}
	return ClassUnknown, errors.Newf("unknown class %q", name)
}
