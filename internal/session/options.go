// Package session is an entry's client of the scheduler of its cell. Slot requests,
// grants and releases go over one stream, which is reopened when it breaks and when the
// scheduler changes.
package session

import (
	"log/slog"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
)

// Defaults of Options.
const (
	DefaultHeartbeatInterval = time.Second
	DefaultSilenceTimeout    = 5 * time.Second
	DefaultMinBackoff        = 50 * time.Millisecond
	DefaultMaxBackoff        = 2 * time.Second
	DefaultHandshakeTimeout  = 2 * time.Second
	DefaultQueueSize         = 1 << 16
)

// Target names the holder of the cell's scheduler lease.
type Target struct {
	Address string // gRPC address; empty if nobody holds the lease
	Fence   uint64 // fencing number of the lease
}

// Options configure a Client. Fields that are zero take the defaults.
type Options struct {
	EntryID     string // node id and incarnation, unique to this process
	Incarnation uint64 // increases with every start of the entry
	// SpecIndex returns the index of the configuration in force at this entry. It may be
	// nil.
	SpecIndex func() uint64
	// Dial creates a connection. The default uses no transport security.
	Dial func(address string) (*grpc.ClientConn, error)

	HeartbeatInterval time.Duration // between two heartbeats
	SilenceTimeout    time.Duration // without a message, after which the stream is closed
	HandshakeTimeout  time.Duration // of the handshake: from the hello to the scheduler's welcome
	MinBackoff        time.Duration // between attempts to connect
	MaxBackoff        time.Duration
	QueueSize         int // limit on queued messages

	Now        func() time.Time // must return a monotonic reading
	Registerer prometheus.Registerer
	Logger     *slog.Logger
}

func (o Options) withDefaults() (Options, error) {
	if o.EntryID == "" {
		return o, errors.New("session: the entry's id is required")
	}
	for v, def := range map[*time.Duration]time.Duration{
		&o.HeartbeatInterval: DefaultHeartbeatInterval, &o.SilenceTimeout: DefaultSilenceTimeout, &o.HandshakeTimeout: DefaultHandshakeTimeout,
		&o.MinBackoff: DefaultMinBackoff, &o.MaxBackoff: DefaultMaxBackoff,
	} {
		if *v <= 0 {
			*v = def
		}
	}
	if o.QueueSize <= 0 {
		o.QueueSize = DefaultQueueSize
	}
	if o.SpecIndex == nil {
		o.SpecIndex = func() uint64 { return 0 }
	}
	if o.Dial == nil {
		o.Dial = dial
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Registerer == nil {
		o.Registerer = prometheus.NewRegistry()
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	return o, nil
}

func dial(address string) (*grpc.ClientConn, error) {
	conn, err := grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	return conn, errors.Wrapf(err, "dialling %s", address)
}
