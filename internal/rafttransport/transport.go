// Package rafttransport carries the messages of the replicated log over gRPC: one
// stream for each peer and a stream of its own for each snapshot.
package rafttransport

import (
	"context"
	"io"
	"log/slog"
	"net"
	"sync"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"gentiankeel/internal/wire"
)

const (
	maxMessageBytes  = 16 << 20
	maxSnapshotBytes = 512 << 20
	snapshotPart     = 1 << 20
)

// Options set a Transport up.
type Options struct {
	Address    string            // where peers reach this replica
	Dial       []grpc.DialOption // credentials; without any the connection is in clear
	Logger     *slog.Logger
	Registerer prometheus.Registerer
	QueueLen   int // messages waiting for one peer
}

const defaultQueueLen = 512

// Transport sends and receives messages. Its methods are safe for concurrent use.
type Transport struct {
	opts    Options
	log     *slog.Logger
	metrics *metrics
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu      sync.Mutex
	handler func(*wire.RaftMessage)
	self    uint64
	peers   map[uint64]*peer
	members map[uint64]string // addresses by the membership
	learnt  map[uint64]string // addresses of senders outside the membership
	closed  bool
}

// New returns a Transport; Start gives it a receiver.
func New(opts Options) *Transport {
	if opts.Logger == nil {
		opts.Logger = slog.New(slog.DiscardHandler)
	}
	if opts.QueueLen <= 0 {
		opts.QueueLen = defaultQueueLen
	}
	if len(opts.Dial) == 0 {
		opts.Dial = []grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())}
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Transport{
		opts:    opts,
		log:     opts.Logger.With("part", "raft-transport"),
		metrics: newMetrics(opts.Registerer),
		ctx:     ctx,
		cancel:  cancel,
		peers:   map[uint64]*peer{},
		learnt:  map[uint64]string{},
	}
}

// Register adds the transport's service to a gRPC server. Servers need a receive limit
// of ServerOptions.
func (t *Transport) Register(s grpc.ServiceRegistrar) {
	wire.RegisterRaftTransportServer(s, &service{t: t})
}

// ServerOptions returns the options that a server of this service needs.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.KeepaliveEnforcementPolicy(keepaliveEnforcement),
	}
}

// Serve runs a gRPC server of its own on lis until Close.
func (t *Transport) Serve(lis net.Listener, opts ...grpc.ServerOption) error {
	s := grpc.NewServer(append(ServerOptions(), opts...)...)
	t.Register(s)
	stop := context.AfterFunc(t.ctx, s.Stop)
	defer stop()
	return errors.Wrap(s.Serve(lis), "serve raft transport")
}

// Start sets the receiver of messages for replica self; it is called by many goroutines
// and may block to slow the senders down.
func (t *Transport) Start(self uint64, handler func(*wire.RaftMessage)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self = self
	t.handler = handler
}

// SetPeers follows the membership: new members get a stream, others lose theirs.
func (t *Transport) SetPeers(members []*wire.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.members = make(map[uint64]string, len(members))
	for _, m := range members {
		t.members[m.Id] = m.Address
	}
	clear(t.learnt)
	for id, p := range t.peers {
		if t.members[id] != p.address {
			p.stop()
			delete(t.peers, id)
		}
	}
}

// Send queues messages for their receivers. It never blocks; messages for unknown
// receivers and those that find their queue full are dropped and counted.
func (t *Transport) Send(msgs []*wire.RaftMessage) {
	for _, m := range msgs {
		m.Address = t.opts.Address
		p := t.peer(m.To)
		if p == nil {
			t.metrics.dropped.WithLabelValues("unknown-peer").Inc()
			continue
		}
		if m.Type == wire.MsgType_MSG_SNAP {
			p.sendSnapshot(m)
			continue
		}
		p.queue.push(m)
	}
}

// peer returns the sender for a replica, started on first use.
func (t *Transport) peer(id uint64) *peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil
	}
	if p := t.peers[id]; p != nil {
		return p
	}
	address := t.members[id]
	if address == "" {
		address = t.learnt[id]
	}
	if address == "" {
		return nil
	}
	p, err := newPeer(t, id, address)
	if err != nil {
		t.log.Error("Peer address is unusable.", "peer", id, "address", address, "error", err)
		return nil
	}
	t.peers[id] = p
	return p
}

// learn remembers where a sender outside the membership is reached: a joining replica
// knows no membership and must still answer its leader.
func (t *Transport) learn(m *wire.RaftMessage) {
	if m.Address == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.members[m.From]; ok {
		return
	}
	if len(t.learnt) >= maxLearnt {
		clear(t.learnt)
	}
	t.learnt[m.From] = m.Address
	if p := t.peers[m.From]; p != nil && p.address != m.Address {
		p.stop()
		delete(t.peers, m.From)
	}
}

const maxLearnt = 64

// receiver returns the handler for messages to replica id.
func (t *Transport) receiver(id uint64) func(*wire.RaftMessage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed || t.self != id {
		return nil
	}
	return t.handler
}

// Close ends all streams and waits for the senders.
func (t *Transport) Close() error {
	t.mu.Lock()
	t.closed = true
	for _, p := range t.peers {
		p.stop()
	}
	t.mu.Unlock()
	t.cancel()
	t.wg.Wait()
	return nil
}

// service is the gRPC side of a Transport.
type service struct {
	wire.UnimplementedRaftTransportServer
	t *Transport
}

// Send takes the messages of one peer.
func (s *service) Send(stream grpc.ClientStreamingServer[wire.RaftMessage, wire.RaftAck]) error {
	return s.t.receive(stream)
}

func (t *Transport) receive(stream grpc.ClientStreamingServer[wire.RaftMessage, wire.RaftAck]) error {
	var parts []byte
	for {
		m, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return stream.SendAndClose(&wire.RaftAck{})
		}
		if err != nil {
			return err
		}
		if m.Snapshot != nil {
			parts = append(parts, m.Snapshot.Data...)
			if len(parts) > maxSnapshotBytes {
				return status.Error(codes.ResourceExhausted, "snapshot is too large")
			}
			if m.More {
				continue
			}
			m.Snapshot.Data = parts
			parts = nil
		}
		handler := t.receiver(m.To)
		if handler == nil {
			return status.Error(codes.NotFound, "no such replica here")
		}
		t.metrics.received.Inc()
		t.learn(m)
		handler(m)
	}
}
