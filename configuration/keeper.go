// Package configuration keeps the accepted configuration of one process. It
// exchanges changes with peers, reads them from the platform's table, and
// provides the snapshot in force. The revision of the snapshot never decreases.
package configuration

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/peer"
	"github.com/wigeonfork/wigeonfork/revision"
	"github.com/wigeonfork/wigeonfork/telemetry"
	"github.com/wigeonfork/wigeonfork/template"
	"github.com/wigeonfork/wigeonfork/workpool"
)

const (
	// tickInterval bounds the delay of the node's ticks.
	tickInterval = 25 * time.Millisecond
	// readTimeout bounds one read of the table.
	readTimeout = 2 * time.Second
	// sendTimeout bounds one message to a peer.
	sendTimeout = 500 * time.Millisecond
	// surveyTimeout bounds the wait for the result of a survey.
	surveyTimeout = 4 * time.Second
	// Sizes of the worker pool for messages and reads.
	poolWorkers = 8
	poolQueue   = 256
	// maxPeers bounds the connections to peers.
	maxPeers = 64
)

// Reader reads the changes in the table. store.Store implements it.
type Reader interface {
	// Since returns the changes after revision from.
	Since(ctx context.Context, from wigeonfork.Revision) (revision.Delta, error)
}

// Options are the settings of a Keeper.
type Options struct {
	Host      wigeonfork.HostID
	Domain    wigeonfork.FailureDomain
	Seed      uint64
	Reader    Reader
	Handshake peer.Handshake
	// Install is called with each new snapshot, in order, and with the lock of
	// the Keeper held.
	Install func(*template.Snapshot)
	Log     *telemetry.Logger
	Metrics telemetry.Registry
}

// Keeper drives a revision.Node and holds the snapshot in force. It is safe for
// concurrent use. Its lock is not held during I/O.
type Keeper struct {
	options  Options
	pool     *workpool.Pool
	peers    *peer.Pool
	snapshot atomic.Pointer[template.Snapshot]

	mu        sync.Mutex
	node      *revision.Node
	assembler *template.Assembler
	// addresses holds the addresses of the live processes and of those that sent a message
	// since these were last set.
	addresses map[wigeonfork.HostID]string
	self      infra.Host
	surveys   map[uint64]chan revision.SurveyResult
}

// envelope carries a message between two keepers. It includes the sender's host,
// since the receiver may not have its address yet.
type envelope struct {
	From    infra.Host `json:"from"`
	Message []byte     `json:"message"`
}

// New returns a Keeper without a snapshot.
func New(options Options) *Keeper {
	return &Keeper{
		options: options,
		pool:    workpool.New(poolWorkers, poolQueue),
		peers:   peer.NewPool(options.Handshake, maxPeers, nil),
		node: revision.New(revision.Options{
			ID:     options.Host,
			Domain: options.Domain,
			Seed:   options.Seed,
		}),
		assembler: template.NewAssembler(),
		addresses: map[wigeonfork.HostID]string{},
		surveys:   map[uint64]chan revision.SurveyResult{},
	}
}

// Register registers the handler for messages of peers.
func (k *Keeper) Register(server *peer.Server) {
	peer.Handle(server, peer.MethodRevision, peer.RolePeer, k.receive)
}

// SetSelf sets the description of this host that messages to peers carry, so that
// they can reach this process.
func (k *Keeper) SetSelf(self infra.Host) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.self = self
}

// SetPeers sets the processes that are considered live.
func (k *Keeper) SetPeers(hosts []infra.Host) {
	k.mu.Lock()
	defer k.mu.Unlock()
	peers := make([]revision.Peer, 0, len(hosts))
	k.addresses = make(map[wigeonfork.HostID]string, len(hosts))
	for _, host := range hosts {
		if host.ID == k.options.Host {
			continue
		}
		k.addresses[host.ID] = host.ControlAddress
		peers = append(peers, revision.Peer{ID: host.ID, Domain: host.Domain})
	}
	k.node.SetPeers(peers)
}

// Run drives the node until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		k.tick(time.Now())
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Close runs the queued messages and reads, then closes the peer connections. Run
// must have ended.
func (k *Keeper) Close() {
	k.pool.Close()
	k.peers.Close()
}

func (k *Keeper) tick(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if wake := k.node.NextWake(); !wake.IsZero() && wake.After(now) {
		return
	}
	k.execute(k.node.Tick(now))
}

