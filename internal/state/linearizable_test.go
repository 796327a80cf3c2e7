package state

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"

	"gentiankeel/internal/wire"
)

// call is a client's call to the simulated log. output is set when the log executes the
// call; the history holds a nil output instead if the answer is lost.
type call struct {
	input   any
	start   int64
	output  any
	applied bool // executed, answer not yet delivered
}

// simulate runs clients against a log that loses requests and answers. It delivers some of
// the lost requests much later, in addition to the client's resend. The run uses a single
// goroutine and is determined by the seed.
func simulate(seed uint64, steps int, draw func(*rand.Rand, int) any, apply func(any) any) []porcupine.Operation {
	rng := rand.New(rand.NewPCG(seed, 1))
	const clients = 4
	var history []porcupine.Operation
	pending := make([]*call, clients)
	resend := make([]any, clients)
	var delayed []*call
	clock := int64(0)
	finish := func(client int, c *call, out any, at int64) {
		history = append(history, porcupine.Operation{ClientId: client, Input: c.input, Call: c.start, Output: out, Return: at})
	}
	for range steps {
		clock++
		if len(delayed) > 0 && rng.IntN(8) == 0 {
			apply(delayed[0].input)
			delayed = delayed[1:]
		}
		client := rng.IntN(clients)
		c := pending[client]
		switch {
		case c == nil:
			input := resend[client]
			resend[client] = nil
			if input == nil {
				input = draw(rng, client)
			}
			pending[client] = &call{input: input, start: clock}
		case !c.applied && rng.IntN(6) == 0: // the request is lost, or delayed
			if rng.IntN(2) == 0 {
				delayed = append(delayed, c)
			}
			finish(client, c, nil, math.MaxInt64)
			pending[client], resend[client] = nil, c.input
		case !c.applied:
			c.output, c.applied = apply(c.input), true
		case rng.IntN(5) == 0: // the answer is lost
			finish(client, c, nil, math.MaxInt64)
			pending[client], resend[client] = nil, c.input
		default:
			finish(client, c, c.output, clock)
			pending[client] = nil
		}
	}
	for client, c := range pending {
		if c != nil {
			finish(client, c, nil, math.MaxInt64)
		}
	}
	return history
}

// linearizable checks the histories of 150 seeds against a sequential model.
func linearizable[S comparable](init S, next func(S, any) (S, any), run func(seed uint64) []porcupine.Operation) error {
	model := porcupine.Model{
		Init: func() any { return init },
		Step: func(s, input, output any) (bool, any) {
			after, out := next(s.(S), input)
			return output == nil || output == out, after
		},
	}
	for seed := range uint64(150) {
		if !porcupine.CheckOperations(model, run(seed)) {
			return errors.Errorf("seed %d: the history is not linearizable", seed)
		}
	}
	return nil
}

type fileCall struct {
	version uint64
	client  int
	read    bool
}

// fileState is the sequence of accepted files: clients[i] is the client whose file was
// accepted as version i+1, for the first n versions.
type fileState struct {
	clients [8]int
	n       uint64
}

func filesLinearizable(disabled disabledChecks) error {
	next := func(s fileState, input any) (fileState, any) {
		c := input.(fileCall)
		switch {
		case c.read:
			return s, fmt.Sprint(s.clients[:s.n])
		case c.version == s.n+1 && s.n < 8:
			s.clients[s.n] = c.client
			s.n++
			return s, wire.ApplyOutcome_APPLY_ACCEPTED
		case c.version > s.n:
			return s, wire.ApplyOutcome_APPLY_REFUSED_GAP
		case s.clients[c.version-1] == c.client:
			return s, wire.ApplyOutcome_APPLY_SAME
		case c.version == s.n:
			return s, wire.ApplyOutcome_APPLY_REFUSED_CONFLICT
		}
		return s, wire.ApplyOutcome_APPLY_REFUSED_OLDER
	}
	return linearizable(fileState{}, next, func(seed uint64) []porcupine.Operation {
		h := newHarness(disabled)
		// The machine accepts any version as the first; starting with version 1 spares the
		// model this case.
		draw := func(rng *rand.Rand, client int) any {
			version := uint64(1)
			if s := h.m.Spec(); s != nil {
				version = min(8, s.Version+uint64(rng.IntN(3)))
			}
			return fileCall{version: version, client: client + 1, read: rng.IntN(4) == 0}
		}
		return simulate(seed, 120, draw, func(input any) any {
			c := input.(fileCall)
			if !c.read {
				return h.applyFile(c.version, fmt.Sprintf("# %d", c.client)).File.Outcome
			}
			var clients []int
			for _, rec := range h.m.History(0, 0) {
				if rec.Outcome == wire.ApplyOutcome_APPLY_ACCEPTED {
					for who := 1; who <= 4; who++ {
						body := fmt.Sprintf("name = \"test\"\nversion = %d\n# %d", rec.Version, who)
						if digestOf(body) == rec.Digest {
							clients = append([]int{who}, clients...)
						}
					}
				}
			}
			return fmt.Sprint(clients)
		})
	})
}

