package capacity

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/wigeonfork/wigeonfork/agentapi"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/intake"
	"github.com/wigeonfork/wigeonfork/peer"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// Names of the costs of messages between processes.
const (
	costPollBytes     = "poll of a status, request and answer"
	costPollMicros    = "poll of a status, both ends"
	costRevisionBytes = "revision message on its connection"
	costRevisionTime  = "revision message, both ends"
	costConnectBytes  = "bytes of so many connections with their hello"
	costConnectMicros = "connections with their hello, both ends"
)

const credential = "credential-of-the-peers"

// countingListener counts the bytes of its connections in both directions.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, &l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(data []byte) (int, error) {
	// Count first: the peer may respond before Write returns.
	c.bytes.Add(int64(len(data)))
	return c.Conn.Write(data)
}

// revisionEnvelope has the format in which configuration.Keeper sends a message.
type revisionEnvelope struct {
	From    infra.Host `json:"from"`
	Message []byte     `json:"message"`
}

// loopback is a control connection over the loopback interface that counts bytes.
type loopback struct {
	server   *peer.Server
	listener *countingListener
	client   *peer.Client
	hello    peer.Handshake
	status   agentapi.Status
	received atomic.Int64
}

func newLoopback() (*loopback, error) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	account := intake.NewAccount(intake.Limits{}, telemetry.Discard(), telemetry.NewRegistry())
	w := &loopback{server: peer.NewServer(peer.Credentials{Peer: credential}, account.Guard(intake.Peers)), listener: &countingListener{Listener: inner}}
	peer.Handle(w.server, peer.MethodStatusSubscribe, peer.RolePeer,
		func(context.Context, *peer.Session, peer.None) (agentapi.Status, error) { return w.status, nil })
	peer.Handle(w.server, peer.MethodRevision, peer.RolePeer,
		func(context.Context, *peer.Session, revisionEnvelope) (peer.None, error) {
			w.received.Add(1)
			return peer.None{}, nil
		})
	go func() { _ = w.server.Serve(w.listener) }()
	w.hello = peer.Handshake{ID: string(hostID(0)), Role: peer.RolePeer, Credential: credential}
	w.client, err = peer.Dial(context.Background(), inner.Addr().String(), w.hello, nil)
	if err != nil {
		w.server.Close()
	}
	return w, err
}

func (w *loopback) close() {
	_ = w.client.Close()
	w.server.Close()
}

func (w *loopback) poll() error {
	var status agentapi.Status
	return w.client.Call(context.Background(), peer.MethodStatusSubscribe, peer.None{}, &status)
}

// notify sends n messages and a poll. The response to the poll confirms that all
// messages have arrived.
func (w *loopback) notify(n int, message revisionEnvelope) error {
	for range n {
		if err := w.client.Notify(context.Background(), peer.MethodRevision, message); err != nil {
			return err
		}
	}
	return w.poll()
}

// countBytes returns the bytes that do transfers in both directions.
func (w *loopback) countBytes(do func() error) (float64, error) {
	before := w.listener.bytes.Load()
	err := do()
	return float64(w.listener.bytes.Load() - before), err
}

func statusWithEvents(events int) agentapi.Status {
	s := agentapi.Status{
		Host: hostID(1), BackendServer: serverID(1), Domain: domainOf(1), Incarnation: "6f1c0f3e-6c55-4d57-9a35-0e3f5a8f2c11",
		MemberIncarnation: 1_000_000_000_000_000_000, Sequence: 1_000_000, EngineUp: true, Revision: 1_000_000,
		Load: backend.LoadReport{
			Running: residentsPerEngine, Waiting: residentsPerEngine, Slots: slotsPerServer, TokensPerSecond: agentTokensPerSecond, CacheUsed: 0.875,
			MeasuredAt: startTime, Incarnation: "engine-1", Versions: []backend.LoadedVersion{{Model: "model-00", Version: "v1", Ready: true}},
		},
	}
	for i := range events {
		s.CacheEvents = append(s.CacheEvents, backend.CacheEvent{Sequence: uint64(i), Prefix: 0x123456789abcdef0, Tokens: 900})
	}
	return s
}

