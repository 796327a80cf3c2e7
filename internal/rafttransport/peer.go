package rafttransport

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/keepalive"

	"gentiankeel/internal/pause"
	"gentiankeel/internal/wire"
)

const (
	minBackoff       = 20 * time.Millisecond
	maxBackoff       = time.Second
	backoffFactor    = 1.6
	backoffJitter    = 0.2
	connectTimeout   = 2 * time.Second
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 3 * time.Second
	minKeepaliveTime = 5 * time.Second
	snapshotTimeout  = 60 * time.Second
	snapshotQueueLen = 1
	// probeInterval is the pause between two probes of a connection, which is replaced if a
	// probe is not answered within probeTimeout. The sum leaves the group time to elect a
	// leader within its callers' deadlines.
	probeInterval = 300 * time.Millisecond
	probeTimeout  = 700 * time.Millisecond
)

var errConnectionSilent = errors.New("no answer to a probe of the connection")

var keepaliveEnforcement = keepalive.EnforcementPolicy{
	MinTime:             minKeepaliveTime,
	PermitWithoutStream: true,
}

// peer sends messages to one replica. It has one goroutine for the message stream and one
// for snapshots.
type peer struct {
	t         *Transport
	id        uint64
	address   string
	queue     *queue
	snapshots chan *wire.RaftMessage
	ctx       context.Context
	stop      context.CancelFunc

	sendsSnapshot atomic.Bool

	mu   sync.Mutex
	conn *grpc.ClientConn // replaced by runStream if it falls silent
}

func newPeer(t *Transport, id uint64, address string) (*peer, error) {
	p := &peer{
		t: t, id: id, address: address,
		queue:     newQueue(t.opts.QueueLen, t.metrics.dropped.WithLabelValues("queue-full")),
		snapshots: make(chan *wire.RaftMessage, snapshotQueueLen),
	}
	if err := p.dial(); err != nil {
		return nil, err
	}
	p.ctx, p.stop = context.WithCancel(t.ctx)
	t.wg.Add(2)
	go p.runStream()
	go p.runSnapshots()
	return p, nil
}

// dial closes the peer's connection, if any, and sets a new one, which is opened on use.
func (p *peer) dial() error {
	opts := append([]grpc.DialOption{
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay: minBackoff, Multiplier: backoffFactor,
				Jitter: backoffJitter, MaxDelay: maxBackoff,
			},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time: keepaliveTime, Timeout: keepaliveTimeout, PermitWithoutStream: true,
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallSendMsgSize(maxMessageBytes)),
	}, p.t.opts.Dial...)
	conn, err := grpc.NewClient("passthrough:///"+p.address, opts...)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		_ = p.conn.Close()
	}
	p.conn = conn
	return nil
}

func (p *peer) connection() *grpc.ClientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conn
}

// runStream sends the queued messages over a stream and reopens it when it fails.
func (p *peer) runStream() {
	defer p.t.wg.Done()
	defer func() { _ = p.connection().Close() }()
	for p.ctx.Err() == nil {
		err := p.sendStream()
		if p.ctx.Err() != nil {
			return
		}
		p.t.log.Debug("Stream to peer ended.", "peer", p.id, "address", p.address, "error", err)
		p.t.metrics.reconnects.Inc()
		if errors.Is(err, errConnectionSilent) {
			p.t.log.Info("Connection to a peer gave no answer and is replaced.", "peer", p.id, "address", p.address)
			if err := p.dial(); err != nil {
				p.t.log.Error("Connection to a peer could not be replaced.", "peer", p.id, "address", p.address, "error", err)
			}
		}
		// The receiver would reject the old messages; Raft resends what is missing.
		p.queue.clear()
		if pause.For(p.ctx, minBackoff) != nil {
			return
		}
	}
}

// sendStream opens a stream and sends queued messages until it fails, the connection falls
// silent or the peer stops.
func (p *peer) sendStream() error {
	ctx, cancel := context.WithCancelCause(p.ctx)
	defer cancel(nil)
	conn := p.connection()
	// WaitForReady makes the call wait for the connection, which has its own backoff.
	stream, err := wire.NewRaftTransportClient(conn).Send(ctx, grpc.WaitForReady(true))
	if err != nil {
		return err
	}
	go p.probe(ctx, conn, cancel)
	for {
		m, ok := p.queue.pop(stream.Context())
		if !ok {
			return cmp.Or(context.Cause(ctx), stream.Context().Err())
		}
		if err := stream.Send(m); err != nil {
			return cmp.Or(context.Cause(ctx), err)
		}
		p.t.metrics.sent.Inc()
	}
}

// probe ends ctx with errConnectionSilent once the connection leaves a probe without an
// answer. Messages to a peer have no answers on their own stream, so they can't tell a
// connection that loses everything. A snapshot on its way may delay a probe for long, so there
// are none meanwhile.
func (p *peer) probe(ctx context.Context, conn *grpc.ClientConn, cancel context.CancelCauseFunc) {
	for pause.For(ctx, probeInterval) == nil {
		if conn.GetState() != connectivity.Ready || p.sendsSnapshot.Load() {
			continue
		}
		probeCtx, cancelProbe := context.WithTimeout(ctx, probeTimeout)
		stream, err := wire.NewRaftTransportClient(conn).Send(probeCtx)
		if err == nil {
			_, err = stream.CloseAndRecv()
		}
		timedOut := err != nil && probeCtx.Err() != nil && !p.sendsSnapshot.Load()
		cancelProbe()
		if timedOut {
			cancel(errConnectionSilent)
			return
		}
	}
}

// enqueueSnapshot queues a snapshot for sending. If another one is queued already, it is
// dropped: Raft sends a snapshot again when the peer still needs it.
func (p *peer) enqueueSnapshot(m *wire.RaftMessage) {
	select {
	case p.snapshots <- m:
	default:
		p.t.metrics.dropped.WithLabelValues("snapshot-busy").Inc()
	}
}

func (p *peer) runSnapshots() {
	defer p.t.wg.Done()
	for {
		select {
		case <-p.ctx.Done():
			return
		case m := <-p.snapshots:
			if err := p.streamSnapshot(m); err != nil {
				p.t.log.Warn("Snapshot could not be sent.", "peer", p.id, "error", err)
			}
		}
	}
}

// streamSnapshot sends a snapshot over a stream of its own, in chunks that are below the
// size limit of a message.
func (p *peer) streamSnapshot(m *wire.RaftMessage) error {
	ctx, cancel := context.WithTimeout(p.ctx, snapshotTimeout)
	defer cancel()
	p.sendsSnapshot.Store(true)
	defer p.sendsSnapshot.Store(false)
	stream, err := wire.NewRaftTransportClient(p.connection()).Send(ctx)
	if err != nil {
		return err
	}
	data := m.Snapshot.Data
	for {
		n := min(len(data), snapshotChunkBytes)
		chunk := &wire.RaftMessage{
			Type: m.Type, Cluster: m.Cluster, From: m.From, To: m.To, Term: m.Term,
			Commit: m.Commit, Boot: m.Boot, Nonce: m.Nonce, Address: m.Address,
			Snapshot: &wire.Snapshot{Meta: m.Snapshot.Meta, Data: data[:n]},
			More:     n < len(data),
		}
		if err := stream.Send(chunk); err != nil {
			return err
		}
		data = data[n:]
		if !chunk.More {
			break
		}
	}
	if _, err := stream.CloseAndRecv(); err != nil {
		return err
	}
	p.t.metrics.snapshots.Inc()
	return nil
}
