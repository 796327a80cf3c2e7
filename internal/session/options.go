// Package session is an entry's way to the scheduler of its cell: one stream that
// carries asks, grants and releases, opened again whenever the scheduler changes.
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
	DefaultHeartbeat  = time.Second
	DefaultSilence    = 5 * time.Second
	DefaultMinBackoff = 50 * time.Millisecond
	DefaultMaxBackoff = 2 * time.Second
	DefaultWelcome    = 2 * time.Second
	DefaultQueue      = 1 << 16
)

// Target names the holder of the cell's scheduler lease.
type Target struct {
	Address string // gRPC address; empty: nobody holds the lease
	Fence   uint64 // fencing number of the lease
}

// Options configure a Client; zero fields take the defaults.
type Options struct {
	Entry       string // node id
	Incarnation uint64 // grows with every start of the entry
	// SpecIndex returns the index of the configuration in force here; may be nil.
	SpecIndex func() uint64
	// Dial opens a connection; the default is without transport security.
	Dial func(address string) (*grpc.ClientConn, error)

	Heartbeat  time.Duration // between heartbeats
	Silence    time.Duration // without a message, after which a stream is given up
	Welcome    time.Duration // longest wait for the answer to a hello
	MinBackoff time.Duration
	MaxBackoff time.Duration
	Queue      int // messages that wait for a stream

	Now        func() time.Time // must carry a monotonic reading
	Registerer prometheus.Registerer
	Logger     *slog.Logger
}

func (o Options) withDefaults() (Options, error) {
	if o.Entry == "" {
		return o, errors.New("session: Entry is needed")
	}
	for v, def := range map[*time.Duration]time.Duration{
		&o.Heartbeat: DefaultHeartbeat, &o.Silence: DefaultSilence, &o.Welcome: DefaultWelcome,
		&o.MinBackoff: DefaultMinBackoff, &o.MaxBackoff: DefaultMaxBackoff,
	} {
		if *v <= 0 {
			*v = def
		}
	}
	if o.Queue <= 0 {
		o.Queue = DefaultQueue
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
