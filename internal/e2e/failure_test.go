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

// addControl starts a control VM with an empty disk, which waits to join the group.
func (c *cluster) addControl(id string, zone int) *node {
	c.t.Helper()
	addresses := freeAddresses(c.t, 3)
	n := &node{id: id, address: addresses[0], operatorAddress: addresses[1], metricsAddress: addresses[2]}
	c.control = append(c.control, n)
	n.config = c.writeFile(id+".toml", c.controlSettings(n, zone, false))
	c.startNode(n)
	return n
}

// follower returns a running control node that is not the leader.
func (c *cluster) follower() *node {
	c.t.Helper()
	leader := c.leader()
	for _, n := range c.control {
		if n != leader && n.cmd != nil {
			return n
		}
	}
	c.t.Fatal("no running follower")
	return nil
}

// Once a lost control VM has been replaced, the group tolerates the loss of another one.
func TestProcesses_SecondControlVMLostAfterReplacement(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1)
	c.apply(1, 1)
	lost := c.follower()
	c.kill(lost)
	is.NoErr(os.RemoveAll(c.path(lost.id)))
	c.apply(2, 1) // acknowledged by two of three control nodes
	replacement := c.addControl("c4", 0)
	c.eventually("the replacement", func() error {
		code, out := c.runTool("replace", lost.id, replacement.id, replacement.address, "tay-a")
		if code != 0 || !strings.Contains(out, "repaired") {
			return fmt.Errorf("exit %d: %s", code, out)
		}
		return nil
	})
	c.kill(c.leader()) // as soon as the group is reported as repaired
	code, out := c.runTool("history")
	is.Equal(code, 0)
	is.True(strings.Contains(out, "accepted   version 2 ")) // the acknowledged file is not lost
	c.apply(3, 1)
	c.waitEnforced(3)
	c.waitServed(c.entries[0], "writer")
}

// A control VM that lost its disk has forgotten its votes and its log. If it voted under
// its old ID, acknowledged entries could be lost.
func TestProcesses_ControlVMRestartedWithEmptyDisk(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1)
	c.apply(1, 1)
	emptied := c.follower()
	c.kill(emptied)
	is.NoErr(os.RemoveAll(c.path(emptied.id)))
	c.startNode(emptied) // its settings still allow bootstrap
	leader := c.leader()
	c.kill(leader)
	// Two of three run, but the vote of the one that lost its disk must not count: there
	// is no quorum.
	file := c.writeFile("spec-2.toml", fmt.Sprintf(specTemplate, 2, 1))
	code, out := c.runTool("--timeout", "8s", "apply", file)
	is.Equal(code, 3) // no answer
	is.True(!strings.Contains(out, "accepted"))
	c.startNode(leader)
	c.apply(2, 1)
	code, out = c.runTool("history")
	is.Equal(code, 0)
	is.True(strings.Contains(out, "accepted   version 1 "))
}

// A body that crashes every upstream it runs on is quarantined after at most two crashes.
func TestProcesses_BodyCrashesUpstreams(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, 0)
	var crashed sync.Map // IDs of the upstreams that the body crashed
	for i := range 5 {
		var s *standin.Server
		s = c.addUpstream(standin.Options{
			ID: fmt.Sprintf("runner-%02d", i), MemoryMiB: 16000, Slots: 4, ChecksFencing: true,
			Zone: fmt.Sprintf("tay-%c", 'a'+i%3), CrashMarker: "boom",
			Exit: func() {
				crashed.Store(s.ID(), true)
				s.Kill()
			},
		})
	}
	c.apply(1, 4)
	c.waitEnforced(1)
	c.waitServed(c.entries[0], "writer")
	body := `{"model":"writer","prompt":"boom","max_tokens":5}`
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() { _, _ = c.post(c.entries[i%2], "/v1/completions", body, nil) })
	}
	wg.Wait()
	c.eventually("quarantine of the body at both entries", func() error {
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
	crashes := 0
	crashed.Range(func(any, any) bool { crashes++; return true })
	is.True(crashes <= 2)
	c.waitServed(c.entries[1], "writer") // other requests are still served
}

// When the answer of a keyed call is lost, its outcome is unknown: resends through any
// entry must not run it again.
func TestProcesses_AnswerOfKeyedCallLost(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, 1)
	c.apply(1, 1)
	c.waitEnforced(1)
	c.waitServed(c.entries[0], "writer")
	for _, s := range c.upstreams {
		s.DropAnswers(1)
	}
	key := map[string]string{"Idempotency-Key": "job-9", "X-Deadline-Ms": "5000"}
	for i := range 6 {
		resp, err := c.post(c.entries[i%2], "/v1/services/print-orders/jobs", `{"n":9}`, key)
		is.NoErr(err)
		is.True(resp.status != http.StatusOK)              // the answer of the only run is lost
		is.True(strings.Contains(resp.body, `"ran":"may`)) // "maybe", as it may have run
	}
	is.Equal(c.runCount("job-9"), 1)
}

