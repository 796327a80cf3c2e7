package e2e

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

func TestProcesses_CompletionEndToEnd(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, 3)
	c.apply(1, 2)
	c.waitEnforced(1)
	c.waitServed(c.entries[0], "writer")
	c.waitServed(c.entries[1], "writer:gold")
	resp, err := c.post(c.entries[0], "/v1/completions", completion("nobody", 1), nil)
	is.NoErr(err)
	is.Equal(resp.status, http.StatusNotFound)
	is.True(strings.Contains(resp.body, `"ran":"no"`))
	code, out := c.runTool("explain", "writer")
	is.Equal(code, 0)
	is.True(strings.Contains(out, "writer"))
	c.assertNoProtocolViolations()
	c.assertMetricsDocumented(c.control[0], c.entries[0])
}

// assertMetricsDocumented checks that docs/REFERENCE.md lists every metric of the nodes.
func (c *cluster) assertMetricsDocumented(nodes ...*node) {
	c.t.Helper()
	reference, err := os.ReadFile("../../docs/REFERENCE.md")
	if err != nil {
		c.t.Fatal(err)
	}
	for _, n := range nodes {
		resp, err := http.Get("http://" + n.metricsAddress + "/metrics")
		if err != nil {
			c.t.Fatal(err)
		}
		lines := bufio.NewScanner(resp.Body)
		for lines.Scan() {
			name, ok := strings.CutPrefix(lines.Text(), "# TYPE gentiankeel_")
			if !ok {
				continue
			}
			name, _, _ = strings.Cut(name, " ")
			if !strings.Contains(string(reference), "`gentiankeel_"+name+"`") {
				c.t.Errorf("metric gentiankeel_%s is missing from docs/REFERENCE.md", name)
			}
		}
		resp.Body.Close()
	}
}

// A resend with the same Idempotency-Key gets the stored answer from any entry; another
// body under that key is refused. The call runs once.
func TestProcesses_KeyedCallResentThroughAnotherEntry(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, 1)
	c.apply(1, 1)
	c.waitEnforced(1)
	c.waitServed(c.entries[0], "writer")
	key := map[string]string{"Idempotency-Key": "job-1"}
	var first *response
	c.eventually("an answer to the keyed call", func() (err error) {
		first, err = c.post(c.entries[0], "/v1/services/print-orders/jobs", `{"n":1}`, key)
		if err == nil && first.status >= http.StatusInternalServerError {
			err = fmt.Errorf("status %d: %s", first.status, first.body)
		}
		return err
	})
	is.Equal(first.status, http.StatusOK)
	resent, err := c.post(c.entries[1], "/v1/services/print-orders/jobs", `{"n":1}`, key)
	is.NoErr(err)
	is.Equal(resent.body, first.body)
	conflicting, err := c.post(c.entries[1], "/v1/services/print-orders/jobs", `{"n":2}`, key)
	is.NoErr(err)
	is.Equal(conflicting.status, http.StatusUnprocessableEntity)
	is.Equal(c.runCount("job-1"), 1)
}

// runCount returns how often the call with the key ran, over all desk services.
func (c *cluster) runCount(key string) int {
	total := 0
	for _, s := range c.upstreams {
		total += s.Runs()[key]
	}
	return total
}

// Four operators apply the same file while the leader is killed: all succeed, and the
// history holds the version once.
func TestProcesses_LeaderKilledDuringApply(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, 2)
	c.apply(1, 1)
	c.waitEnforced(1)
	leader := c.leader()
	file := c.writeFile("race.toml", fmt.Sprintf(specTemplate, 2, 2))
	var wg sync.WaitGroup
	codes := make([]int, 4)
	outs := make([]string, 4)
	for i := range codes {
		wg.Go(func() { codes[i], outs[i] = c.runTool("apply", file, "--who", fmt.Sprintf("op-%d", i)) })
	}
	c.kill(leader)
	wg.Wait()
	for i, code := range codes {
		t.Logf("operator %d: exit %d: %s", i, code, outs[i])
		is.Equal(code, 0) // repeated applies of the same file have the same outcome
	}
	c.waitEnforced(2)
	code, out := c.runTool("history")
	is.Equal(code, 0)
	is.Equal(strings.Count(out, "accepted   version 2 "), 1)
	c.startNode(leader)
	c.apply(3, 1)
	c.waitEnforced(3)
	c.waitServed(c.entries[0], "writer")
	c.assertNoProtocolViolations()
}

