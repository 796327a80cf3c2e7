package rafttransport

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
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
)

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
	conn      *grpc.ClientConn
	client    wire.RaftTransportClient
	queue     *queue
	snapshots chan *wire.RaftMessage
	ctx       context.Context
	stop      context.CancelFunc
}

func newPeer(t *Transport, id uint64, address string) (*peer, error) {
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
	}, t.opts.Dial...)
	conn, err := grpc.NewClient("passthrough:///"+address, opts...)
	if err != nil {
		return nil, err
	}
	p := &peer{
		t: t, id: id, address: address, conn: conn,
		client:    wire.NewRaftTransportClient(conn),
		queue:     newQueue(t.opts.QueueLen, t.metrics.dropped.WithLabelValues("queue-full")),
		snapshots: make(chan *wire.RaftMessage, snapshotQueueLen),
	}
	p.ctx, p.stop = context.WithCancel(t.ctx)
	t.wg.Add(2)
	go p.runStream()
	go p.runSnapshots()
	return p, nil
}

// runStream sends the queued messages over a stream and reopens it when it fails.
func (p *peer) runStream() {
	defer p.t.wg.Done()
	defer func() { _ = p.conn.Close() }()
	for p.ctx.Err() == nil {
		err := p.sendStream()
		if p.ctx.Err() != nil {
			return
		}
		p.t.log.Debug("Stream to peer ended.", "peer", p.id, "address", p.address, "error", err)
		p.t.metrics.reconnects.Inc()
		// The receiver would reject the old messages; Raft resends what is missing.
		p.queue.clear()
		if pause.For(p.ctx, minBackoff) != nil {
			return
		}
	}
}

// sendStream opens a stream and sends queued messages until it fails or the peer stops.
func (p *peer) sendStream() error {
	ctx, cancel := context.WithCancel(p.ctx)
	defer cancel()
	// WaitForReady makes the call wait for the connection, which has its own backoff.
	stream, err := p.client.Send(ctx, grpc.WaitForReady(true))
	if err != nil {
		return err
	}
	for {
		m, ok := p.queue.pop(stream.Context())
		if !ok {
			return stream.Context().Err()
		}
		if err := stream.Send(m); err != nil {
			return err
		}
		p.t.metrics.sent.Inc()
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
	stream, err := p.client.Send(ctx)
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
