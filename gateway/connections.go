package gateway

import (
	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/routetable"
	"github.com/wigeonfork/wigeonfork/upstream"
)

// idleFraction is the fraction of a server's connection limit that all gateways
// together may keep idle. The connections of a gateway that lost power stay open at
// the server until the server closes them, and its replacement opens as many again.
// The rest are for requests in progress.
const idleFraction = 0.25

// maxIdle returns how many idle connections this gateway keeps to a server of the
// service, as a value for upstream.Request.MaxIdle.
func (g *Gateway) maxIdle(service wigeonfork.Model) int {
	table := g.config.table()
	if table == nil {
		return 0
	}
	return idleBound(table.Service(service), 1+int(g.livePeers.Load()))
}

// idleBound divides a service's idle connections among the gateways. It returns 0,
// which selects the pool's default, if the service has no connection limit.
func idleBound(service *routetable.Service, gateways int) int {
	if service == nil || service.MaxConnections == 0 {
		return 0
	}
	bound := int(idleFraction * float64(service.MaxConnections) / float64(gateways))
	if bound == 0 {
		return upstream.NoIdle
	}
	return bound
}
