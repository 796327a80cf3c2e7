package e2e

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"gentiankeel/internal/netsec"
	specpkg "gentiankeel/internal/spec"
	"gentiankeel/internal/standin"
	"gentiankeel/internal/wire"
)

// addControl starts a control VM with an empty disk that waits to be added.
func (c *cluster) addControl(id string, zone int) *node {
	c.t.Helper()
	ports := freePorts(c.t, 3)
	n := &node{id: id, address: ports[0], operator: ports[1], metrics: ports[2]}
	c.control = append(c.control, n)
	n.config = c.write(id+".toml", c.controlSettings(n, zone, false))
	c.startNode(n)
	return n
}

func (c *cluster) follower() *node {
	c.t.Helper()
	leader := c.leader()
	for _, n := range c.control {
		if n != leader && n.cmd != nil {
			return n
		}
	}
	c.t.Fatal("no follower runs")
	return nil
}

func TestProcesses_LostDiskIsReplacedThenAnotherVMIsLost(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1)
	c.apply(1, 1)
	lost := c.follower()
	c.kill(lost)
	is.NoErr(os.RemoveAll(c.path(lost.id)))
	c.apply(2, 1) // acknowledged by two of three
	fresh := c.addControl("c4", 0)
	c.eventually("the replacement", func() error {
		code, out := c.tool("replace", lost.id, fresh.id, fresh.address, "tay-a")
		if code != 0 || !strings.Contains(out, "repaired") {
			return fmt.Errorf("exit %d: %s", code, out)
		}
		return nil
	})
	c.kill(c.leader()) // right after "repaired"
	code, out := c.tool("history")
	is.Equal(code, 0)
	is.True(strings.Contains(out, "accepted   version 2 ")) // nothing acknowledged is lost
	c.apply(3, 1)
	c.inForce(3)
	c.served(c.entries[0], "writer")
}

func TestProcesses_VMWithAnEmptyDiskDoesNotVoteUnderItsOldName(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1)
	c.apply(1, 1)
	lost := c.follower()
	c.kill(lost)
	is.NoErr(os.RemoveAll(c.path(lost.id)))
	c.startNode(lost) // still set to bootstrap
	leader := c.leader()
	c.kill(leader)
	// Two of three run, but one of them lost its disk: nothing may be decided.
	file := c.write("spec-2.toml", fmt.Sprintf(spec, 2, 1))
	code, out := c.tool("--timeout", "8s", "apply", file)
	is.Equal(code, 3) // no answer, not an acceptance
	is.True(!strings.Contains(out, "accepted"))
	c.startNode(leader)
	c.apply(2, 1)
	code, out = c.tool("history")
	is.Equal(code, 0)
	is.True(strings.Contains(out, "accepted   version 1 "))
}

func TestProcesses_BodyThatEndsUpstreamsTakesAtMostTwo(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, 0)
	var died sync.Map // ids of the upstreams that the body ended
	for i := range 5 {
		var s *standin.Server
		s = c.addUpstream(standin.Options{
			ID: fmt.Sprintf("runner-%02d", i), MemoryMiB: 16000, Slots: 4, ChecksFencing: true,
			Zone: fmt.Sprintf("tay-%c", 'a'+i%3), CrashMarker: "boom",
			Exit: func() {
				died.Store(s.ID(), true)
				s.Die()
			},
		})
	}
	c.apply(1, 4)
	c.inForce(1)
	c.served(c.entries[0], "writer")
	body := `{"model":"writer","prompt":"boom","max_tokens":5}`
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() { _, _ = c.post(c.entries[i%2], "/v1/completions", body, nil) })
	}
	wg.Wait()
	c.eventually("the body in quarantine at both entries", func() error {
		for _, e := range c.entries {
			resp, err := c.post(e, "/v1/completions", body, nil)
			if err != nil {
				return err
			}
			if resp.status != http.StatusUnprocessableEntity || !strings.Contains(resp.body, `"ran":"no"`) {
				return fmt.Errorf("status %d: %s", resp.status, resp.body)
			}
		}
		return nil
	})
	lost := 0
	died.Range(func(any, any) bool { lost++; return true })
	is.True(lost <= 2)
	c.served(c.entries[1], "writer") // others are not touched
}

func TestProcesses_LostAnswerOfABookingIsNeverSentAgain(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, 1)
	c.apply(1, 1)
	c.inForce(1)
	c.served(c.entries[0], "writer")
	for _, s := range c.fleet {
		s.LoseAnswers(1)
	}
	key := map[string]string{"Idempotency-Key": "job-9", "X-Deadline-Ms": "5000"}
	for i := range 6 {
		resp, err := c.post(c.entries[i%2], "/v1/services/print-orders/jobs", `{"n":9}`, key)
		is.NoErr(err)
		is.True(resp.status != http.StatusOK)              // the one run's answer is lost
		is.True(strings.Contains(resp.body, `"ran":"may`)) // never a false "not run"
	}
	is.Equal(c.runsOf("job-9"), 1)
}

