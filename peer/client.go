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

// dialTimeout bounds the time to connect to another process.
const dialTimeout = 500 * time.Millisecond

// codeProblem is the JSON-RPC error code of an error whose data is a problem.Error.
const codeProblem = -32001

// Notification is an unsolicited message from a server.
type Notification struct {
	Method string
	Params json.RawMessage
}

// Client is one connection to another process.
type Client struct {
	Address string
	conn    *jsonrpc2.Conn
}

// Dial connects to address and performs the handshake. onNotification may be nil. It is called
// sequentially, in the order of arrival.
func Dial(ctx context.Context, address string, handshake Handshake, onNotification func(Notification)) (*Client, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	netConn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, infra.NewError(infra.OutcomeNotDone, "dial", address, err)
	}
	stream := jsonrpc2.NewBufferedStream(netConn, limitedCodec{maxBytes: func() int { return MaxMessageBytes }})
	client := &Client{Address: address}
	client.conn = jsonrpc2.NewConn(context.Background(), stream, notificationHandler{onNotification}, discardLog)
	if err := client.Call(ctx, MethodHandshake, handshake, nil); err != nil {
		_ = client.Close()
		return nil, err
	}
	return client, nil
}

// Call sends a request and stores the response in result, which may be nil. An error that the
// server returned is a *problem.Error. Other errors state their outcome.
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

// Notify sends a message without waiting for a response.
func (c *Client) Notify(ctx context.Context, method string, message any) error {
	if err := c.conn.Notify(ctx, method, message); err != nil {
		return infra.NewError(infra.OutcomeUnknown, method, c.Address, err)
	}
	return nil
}

// Done is closed when the connection ends.
func (c *Client) Done() <-chan struct{} { return c.conn.DisconnectNotify() }

// Close closes the connection.
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

// Pool keeps one connection per address, at most limit in total. It evicts the least recently used
// one.
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

// NewPool returns a pool of at most limit connections. onNotification receives the notifications
// of servers. It may be nil.
func NewPool(handshake Handshake, limit int, onNotification func(Notification)) *Pool {
	return &Pool{handshake: handshake, limit: limit, onNotification: onNotification, clients: map[string]*pooledClient{}}
}

// Get returns a connection to address and dials if there is none.
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

// Close closes all connections of the pool.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for address, pooled := range p.clients {
		_ = pooled.client.Close()
		delete(p.clients, address)
	}
}
