package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork/directory"
	"github.com/wigeonfork/wigeonfork/memquota"
	"github.com/wigeonfork/wigeonfork/upstream"
)

const (
	// fetchTimeout bounds one request that the gateway itself makes to a server.
	fetchTimeout = 600 * time.Millisecond
	// maxFetchBytes bounds the answer to such a request.
	maxFetchBytes = 256 << 10
)

// fetch makes a GET request on behalf of the gateway itself and reads the answer.
func (g *Gateway) fetch(entry directory.Entry, target string) (*upstream.Response, []byte, error) {
	return g.exchange(g.background, entry, &upstream.Request{Method: http.MethodGet, Target: target})
}

// exchange makes a request on behalf of the gateway itself and reads the answer. The request holds the
// method, the target and the body; exchange sets its other fields. It ends after fetchTimeout.
//
// The answer doesn't name the request, so the request has a connection of its own: a server may send an answer a second
// time where the answer to the next request on the connection is expected.
func (g *Gateway) exchange(ctx context.Context, entry directory.Entry, request *upstream.Request) (*upstream.Response, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	server := upstream.Server{ID: string(entry.ID), Address: entry.Address}
	request.Host, request.Header = entry.Address, http.Header{}
	request.FreshConnection, request.MaxIdle = true, upstream.NoIdle
	response, err := g.pool.Do(ctx, server, request)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	hold := g.memory.Begin(memquota.ServerAnswer, string(entry.ID))
	defer hold.End()
	buffer, err := memquota.Gather(response.Body, response.ContentLength, maxFetchBytes, hold)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read the answer")
	}
	body, err := buffer.Bytes(hold)
	return response, body, errors.Wrap(err, "read the answer")
}