// applyDirect applies a file without starting the tool.
func (c *cluster) applyDirect(version, replicas int) {
	c.t.Helper()
	file := fmt.Appendf(nil, spec, version, replicas)
	req := &wire.ApplyRequest{File: file, Version: uint64(version), Digest: specpkg.Digest(file), Who: "test"}
	c.eventually("the file accepted", func() error {
		rec, err := c.leaderClient().Apply(c.t.Context(), req)
		if err != nil {
			c.operator = nil // the leader may have changed
			return err
		}
		if rec.Outcome != wire.ApplyOutcome_APPLY_ACCEPTED && rec.Outcome != wire.ApplyOutcome_APPLY_SAME {
			c.t.Fatalf("apply %d: %v", version, rec)
		}
		return nil
	})
}

// leaderClient returns a connection to the leader's operators' listener.
func (c *cluster) leaderClient() wire.OperatorClient {
	c.t.Helper()
	if c.operator == nil {
		c.operator = c.operatorAt(c.leader())
	}
	return c.operator
}

func (c *cluster) operatorAt(n *node) wire.OperatorClient {
	c.t.Helper()
	token, err := netsec.ReadToken(c.path("token"))
	if err != nil {
		c.t.Fatal(err)
	}
	conn, err := grpc.NewClient(n.operator, netsec.WithToken(token),
		grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { conn.Close() })
	return wire.NewOperatorClient(conn)
}

func TestProcesses_EntryThatMissedHundredsOfChangesCatchesUp(t *testing.T) {
	c := newCluster(t, 2, 1)
	c.apply(1, 1)
	c.inForce(1)
	c.kill(c.entries[1])
	const last = 400
	for v := 2; v <= last; v++ {
		c.applyDirect(v, 1+v%2)
	}
	c.startNode(c.entries[1])
	c.inForce(last)
	c.served(c.entries[1], "writer")
	c.assertUpstreamsUnharmed()
}

func TestProcesses_LeavingUpstreamEndsItsWorkAndGetsNoMore(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 3)
	c.apply(1, 2)
	c.inForce(1)
	c.served(c.entries[0], "writer")
	var wg sync.WaitGroup
	statuses := make([]int, 12)
	for i := range statuses {
		wg.Go(func() {
			resp, err := c.post(c.entries[0], "/v1/completions", completion("writer", 200), nil)
			if err == nil {
				statuses[i] = resp.status
			}
		})
	}
	leaving := c.fleet[0]
	is.NoErr(leaving.Leave(t.Context()))
	wg.Wait()
	for _, status := range statuses {
		is.Equal(status, http.StatusOK) // no request in progress is cut off
	}
	c.served(c.entries[0], "writer")
	c.assertUpstreamsUnharmed()
}

func TestProcesses_BodyThatEndedOneUpstreamRunsAgain(t *testing.T) {
	c := newCluster(t, 1, 0)
	var died sync.Map
	for i := range 2 {
		var s *standin.Server
		o := standin.Options{
			ID: fmt.Sprintf("runner-%02d", i), MemoryMiB: 16000, Slots: 1, ChecksFencing: true, Zone: "tay-a",
			Exit: func() {
				died.Store(s.ID(), true)
				s.Die()
			},
		}
		if i == 0 {
			o.CrashMarker = "once"
		}
		s = c.addUpstream(o)
	}
	c.apply(1, 2)
	c.inForce(1)
	body := `{"model":"writer","prompt":"once","max_tokens":500}`
	// Two at once with one slot a runner: one of them runs on runner-00.
	c.eventually("the death of the one upstream", func() error {
		var wg sync.WaitGroup
		for range 2 {
			wg.Go(func() {
				_, _ = c.post(c.entries[0], "/v1/completions", body, map[string]string{"X-Deadline-Ms": "5000"})
			})
		}
		wg.Wait()
		if _, ok := died.Load("runner-00"); !ok {
			return fmt.Errorf("runner-00 lives")
		}
		return nil
	})
	c.eventually("the death on record", func() error {
		_, out := c.tool("status")
		if !strings.Contains(out, "suspect ") {
			return fmt.Errorf("no suspect: %s", out)
		}
		return nil
	})
	c.eventually("the body served by another upstream", func() error {
		resp, err := c.post(c.entries[0], "/v1/completions", body, map[string]string{"X-Deadline-Ms": "10000"})
		if err != nil {
			return err
		}
		if resp.status != http.StatusOK {
			return fmt.Errorf("status %d: %s", resp.status, resp.body)
		}
		return nil
	})
}

func TestProcesses_FrozenLeaderServesNothingOldAfterItWakes(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, 1)
	c.apply(1, 1)
	c.inForce(1)
	frozen := c.leader()
	direct := c.operatorAt(frozen)
	c.signal(frozen, syscall.SIGSTOP)
	for v := 2; v <= 5; v++ {
		c.applyDirect(v, 1)
	}
	c.signal(frozen, syscall.SIGCONT)
	for range 50 {
		st, err := direct.Status(t.Context(), &wire.StatusRequest{})
		if err == nil && st.Applied.GetVersion() < 5 {
			t.Fatalf("the woken leader serves version %d", st.Applied.GetVersion())
		}
	}
	c.inForce(5) // on every entry, also on those that watched the frozen VM
	c.served(c.entries[0], "writer")
	c.eventually("the woken VM in step", func() error {
		st, err := c.operatorAt(c.leader()).Status(t.Context(), &wire.StatusRequest{})
		if err != nil {
			return err
		}
		if !st.Repaired {
			return fmt.Errorf("not repaired")
		}
		return nil
	})
	is.True(c.leader() != nil)
}
