package gateway

import (
	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/routetable"
	"github.com/wigeonfork/wigeonfork/upstream"
)

// idleFraction is the part of a server's connections that all gateways together may
// keep open unused. Those of gateways that have lost power stay open at the
// server until it closes them, and their successors need as many again; what
// is left is for requests under way.
const idleFraction = 0.25

// maxIdle returns how many unused connections this gateway keeps to a server of
// the service, as upstream.Request takes it.
func (g *Gateway) maxIdle(service wigeonfork.Model) int {
	table := g.config.table()
	if table == nil {
		return 0
	}
	return idleBound(table.Service(service), 1+int(g.livePeers.Load()))
}

// idleBound shares a service's connections out among the gateways.
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