type leaseCall struct {
	lease    int
	client   int
	endFence uint64 // fencing number to end the lease under, or 0 to request it
}

type leaseState struct {
	last   uint64
	holder [2]int
	fence  [2]uint64
}

type leaseOutput struct {
	code  wire.ResultCode
	fence uint64
}

func leasesLinearizable(disabled disabledChecks) error {
	next := func(s leaseState, input any) (leaseState, any) {
		c := input.(leaseCall)
		held := s.holder[c.lease] != 0
		switch {
		case c.endFence != 0 && held && s.fence[c.lease] != c.endFence:
			return s, leaseOutput{wire.ResultCode_RESULT_FENCED, s.fence[c.lease]}
		case c.endFence != 0:
			s.holder[c.lease], s.fence[c.lease] = 0, 0
			return s, leaseOutput{code: wire.ResultCode_RESULT_OK}
		case held && s.holder[c.lease] != c.client:
			return s, leaseOutput{wire.ResultCode_RESULT_HELD, s.fence[c.lease]}
		case !held:
			s.last++
			s.holder[c.lease], s.fence[c.lease] = c.client, s.last
		}
		return s, leaseOutput{wire.ResultCode_RESULT_OK, s.fence[c.lease]}
	}
	return linearizable(leaseState{}, next, func(seed uint64) []porcupine.Operation {
		h := newHarness(disabled)
		cells := []string{"a", "b"}
		draw := func(rng *rand.Rand, client int) any {
			c := leaseCall{lease: rng.IntN(2), client: client + 1}
			if rng.IntN(2) == 0 {
				c.endFence = 1 + uint64(rng.IntN(8))
				if l := h.m.Lease(SchedulerLeasePrefix + cells[c.lease]); l != nil && rng.IntN(2) == 0 {
					c.endFence = l.Fence
				}
			}
			return c
		}
		return simulate(seed, 120, draw, func(input any) any {
			c := input.(leaseCall)
			var res *wire.Result
			if c.endFence != 0 {
				res = h.endLease(cells[c.lease], c.endFence)
			} else {
				res = h.grantLease(cells[c.lease], fmt.Sprint("n", c.client))
			}
			return leaseOutput{res.Code, res.Lease.GetFence()}
		})
	})
}

type ledgerCall struct {
	attempt string
	digest  string
	finish  wire.LedgerStatus // 0: begin
}

type ledgerState struct {
	attempt string
	digest  string
	status  wire.LedgerStatus
	answer  string
}

type ledgerOutput struct {
	status  wire.LedgerStatus
	attempt string
	answer  string
}

func ledgerLinearizable(disabled disabledChecks) error {
	next := func(s ledgerState, input any) (ledgerState, any) {
		c := input.(ledgerCall)
		if c.finish == 0 {
			switch {
			case s.status == 0:
				s = ledgerState{c.attempt, c.digest, wire.LedgerStatus_LEDGER_IN_PROGRESS, ""}
				return s, ledgerOutput{wire.LedgerStatus_LEDGER_NEW, c.attempt, ""}
			case s.digest != c.digest:
				return s, ledgerOutput{status: wire.LedgerStatus_LEDGER_KEY_REUSED}
			}
			return s, ledgerOutput{s.status, s.attempt, s.answer}
		}
		switch {
		case s.status == 0 || s.attempt != c.attempt:
			return s, ledgerOutput{}
		case s.status == wire.LedgerStatus_LEDGER_DONE:
		case c.finish == wire.LedgerStatus_LEDGER_NOT_RUN && s.status == wire.LedgerStatus_LEDGER_IN_PROGRESS:
			return ledgerState{}, ledgerOutput{status: c.finish}
		case c.finish != wire.LedgerStatus_LEDGER_NOT_RUN:
			s.status = c.finish
			if c.finish == wire.LedgerStatus_LEDGER_DONE {
				s.answer = c.attempt
			}
		}
		return s, ledgerOutput{status: s.status}
	}
	return linearizable(ledgerState{}, next, func(seed uint64) []porcupine.Operation {
		h := newHarness(disabled)
		attempts := 0
		last := make([]string, 4)
		draw := func(rng *rand.Rand, client int) any {
			c := ledgerCall{attempt: last[client], digest: fmt.Sprint(rng.IntN(2))}
			if last[client] == "" || rng.IntN(2) == 0 {
				attempts++
				last[client] = fmt.Sprint("a", attempts)
				c.attempt = last[client]
				return c
			}
			c.finish = []wire.LedgerStatus{wire.LedgerStatus_LEDGER_DONE, wire.LedgerStatus_LEDGER_UNKNOWN, wire.LedgerStatus_LEDGER_NOT_RUN}[rng.IntN(3)]
			return c
		}
		return simulate(seed, 120, draw, func(input any) any {
			c := input.(ledgerCall)
			if c.finish == 0 {
				res := h.beginKey("k", c.digest, c.attempt)
				return ledgerOutput{res.Ledger, res.Attempt, string(res.Answer.GetBody())}
			}
			return ledgerOutput{status: h.finishKey("k", c.attempt, c.finish, c.attempt).Ledger}
		})
	})
}