// applyDirect applies a file with a gRPC call, which is faster than starting the tool.
func (c *cluster) applyDirect(version, replicas int) {
	c.t.Helper()
	file := fmt.Appendf(nil, specTemplate, version, replicas)
	req := &wire.ApplyRequest{File: file, Version: uint64(version), Digest: specpkg.Digest(file), Who: "test"}
	c.eventually("acceptance of the file", func() error {
		rec, err := c.leaderOperatorClient().Apply(c.t.Context(), req)
		if err != nil {
			c.leaderClient = nil // the leader may have changed
			return err
		}
		if rec.Outcome != wire.ApplyOutcome_APPLY_ACCEPTED && rec.Outcome != wire.ApplyOutcome_APPLY_SAME {
			c.t.Fatalf("apply %d: %v", version, rec)
		}
		return nil
	})
}

// leaderOperatorClient returns a client of the leader's operator API.
func (c *cluster) leaderOperatorClient() wire.OperatorClient {
	c.t.Helper()
	if c.leaderClient == nil {
		c.leaderClient = c.operatorClient(c.leader())
	}
	return c.leaderClient
}

func (c *cluster) operatorClient(n *node) wire.OperatorClient {
	c.t.Helper()
	token, err := netsec.ReadToken(c.path("token"))
	if err != nil {
		c.t.Fatal(err)
	}
	conn, err := grpc.NewClient(n.operatorAddress, netsec.WithToken(token),
		grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { conn.Close() })
	return wire.NewOperatorClient(conn)
}

// A restarted entry catches up with the applied files that it missed.
func TestProcesses_EntryDownDuringHundredsOfApplies(t *testing.T) {
	c := newCluster(t, 2, 1)
	c.apply(1, 1)
	c.waitEnforced(1)
	c.kill(c.entries[1])
	const last = 400
	for v := 2; v <= last; v++ {
		c.applyDirect(v, 1+v%2)
	}
	c.startNode(c.entries[1])
	c.waitEnforced(last)
	c.waitServed(c.entries[1], "writer")
	c.assertNoProtocolViolations()
}

// An upstream that leaves completes its running requests; new ones go to the others.
func TestProcesses_UpstreamLeavesUnderLoad(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 3)
	c.apply(1, 2)
	c.waitEnforced(1)
	c.waitServed(c.entries[0], "writer")
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
	leaving := c.upstreams[0]
	is.NoErr(leaving.Leave(t.Context()))
	wg.Wait()
	for _, status := range statuses {
		is.Equal(status, http.StatusOK) // requests in progress complete
	}
	c.waitServed(c.entries[0], "writer")
	c.assertNoProtocolViolations()
}

// A body that crashed a single upstream is a suspect, but not quarantined: another
// upstream answers it.
func TestProcesses_BodyThatEndedOneUpstreamRunsAgain(t *testing.T) {
	c := newCluster(t, 1, 0)
	var crashed sync.Map
	for i := range 2 {
		var s *standin.Server
		o := standin.Options{
			ID: fmt.Sprintf("runner-%02d", i), MemoryMiB: 16000, Slots: 1, ChecksFencing: true, Zone: "tay-a",
			Exit: func() {
				crashed.Store(s.ID(), true)
				s.Kill()
			},
		}
		if i == 0 {
			o.CrashMarker = "once"
		}
		s = c.addUpstream(o)
	}
	c.apply(1, 2)
	c.waitEnforced(1)
	body := `{"model":"writer","prompt":"once","max_tokens":500}`
	// With one slot per runner, one of two concurrent requests runs on runner-00.
	c.eventually("the crash of runner-00", func() error {
		var wg sync.WaitGroup
		for range 2 {
			wg.Go(func() {
				_, _ = c.post(c.entries[0], "/v1/completions", body, map[string]string{"X-Deadline-Ms": "5000"})
			})
		}
		wg.Wait()
		if _, ok := crashed.Load("runner-00"); !ok {
			return fmt.Errorf("runner-00 is running")
		}
		return nil
	})
	c.eventually("a suspect body in the status", func() error {
		_, out := c.runTool("status")
		if !strings.Contains(out, "suspect ") {
			return fmt.Errorf("no suspect in %s", out)
		}
		return nil
	})
	c.eventually("an answer from the other upstream", func() error {
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

// A leader that resumes after a pause must not answer from its stale state.
func TestProcesses_LeaderPausedDuringApplies(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, 1)
	c.apply(1, 1)
	c.waitEnforced(1)
	paused := c.leader()
	direct := c.operatorClient(paused)
	c.signal(paused, syscall.SIGSTOP)
	for v := 2; v <= 5; v++ {
		c.applyDirect(v, 1)
	}
	c.signal(paused, syscall.SIGCONT)
	for range 50 {
		st, err := direct.Status(t.Context(), &wire.StatusRequest{})
		if err == nil && st.Applied.GetVersion() < 5 {
			t.Fatalf("the resumed leader serves version %d", st.Applied.GetVersion())
		}
	}
	c.waitEnforced(5) // also on entries whose watch stream came from the paused VM
	c.waitServed(c.entries[0], "writer")
	c.eventually("the resumed VM to catch up", func() error {
		st, err := c.operatorClient(c.leader()).Status(t.Context(), &wire.StatusRequest{})
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
