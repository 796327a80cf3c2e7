// Package coordinator runs on every control VM. It serves the heartbeats of upstreams and
// the operator's calls, keeps the control group at its full membership and, while its
// replica leads, runs the fleet core, sends its orders to runners and publishes changes of
// the fleet to entries.
package coordinator

import (
	"context"
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"gentiankeel/internal/control"
	"gentiankeel/internal/ctlclient"
	"gentiankeel/internal/fleet"
	"gentiankeel/internal/group"
	"gentiankeel/internal/routing"
)

// Runners calls runners over their own protocol.
type Runners interface {
	// SendOrder sends an order with a fencing token. The result is valid also with an error:
	// it states whether the order may have been carried out.
	SendOrder(ctx context.Context, r Runner, token uint64, o fleet.Order) (fleet.OrderResult, fleet.Answer, error)
	// ReadReport reads the state that a runner reports of itself.
	ReadReport(ctx context.Context, r Runner) (fleet.Report, fleet.Answer, error)
}

// Runner identifies one incarnation of a runner.
type Runner struct {
	ID      string
	Address string
}

// Options configure a Server.
type Options struct {
	NodeID        string // id of this node, its name as a member of the group
	Address       string // gRPC address of this node
	Zone          string // availability zone of this node
	Control       *control.Server
	Group         *ctlclient.Client
	Membership    group.Options // voters and timeouts of the control group
	FleetSettings fleet.Settings
	// TurnInterval is the least time between two orders of a VM that has another VM's order
	// between them. It is 0 where runners check fencing tokens.
	TurnInterval time.Duration
	Runners      Runners
	// Decode parses and validates the operator's routing document.
	Decode     func(document []byte) (*routing.Config, error)
	Logger     *slog.Logger
	Registerer prometheus.Registerer
}

const (
	// pollInterval is the interval between checks of the replica's status, a fraction of
	// the election timeout.
	pollInterval = 100 * time.Millisecond
	// tickInterval is the interval between ticks of the fleet core. It bounds the delay
	// before a loaded adapter is published.
	tickInterval = 25 * time.Millisecond
	// keepAliveInterval is the longest pause between messages on a stream. Entries close a
	// stream on which several such intervals pass without a message.
	keepAliveInterval = 300 * time.Millisecond
	// entrySilence is the time without a report after which an entry counts as out of contact, which
	// matters for quotas. It is three intervals of the reports that an entry sends at least.
	entrySilence = 1200 * time.Millisecond
	// maxTickDelay is the time between two ticks that shows that this process was held up.
	maxTickDelay = 200 * time.Millisecond
	// joinInterval is the interval between join requests of a replica that is no voter, and
	// between refreshes of the members while the leader is unknown.
	joinInterval = 300 * time.Millisecond
	// joinTimeout bounds one join request.
	joinTimeout = time.Second
	// confirmTimeout bounds the question for the identity at the address of a join request.
	confirmTimeout = 700 * time.Millisecond
	// callTimeout bounds a call to a runner, which takes a few milliseconds if the runner
	// is healthy, and the barrier at the start of a term.
	callTimeout = 800 * time.Millisecond
	// membershipTimeout bounds one membership change.
	membershipTimeout = 2 * time.Second
	// followUpDelay is the time between the commit of a membership change and the next one. The
	// learners acknowledge the commit meanwhile.
	followUpDelay = 10 * time.Millisecond
	// fullGroupTimeout is how long the first routing configuration waits for the group to
	// reach its full membership.
	fullGroupTimeout = 500 * time.Millisecond
	// inboxSize bounds the inputs queued for a term's loop, urgent ones and others.
	inboxSize = 1024
	// maxBacklog is the number of queued inputs beyond which a term leaves out work that can wait.
	maxBacklog = 256
	// maxOrigins bounds the origins of one generation that the coordinator remembers: two for each stream, and
	// those of more than ten seconds at the largest load to come.
	maxOrigins = 1 << 17
	// streamQueueSize bounds the updates queued for one entry. The stream of a slower entry
	// is closed, and the entry reattaches with a snapshot.
	streamQueueSize = 256
)
