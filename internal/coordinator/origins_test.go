package coordinator

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"gentiankeel/internal/wire"
)

// Guards against a coordinator that was suspended and tells an entry of no stream, although another one has acted meanwhile.
func TestOrigins_UnknownToAnEarlierCoordinator(t *testing.T) {
	is := is.New(t)
	nodes := startGroup(t)
	awaitActing(t, nodes)
	n := follower(nodes)
	earlier := newTerm(n.server, n.control.Status().Term)
	defer earlier.stop()
	es := &entryStream{entry: "e1", updates: make(chan *wire.FleetUpdate, 10), cancel: func() {}}
	earlier.entries["e1"] = es
	earlier.feed.attach("e1")
	earlier.reportOrigins(es, &wire.EntryReport{Begun: []*wire.StreamOrigin{{Request: 1, Software: "v1"}}, OriginsAsked: []uint64{1, 2}})
	var origins []*wire.StreamOrigin
	ctx, cancel := context.WithTimeout(t.Context(), 2*callTimeout)
	defer cancel()
	for ctx.Err() == nil {
		select {
		case in := <-earlier.inbox:
			earlier.handle(in)
		case up := <-es.updates:
			origins = append(origins, up.Origins...)
		case <-time.After(10 * time.Millisecond):
		}
	}
	is.Equal(len(origins), 1) // what is known holds whoever says it
	is.Equal(origins[0].Request, uint64(1))
	is.Equal(origins[0].Software, "v1")
}

// Guards against entries that wait in vain for the answer that a stream is not known.
func TestOrigins_UnknownToTheCoordinator(t *testing.T) {
	is := is.New(t)
	nodes := startGroup(t)
	s, _ := attachActing(t, nodes, &wire.EntryReport{Entry: "e1", OriginsAsked: []uint64{7}})
	up := nextUpdate(t, s, func(up *wire.FleetUpdate) bool { return len(up.Origins) > 0 })
	is.Equal(up.Origins[0].Request, uint64(7))
	is.True(up.Origins[0].Unknown)
}

// Guards against upstreams whose names the log refuses: their software could not be recorded.
func TestHeartbeat_NamesThatCannotBeRecorded(t *testing.T) {
	is := is.New(t)
	nodes := startGroup(t)
	for _, s := range []*wire.UpstreamState{{Software: "v1"}, {Service: strings.Repeat("s", 257)}, {Service: "s", Software: strings.Repeat("v", 257)}} {
		s.Id, s.BornUnixMs, s.Address = "u1", 1, "127.0.0.1:1"
		eventually(t, "the heartbeat is refused as invalid", func() bool {
			_, err := awaitActing(t, nodes).server.Heartbeat(t.Context(), s)
			is.True(err != nil)
			return status.Code(err) == codes.InvalidArgument
		})
	}
}
