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

func TestProcesses_RequestIsServedEndToEnd(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, 3)
	c.apply(1, 2)
	c.inForce(1)
	c.served(c.entries[0], "writer")
	c.served(c.entries[1], "writer:gold")
	resp, err := c.post(c.entries[0], "/v1/completions", completion("nobody", 1), nil)
	is.NoErr(err)
	is.Equal(resp.status, http.StatusNotFound)
	is.True(strings.Contains(resp.body, `"ran":"no"`))
	code, out := c.tool("explain", "writer")
	is.Equal(code, 0)
	is.True(strings.Contains(out, "writer"))
	c.assertUpstreamsUnharmed()
	c.assertMetricsListed(c.control[0], c.entries[0])
}

// assertMetricsListed checks that the reference lists every metric of the nodes.
func (c *cluster) assertMetricsListed(nodes ...*node) {
	c.t.Helper()
	text, err := os.ReadFile("../../docs/REFERENCE.md")
	if err != nil {
		c.t.Fatal(err)
	}
	for _, n := range nodes {
		resp, err := http.Get("http://" + n.metrics + "/metrics")
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
			if !strings.Contains(string(text), "`gentiankeel_"+name+"`") {
				c.t.Errorf("gentiankeel_%s is not in the reference", name)
			}
		}
		resp.Body.Close()
	}
}

func TestProcesses_BookingResentThroughAnotherEntryRunsOnce(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, 1)
	c.apply(1, 1)
	c.inForce(1)
	c.served(c.entries[0], "writer")
	key := map[string]string{"Idempotency-Key": "job-1"}
	var first *response
	c.eventually("a booking", func() (err error) {
		first, err = c.post(c.entries[0], "/v1/services/print-orders/jobs", `{"n":1}`, key)
		if err == nil && first.status >= http.StatusInternalServerError {
			err = fmt.Errorf("status %d: %s", first.status, first.body)
		}
		return err
	})
	is.Equal(first.status, http.StatusOK)
	again, err := c.post(c.entries[1], "/v1/services/print-orders/jobs", `{"n":1}`, key)
	is.NoErr(err)
	is.Equal(again.body, first.body)
	other, err := c.post(c.entries[1], "/v1/services/print-orders/jobs", `{"n":2}`, key)
	is.NoErr(err)
	is.Equal(other.status, http.StatusUnprocessableEntity)
	is.Equal(c.runsOf("job-1"), 1)
}

// runsOf counts how often a key ran on all desk services.
func (c *cluster) runsOf(key string) int {
	total := 0
	for _, s := range c.fleet {
		total += s.Runs()[key]
	}
	return total
}

func TestProcesses_LeaderKilledDuringApply(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, 2)
	c.apply(1, 1)
	c.inForce(1)
	leader := c.leader()
	file := c.write("race.toml", fmt.Sprintf(spec, 2, 2))
	var wg sync.WaitGroup
	codes := make([]int, 4)
	outs := make([]string, 4)
	for i := range codes {
		wg.Go(func() { codes[i], outs[i] = c.tool("apply", file, "--who", fmt.Sprintf("op-%d", i)) })
	}
	c.kill(leader)
	wg.Wait()
	for i, code := range codes {
		t.Logf("operator %d: exit %d: %s", i, code, outs[i])
		is.Equal(code, 0) // the same file has one outcome, whoever asks and however often
	}
	c.inForce(2)
	code, out := c.tool("history")
	is.Equal(code, 0)
	is.Equal(strings.Count(out, "accepted   version 2 "), 1)
	c.startNode(leader)
	c.apply(3, 1)
	c.inForce(3)
	c.served(c.entries[0], "writer")
	c.assertUpstreamsUnharmed()
}

func TestProcesses_OperatorsRaceUnderOneVersion(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1)
	c.apply(1, 1)
	var wg sync.WaitGroup
	codes := make([]int, 5)
	for i := range codes {
		file := c.write(fmt.Sprintf("race-%d.toml", i), fmt.Sprintf(spec, 2, 1+i))
		wg.Go(func() { codes[i], _ = c.tool("apply", file) })
	}
	wg.Wait()
	won := 0
	for _, code := range codes {
		is.True(code == 0 || code == 2) // accepted or refused, never unknown
		if code == 0 {
			won++
		}
	}
	is.Equal(won, 1)
}

func TestProcesses_SchedulerKilledWhileLoadsRun(t *testing.T) {
	c := newCluster(t, 2, 3)
	c.apply(1, 2)
	c.inForce(1)
	sched := c.schedulerNode()
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Go(func() {
			_, _ = c.post(c.entries[i%2], "/v1/completions", completion("quiet", 5), nil)
		})
	}
	c.kill(sched)
	wg.Wait()
	c.served(c.entries[0], "quiet")
	c.served(c.entries[1], "writer")
	c.startNode(sched)
	c.apply(2, 1)
	c.inForce(2)
	c.assertUpstreamsUnharmed()
	c.assertLoadsWithin("quiet", 2)
}

// assertLoadsWithin checks that a model is held at most as often as the file says.
func (c *cluster) assertLoadsWithin(model string, most int) {
	c.t.Helper()
	held := 0
	for _, s := range c.fleet {
		for _, h := range s.State().Held {
			if h.Model == model && h.Adapter == "" {
				held++
			}
		}
	}
	if held > most {
		c.t.Errorf("%s is held %d times, the file says %d", model, held, most)
	}
}

func TestProcesses_FrozenSchedulerDecidesNothingAfterItWakes(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 3)
	c.apply(1, 2)
	c.inForce(1)
	c.served(c.entries[0], "writer")
	sched := c.schedulerNode()
	c.signal(sched, syscall.SIGSTOP)
	c.eventually("another scheduler", func() error {
		if now := c.schedulerNode(); now == sched {
			return fmt.Errorf("%s still holds the lease", sched.id)
		}
		return nil
	})
	c.served(c.entries[0], "quiet")
	c.signal(sched, syscall.SIGCONT)
	c.apply(2, 2)
	c.inForce(2)
	c.served(c.entries[0], "writer")
	is.True(c.schedulerNode() != sched)
	c.assertUpstreamsUnharmed()
	c.assertLoadsWithin("quiet", 2)
}

func TestProcesses_DrainedEntryCutsOffNoStream(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, 2)
	c.apply(1, 1)
	c.inForce(1)
	c.served(c.entries[0], "writer")
	body := `{"model":"writer","prompt":"a long one","max_tokens":800,"stream":true}`
	resp, err := http.Post("http://"+c.entries[0].listen+"/v1/completions", "application/json", strings.NewReader(body))
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
