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
	DefaultHeartbeat  = time.Second
	DefaultSilence    = 5 * time.Second
	DefaultMinBackoff = 50 * time.Millisecond
	DefaultMaxBackoff = 2 * time.Second
	DefaultWelcome    = 2 * time.Second
	DefaultQueue      = 1 << 16
)

// Target names the holder of the cell's scheduler lease.
type Target struct {
	Address string // gRPC address; empty if nobody holds the lease
	Fence   uint64 // fencing number of the lease
}

// Options configure a Client. Fields that are zero take the defaults.
type Options struct {
	Entry       string // node id
	Incarnation uint64 // increases with every start of the entry
	// SpecIndex returns the index of the configuration in force at this entry. It may be
	// nil.
	SpecIndex func() uint64
	// Dial creates a connection. The default uses no transport security.
	Dial func(address string) (*grpc.ClientConn, error)

	Heartbeat  time.Duration // between two heartbeats
	Silence    time.Duration // without a message, after which the stream is closed
	Welcome    time.Duration // longest wait for the welcome after a hello
	MinBackoff time.Duration // between attempts to connect
	MaxBackoff time.Duration
	Queue      int // most queued messages

	Now        func() time.Time // must return a monotonic reading
	Registerer prometheus.Registerer
	Logger     *slog.Logger
}

func (o Options) withDefaults() (Options, error) {
	if o.Entry == "" {
		return o, errors.New("session: the entry's id is required")
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
