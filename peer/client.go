package peer

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/problem"
)

// dialTimeout bounds the time to connect to a peer.
const dialTimeout = 500 * time.Millisecond

// codeProblem is the JSON-RPC error code of an error that carries a
// problem.Error as its data.
const codeProblem = -32001

// Notification is a message that a server sent on its own.
type Notification struct {
	Method string
	Params json.RawMessage
}

// Client is one connection to another process.
type Client struct {
	Address string
	conn    *jsonrpc2.Conn
}

// Dial connects to address and says hello. onNotification may be nil; it is
// called in order, from one goroutine.
func Dial(ctx context.Context, address string, handshake Handshake, onNotification func(Notification)) (*Client, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	netConn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, infra.NewError(infra.OutcomeNotDone, "dial", address, err)
	}
	stream := jsonrpc2.NewBufferedStream(netConn, limitedCodec{})
	client := &Client{Address: address}
	client.conn = jsonrpc2.NewConn(context.Background(), stream, notificationHandler{onNotification}, discardLog)
	if err := client.Call(ctx, MethodHandshake, handshake, nil); err != nil {
		_ = client.Close()
		return nil, err
	}
	return client, nil
}

// Call sends a request and waits for its answer in result, which may be nil.
// An answered error is a *problem.Error; others state their outcome.
func (c *Client) Call(ctx context.Context, method string, request, result any) error {
	err := c.conn.Call(ctx, method, request, result)
	if err == nil {
		return nil
	}
	var rpcError *jsonrpc2.Error
	if errors.As(err, &rpcError) {
		return decodeError(rpcError).At(c.Address)
	}
	return infra.NewError(infra.OutcomeUnknown, method, c.Address, err)
}

// Notify sends a message without an answer.
func (c *Client) Notify(ctx context.Context, method string, message any) error {
	if err := c.conn.Notify(ctx, method, message); err != nil {
		return infra.NewError(infra.OutcomeUnknown, method, c.Address, err)
	}
	return nil
}

// Done is closed when the connection ends.
func (c *Client) Done() <-chan struct{} { return c.conn.DisconnectNotify() }

// Close ends the connection.
func (c *Client) Close() error { return c.conn.Close() }

type notificationHandler struct {
	handle func(Notification)
}

// Handle implements jsonrpc2.Handler.
func (h notificationHandler) Handle(_ context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if h.handle == nil || !req.Notif || req.Params == nil {
		return
	}
	h.handle(Notification{Method: req.Method, Params: *req.Params})
}

func encodeError(err error) *jsonrpc2.Error {
	typed := problem.From(err, problem.StepAccept)
	data := json.RawMessage(problem.Marshal(typed))
	return &jsonrpc2.Error{Code: codeProblem, Message: typed.Error(), Data: &data}
}

func decodeError(err *jsonrpc2.Error) *problem.Error {
	if err.Data != nil {
		if typed := problem.Unmarshal(*err.Data); typed != nil {
			return typed
		}
	}
	return problem.New(problem.CodeInternal, problem.RunUnknown, problem.StepAccept, "%s", err.Message)
}

// Pool holds one connection to each of the peers last spoken to.
type Pool struct {
	handshake      Handshake
	limit          int
	onNotification func(Notification)

	mu      sync.Mutex
	clients map[string]*pooledClient
	closed  bool
}

type pooledClient struct {
	client   *Client
	lastUsed time.Time
}

// NewPool returns a pool of at most limit connections. onNotification takes
// what peers send on their own; it may be nil.
func NewPool(handshake Handshake, limit int, onNotification func(Notification)) *Pool {
	return &Pool{handshake: handshake, limit: limit, onNotification: onNotification, clients: map[string]*pooledClient{}}
}

// Get returns a connection to address, dialling if there is none.
func (p *Pool) Get(ctx context.Context, address string) (*Client, error) {
	if client := p.lookup(address); client != nil {
		return client, nil
	}
	client, err := Dial(ctx, address, p.handshake, p.onNotification)
	if err != nil {
		return nil, err
	}
	return p.add(address, client)
}

func (p *Pool) lookup(address string) *Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	pooled, ok := p.clients[address]
	if !ok {
		return nil
	}
	select {
	case <-pooled.client.Done():
		delete(p.clients, address)
		return nil
	default:
		pooled.lastUsed = time.Now()
		return pooled.client
	}
}

func (p *Pool) add(address string, client *Client) (*Client, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = client.Close()
		return nil, infra.NewError(infra.OutcomeNotDone, "dial", address, net.ErrClosed)
	}
	if pooled, ok := p.clients[address]; ok {
		_ = client.Close()
		return pooled.client, nil
	}
	if len(p.clients) >= p.limit {
		p.evictLeastRecentlyUsed()
	}
	p.clients[address] = &pooledClient{client: client, lastUsed: time.Now()}
	return client, nil
}

func (p *Pool) evictLeastRecentlyUsed() {
	var oldest string
	for address, pooled := range p.clients {
		if oldest == "" || pooled.lastUsed.Before(p.clients[oldest].lastUsed) {
			oldest = address
		}
	}
	_ = p.clients[oldest].client.Close()
	delete(p.clients, oldest)
}

// Close ends all connections of the pool.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for address, pooled := range p.clients {
		_ = pooled.client.Close()
		delete(p.clients, address)
	}
}