const maxCacheEvents = 16

func measureMessages(c *costs) {
	if c.err != nil {
		return
	}
	w, err := newLoopback()
	if err != nil {
		c.err = err
		return
	}
	defer w.close()
	measurePolls(c, w)
	measureRevisionMessages(c, w)
	measureConnects(c, w)
}

// connect opens and closes n connections with a handshake each.
func (w *loopback) connect(n int) error {
	for range n {
		client, err := peer.Dial(context.Background(), w.listener.Addr().String(), w.hello, nil)
		if err != nil {
			return err
		}
		_ = client.Close()
	}
	return nil
}

// measureConnects measures the additional cost of a message to a host to which no
// connection is open.
func measureConnects(c *costs, w *loopback) {
	sizes := []int{1, 10, 100}
	s := series{role: roleAll, name: costConnectBytes, unit: "bytes", sizeUnit: "connections", designSize: 1}
	c.add(s, sizes, func(n int) (float64, error) {
		return w.countBytes(func() error { return w.connect(n) })
	})
	s = series{role: roleAll, name: costConnectMicros, unit: "us", sizeUnit: "connections", designSize: 1}
	c.add(s, sizes, func(connections int) (float64, error) {
		var failed error
		micros, err := c.meter.micros(func(n int) {
			for range n {
				if err := w.connect(connections); err != nil {
					failed = err
				}
			}
		})
		if failed != nil {
			return 0, failed
		}
		return micros, err
	})
}

func measurePolls(c *costs, w *loopback) {
	sizes := []int{0, maxCacheEvents / 2, maxCacheEvents}
	s := series{role: roleEntry, name: costPollBytes, unit: "bytes", sizeUnit: "cache events", designSize: maxCacheEvents}
	c.add(s, sizes, func(events int) (float64, error) {
		w.status = statusWithEvents(events)
		return w.countBytes(w.poll)
	})
	s = series{role: roleEntry, name: costPollMicros, unit: "us", sizeUnit: "cache events", designSize: maxCacheEvents}
	c.add(s, sizes, func(events int) (float64, error) {
		w.status = statusWithEvents(events)
		var failed error
		micros, err := c.meter.micros(func(n int) {
			for range n {
				if err := w.poll(); err != nil {
					failed = err
				}
			}
		})
		if failed != nil {
			return 0, failed
		}
		return micros, err
	})
}

// revisionPayloads are sizes of encoded messages in bytes.
var revisionPayloads = []int{20, 200, 1_000}

func measureRevisionMessages(c *costs, w *loopback) {
	w.status = agentapi.Status{}
	message := func(size int) revisionEnvelope {
		return revisionEnvelope{From: hosts(1)[0], Message: make([]byte, size)}
	}
	s := series{role: roleAll, name: costRevisionBytes, unit: "bytes", sizeUnit: "encoded bytes", designSize: designRevisionBytes}
	c.add(s, revisionPayloads, func(size int) (float64, error) {
		const count = 100
		poll, err := w.countBytes(w.poll)
		if err != nil {
			return 0, err
		}
		total, err := w.countBytes(func() error { return w.notify(count, message(size)) })
		return (total - poll) / count, err
	})
	s = series{role: roleAll, name: costRevisionTime, unit: "us", sizeUnit: "encoded bytes", designSize: designRevisionBytes}
	c.add(s, revisionPayloads, func(size int) (float64, error) {
		var failed error
		micros, err := c.meter.micros(func(n int) {
			if err := w.notify(n, message(size)); err != nil {
				failed = err
			}
		})
		if failed != nil {
			return 0, failed
		}
		return micros, err
	})
}
