package httpinfra

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/infra"
)

// Weights is an HTTP client of the weight store. It implements infra.Weights.
type Weights struct{ *client }

var _ infra.Weights = (*Weights)(nil)

// NewWeights returns a Weights. It connects on the first call.
func NewWeights(options Options) *Weights { return &Weights{newClient(options)} }

// Info implements infra.Weights.
func (w *Weights) Info(ctx context.Context, model wigeonfork.Model, version wigeonfork.Version) (infra.WeightInfo, error) {
	path := PathWeights + "/" + url.PathEscape(string(model)) + "/" + url.PathEscape(string(version)) + "/info"
	var info infra.WeightInfo
	err := w.query(ctx, call{operation: "weight info", method: http.MethodGet, path: path}, &info)
	return info, err
}

// HostList is an HTTP client of the host list. It implements infra.HostList.
type HostList struct{ *client }

var _ infra.HostList = (*HostList)(nil)

// NewHostList returns a HostList. It connects on the first call.
func NewHostList(options Options) *HostList { return &HostList{newClient(options)} }

// Hosts implements infra.HostList.
func (h *HostList) Hosts(ctx context.Context) ([]infra.Host, time.Time, error) {
	var answer HostsAnswer
	err := h.query(ctx, call{operation: "host list", method: http.MethodGet, path: PathHosts}, &answer)
	return answer.Hosts, answer.AsOf, err
}
