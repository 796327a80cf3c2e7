// Package rafttransport carries Raft messages between replicas over gRPC. There is one
// stream to each peer and a separate stream for each snapshot.
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
	maxMessageBytes    = 16 << 20
	maxSnapshotBytes   = 512 << 20
	snapshotChunkBytes = 1 << 20
)

// Options configures a Transport.
type Options struct {
	Address    string                // address at which peers reach this replica
	Dial       []grpc.DialOption     // such as credentials; if empty, connections are not encrypted
	Logger     *slog.Logger          // nil: nothing is logged
	Registerer prometheus.Registerer // nil: the metrics are not registered
	QueueLen   int                   // maximum number of queued messages to one peer; 0: 512
}

const defaultQueueLen = 512

// Transport sends and receives Raft messages. Its methods are safe for concurrent use.
type Transport struct {
	opts    Options
	log     *slog.Logger
	metrics *metrics
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu          sync.Mutex
	handler     func(*wire.RaftMessage)
	self        uint64
	peers       map[uint64]*peer
	members     map[uint64]string // addresses of the members, by id
	senderAddrs map[uint64]string // addresses of senders outside the membership, by id
	closed      bool
}

// New returns a Transport. It rejects incoming messages until Start is called.
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
		opts:        opts,
		log:         opts.Logger.With("part", "raft-transport"),
		metrics:     newMetrics(opts.Registerer),
		ctx:         ctx,
		cancel:      cancel,
		peers:       map[uint64]*peer{},
		senderAddrs: map[uint64]string{},
	}
}

// Register registers the transport's service on a gRPC server, which must have been created
// with ServerOptions.
func (t *Transport) Register(s grpc.ServiceRegistrar) {
	wire.RegisterRaftTransportServer(s, &service{t: t})
}

// ServerOptions returns the options that a gRPC server with this service needs: its maximum
// message size and keepalive policy.
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

// Start sets the handler for messages to replica self. The handler is called concurrently
// and may block, which slows down the senders.
func (t *Transport) Start(self uint64, handler func(*wire.RaftMessage)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self = self
	t.handler = handler
}

// SetPeers sets the members of the group. The streams to replicas that are no longer
// members, or whose address has changed, are closed.
func (t *Transport) SetPeers(members []*wire.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.members = make(map[uint64]string, len(members))
	for _, m := range members {
		t.members[m.Id] = m.Address
	}
	clear(t.senderAddrs)
	for id, p := range t.peers {
		if t.members[id] != p.address {
			p.stop()
			delete(t.peers, id)
		}
	}
}

// Send sets the sender's address in the messages and queues them to their peers. It never
// blocks. Dropped and counted are messages to unknown peers, one queued message for each
// that is added to a full queue, and a snapshot while another one is queued.
func (t *Transport) Send(msgs []*wire.RaftMessage) {
	for _, m := range msgs {
		m.Address = t.opts.Address
		p := t.peer(m.To)
		if p == nil {
			t.metrics.dropped.WithLabelValues("unknown-peer").Inc()
			continue
		}
		if m.Type == wire.MsgType_MSG_SNAP {
			p.enqueueSnapshot(m)
			continue
		}
		p.queue.push(m)
	}
}

// peer returns the peer for a replica, which is started on first use; nil if the replica's
// address is unknown or invalid, or the transport is closed.
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
		address = t.senderAddrs[id]
	}
	if address == "" {
		return nil
	}
	p, err := newPeer(t, id, address)
	if err != nil {
		t.log.Error("Peer address is invalid.", "peer", id, "address", address, "error", err)
		return nil
	}
	t.peers[id] = p
	return p
}

// storeSenderAddr stores the address of a sender outside the membership. A joining replica
// has no membership yet and must still answer the leader.
func (t *Transport) storeSenderAddr(m *wire.RaftMessage) {
	if m.Address == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.members[m.From]; ok {
		return
	}
	if len(t.senderAddrs) >= maxSenderAddrs {
		clear(t.senderAddrs)
	}
	t.senderAddrs[m.From] = m.Address
	if p := t.peers[m.From]; p != nil && p.address != m.Address {
		p.stop()
		delete(t.peers, m.From)
	}
}

// maxSenderAddrs limits the number of stored addresses of senders outside the membership.
const maxSenderAddrs = 64

// handlerFor returns the handler for messages to replica id; nil if that replica does not
// run here.
func (t *Transport) handlerFor(id uint64) func(*wire.RaftMessage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed || t.self != id {
		return nil
	}
	return t.handler
}

// Close closes all streams and waits until the goroutines of the peers have stopped.
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

// service implements the gRPC service of a Transport.
type service struct {
	wire.UnimplementedRaftTransportServer
	t *Transport
}

// Send receives the messages of one stream from a peer.
func (s *service) Send(stream grpc.ClientStreamingServer[wire.RaftMessage, wire.RaftAck]) error {
	return s.t.receive(stream)
}

// receive passes the messages of a stream to the handler and reassembles snapshots from
// their chunks.
func (t *Transport) receive(stream grpc.ClientStreamingServer[wire.RaftMessage, wire.RaftAck]) error {
	var snapshotData []byte
	for {
		m, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return stream.SendAndClose(&wire.RaftAck{})
		}
		if err != nil {
			return err
		}
		if m.Snapshot != nil {
			snapshotData = append(snapshotData, m.Snapshot.Data...)
			if len(snapshotData) > maxSnapshotBytes {
				return status.Error(codes.ResourceExhausted, "snapshot is too large")
			}
			if m.More {
				continue
			}
			m.Snapshot.Data = snapshotData
			snapshotData = nil
		}
		handler := t.handlerFor(m.To)
		if handler == nil {
			return status.Error(codes.NotFound, "no such replica here")
		}
		t.metrics.received.Inc()
		t.storeSenderAddr(m)
		handler(m)
	}
}
