package intake

import (
	"net"

	"github.com/wigeonfork/wigeonfork/memquota"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// Refusal is why something of a peer was refused before it was a request.
type Refusal string

// Guard is the guard of one listener. It holds the quota of the bytes that are received on its connections.
type Guard struct {
	kind    Kind
	memory  *memquota.Quota
	metrics telemetry.Registry
}

// Memory returns the quota of the bytes that are held for the peers of the listener.
func (g *Guard) Memory() *memquota.Quota { return g.memory }

// IncompleteLimit returns the number of bytes that incomplete heads may hold.
func (g *Guard) IncompleteLimit() int64 {
	return int64(incompleteFraction * float64(g.memory.Usage().Limit))
}

// ReportIncomplete registers the gauge of the bytes that incomplete heads of callers or entries hold. For other kinds it does
// nothing.
func (g *Guard) ReportIncomplete(held func() int64) {
	if g.kind == Callers || g.kind == Entries {
		telemetry.GaugeOf(g.metrics, "heads.incomplete_bytes", held)
	}
}

// RefusedHead counts the refusal of a head.
func (g *Guard) RefusedHead(reason Refusal, _ string) {
	telemetry.Counter(g.metrics, "heads.refused_"+string(reason)).Inc(1)
}

// Listener returns a listener whose connections are of type *Conn.
func (g *Guard) Listener(inner net.Listener) net.Listener { return &listener{Listener: inner} }

// listener accepts connections of type *Conn.
type listener struct{ net.Listener }

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: conn, address: hostOf(conn.RemoteAddr())}, nil
}

// hostOf returns an address without its port.
func hostOf(address net.Addr) string {
	host, _, err := net.SplitHostPort(address.String())
	if err != nil {
		return address.String()
	}
	return host
}

// Conn is a connection of a peer.
type Conn struct {
	net.Conn
	address string
}

// Address returns the peer's address without its port.
func (c *Conn) Address() string { return c.address }

// NetConn returns the connection below.
func (c *Conn) NetConn() net.Conn { return c.Conn }