// Refresh reads the table at once, after this process has accepted a change.
func (k *Keeper) Refresh(ctx context.Context) error {
	k.mu.Lock()
	since := k.node.Revision()
	k.mu.Unlock()
	return k.read(ctx, since)
}

func (k *Keeper) read(ctx context.Context, since wigeonfork.Revision) error {
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	telemetry.Counter(k.options.Metrics, "configuration.table_reads").Inc(1)
	delta, err := k.options.Reader.Since(readCtx, since)
	if err != nil {
		k.options.Log.Debug().Str("step", "configuration").Err(err).Msg("table_read_failed")
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.execute(k.node.CompleteTableRead(time.Now(), delta, err))
	return err
}

func (k *Keeper) receive(_ context.Context, _ *peer.Session, e envelope) (peer.None, error) {
	message, err := revision.Decode(e.Message)
	if err != nil {
		return peer.None{}, errors.Wrapf(err, "message of %s", e.From.ID)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if e.From.ControlAddress != "" {
		k.addresses[e.From.ID] = e.From.ControlAddress
	}
	k.execute(k.node.Receive(time.Now(), e.From.ID, message))
	return peer.None{}, nil
}

// execute performs the actions of the node. The caller holds the lock. Messages
// and reads run in the worker pool.
func (k *Keeper) execute(actions revision.Actions) {
	for _, send := range actions.Sends {
		k.send(send)
	}
	for _, read := range actions.Reads {
		since := read.Since
		// If the queue is full, the read is dropped. The node reads again later.
		k.pool.Submit(func() { _ = k.read(context.Background(), since) })
	}
	for _, delta := range actions.Installs {
		if err := k.assembler.Install(delta); err != nil {
			k.options.Log.Error().Str("step", "configuration").Err(err).Msg("configuration_malformed")
		}
	}
	if len(actions.Installs) > 0 || len(actions.Learned) > 0 || k.snapshot.Load() == nil {
		k.publish()
	}
	for _, survey := range actions.Surveys {
		if wait, ok := k.surveys[survey.ID]; ok {
			delete(k.surveys, survey.ID)
			wait <- survey
		}
	}
}

func (k *Keeper) send(s revision.Send) {
	address := k.addresses[s.To]
	data, err := revision.Encode(s.Message)
	if address == "" || err != nil {
		return
	}
	telemetry.Counter(k.options.Metrics, "configuration.messages").Inc(1)
	telemetry.Counter(k.options.Metrics, "configuration.message_bytes").Inc(int64(len(data)))
	message := envelope{From: k.self, Message: data}
	// If the queue is full, the message is lost. The protocol tolerates this.
	k.pool.Submit(func() { k.deliver(address, message) })
}

func (k *Keeper) deliver(address string, message envelope) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	client, err := k.peers.Get(ctx, address)
	if err == nil {
		err = client.Notify(ctx, peer.MethodRevision, message)
	}
	if err != nil {
		k.options.Log.Debug().Str("step", "configuration").Str("peer", address).Err(err).Msg("message_lost")
	}
}

// publish makes the current state the snapshot in force if the node may serve. It
// retires the facts that the configuration records.
func (k *Keeper) publish() {
	if !k.node.Serving() {
		return
	}
	snapshot := k.assembler.Snapshot().WithStops(k.stops())
	previous := k.snapshot.Swap(snapshot)
	k.options.Install(snapshot)
	if previous == nil || previous.Revision() != snapshot.Revision() {
		k.options.Log.Info().Uint64("revision", uint64(snapshot.Revision())).Msg("configuration_installed")
	}
}

// stops returns the stops that the configuration does not record yet, and
// retires the others.
func (k *Keeper) stops() []template.Stop {
	var stops []template.Stop
	for _, fact := range k.node.Facts() {
		stop, err := template.ParseStop(fact)
		if err != nil {
			k.options.Log.Error().Str("step", "configuration").Err(err).Msg("fact_malformed")
			continue
		}
		if k.assembler.RecordsStop(stop) {
			k.node.RetireFact(fact.Key)
			continue
		}
		stops = append(stops, stop)
	}
	return stops
}

// Stop stops all traffic to a version, on all hosts, at once and without the
// table. It cannot be revoked.
func (k *Keeper) Stop(stop template.Stop) error {
	fact, err := stop.Fact()
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	actions, err := k.node.AddFact(time.Now(), fact)
	if err != nil {
		return err
	}
	k.execute(actions)
	k.publish()
	return nil
}