// Of several different files with the same version, exactly one is accepted.
func TestProcesses_ConcurrentAppliesOfOneVersion(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1)
	c.apply(1, 1)
	var wg sync.WaitGroup
	codes := make([]int, 5)
	for i := range codes {
		file := c.writeFile(fmt.Sprintf("race-%d.toml", i), fmt.Sprintf(specTemplate, 2, 1+i))
		wg.Go(func() { codes[i], _ = c.runTool("apply", file) })
	}
	wg.Wait()
	accepted := 0
	for _, code := range codes {
		is.True(code == 0 || code == 2) // accepted or refused, never without an answer
		if code == 0 {
			accepted++
		}
	}
	is.Equal(accepted, 1)
}

// The next scheduler must account for loads that its predecessor ordered, so that the
// replicas of a model stay within the applied file.
func TestProcesses_SchedulerKilledDuringLoads(t *testing.T) {
	c := newCluster(t, 2, 3)
	c.apply(1, 2)
	c.waitEnforced(1)
	scheduler := c.schedulerNode()
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Go(func() {
			_, _ = c.post(c.entries[i%2], "/v1/completions", completion("quiet", 5), nil)
		})
	}
	c.kill(scheduler)
	wg.Wait()
	c.waitServed(c.entries[0], "quiet")
	c.waitServed(c.entries[1], "writer")
	c.startNode(scheduler)
	c.apply(2, 1)
	c.waitEnforced(2)
	c.assertNoProtocolViolations()
	c.assertReplicasAtMost("quiet", 2)
}

// assertReplicasAtMost checks that at most limit upstreams hold the model.
func (c *cluster) assertReplicasAtMost(model string, limit int) {
	c.t.Helper()
	held := 0
	for _, s := range c.upstreams {
		for _, h := range s.State().Held {
			if h.Model == model && h.Adapter == "" {
				held++
			}
		}
	}
	if held > limit {
		c.t.Errorf("%s has %d replicas, the applied file allows %d", model, held, limit)
	}
}

// A scheduler that is paused beyond its lease must not order anything when it resumes.
func TestProcesses_SchedulerPausedUntilAnotherTakesOver(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 3)
	c.apply(1, 2)
	c.waitEnforced(1)
	c.waitServed(c.entries[0], "writer")
	paused := c.schedulerNode()
	c.signal(paused, syscall.SIGSTOP)
	c.eventually("takeover by another scheduler", func() error {
		if now := c.schedulerNode(); now == paused {
			return fmt.Errorf("%s still holds the lease", paused.id)
		}
		return nil
	})
	c.waitServed(c.entries[0], "quiet")
	c.signal(paused, syscall.SIGCONT)
	c.apply(2, 2)
	c.waitEnforced(2)
	c.waitServed(c.entries[0], "writer")
	is.True(c.schedulerNode() != paused)
	c.assertNoProtocolViolations()
	c.assertReplicasAtMost("quiet", 2)
}

// On SIGTERM an entry completes its open streams before it exits.
func TestProcesses_EntryTerminatedDuringStream(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, 2)
	c.apply(1, 1)
	c.waitEnforced(1)
	c.waitServed(c.entries[0], "writer")
	body := `{"model":"writer","prompt":"a long one","max_tokens":800,"stream":true}`
	resp, err := http.Post("http://"+c.entries[0].callerAddress+"/v1/completions", "application/json", strings.NewReader(body))
	is.NoErr(err)
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	is.True(lines.Scan()) // the stream has begun
	done := make(chan error, 1)
	go func() { done <- c.terminate(c.entries[0]) }()
	last := ""
	for lines.Scan() {
		if lines.Text() != "" {
			last = lines.Text()
		}
	}
	is.NoErr(lines.Err())
	is.Equal(last, "data: [DONE]")
	is.NoErr(<-done) // a graceful exit
}
