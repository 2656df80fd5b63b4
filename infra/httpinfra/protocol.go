package httpinfra

import (
	"time"

	"github.com/wigeonfork/wigeonfork/infra"
)

// The paths of the platform's services.
const (
	PathRows    = "/v1/rows"
	PathScan    = "/v1/scan"
	PathCommit  = "/v1/commit"
	PathObjects = "/v1/objects"
	PathWeights = "/v1/weights"
	PathHosts   = "/v1/hosts"
)

// ObjectNames is the answer to a request that lists objects.
type ObjectNames struct {
	Names []string `json:"names"`
}

// HostsAnswer is the answer to a GET of PathHosts.
type HostsAnswer struct {
	Hosts []infra.Host `json:"hosts"`
	// AsOf is the time at which the list was accurate.
	AsOf time.Time `json:"as_of"`
}
