package state

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"

	"gentiankeel/internal/wire"
)

// call is one call of a client to the fake log. A lost answer leaves out nil.
type call struct {
	input any
	began int64
	out   any
	done  bool // applied, answer under way
}

// simulate runs clients against a log that loses requests and answers and delivers some
// requests a second time, much later. A client sends again what got no answer. All of
// it follows from the seed: there is one goroutine.
func simulate(seed uint64, steps int, draw func(*rand.Rand, int) any, apply func(any) any) []porcupine.Operation {
	rng := rand.New(rand.NewPCG(seed, 1))
	const clients = 4
	var history []porcupine.Operation
	pending := make([]*call, clients)
	resend := make([]any, clients)
	var late []*call
	clock := int64(0)
	finish := func(client int, c *call, out any, at int64) {
		history = append(history, porcupine.Operation{ClientId: client, Input: c.input, Call: c.began, Output: out, Return: at})
	}
	for range steps {
		clock++
		if len(late) > 0 && rng.IntN(8) == 0 {
			apply(late[0].input)
			late = late[1:]
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
			pending[client] = &call{input: input, began: clock}
		case !c.done && rng.IntN(6) == 0: // the request is lost, or only late
			if rng.IntN(2) == 0 {
				late = append(late, c)
			}
			finish(client, c, nil, math.MaxInt64)
			pending[client], resend[client] = nil, c.input
		case !c.done:
			c.out, c.done = apply(c.input), true
		case rng.IntN(5) == 0: // the answer is lost
			finish(client, c, nil, math.MaxInt64)
			pending[client], resend[client] = nil, c.input
		default:
			finish(client, c, c.out, clock)
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

// linearizable checks histories of many seeds against a sequential model.
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
	who     int
	read    bool
}

// fileState is the sequence of accepted files: who holds version i+1.
type fileState struct {
	holder [8]int
	n      uint64
}

func filesLinearizable(off switches) error {
	next := func(s fileState, input any) (fileState, any) {
		c := input.(fileCall)
		switch {
		case c.read:
			return s, fmt.Sprint(s.holder[:s.n])
		case c.version == s.n+1 && s.n < 8:
			s.holder[s.n] = c.who
			s.n++
			return s, wire.ApplyOutcome_APPLY_ACCEPTED
		case c.version > s.n:
			return s, wire.ApplyOutcome_APPLY_REFUSED_GAP
		case s.holder[c.version-1] == c.who:
			return s, wire.ApplyOutcome_APPLY_SAME
		case c.version == s.n:
			return s, wire.ApplyOutcome_APPLY_REFUSED_CONFLICT
		}
		return s, wire.ApplyOutcome_APPLY_REFUSED_OLDER
	}
	return linearizable(fileState{}, next, func(seed uint64) []porcupine.Operation {
		r := newRig(off)
		// Version 1 must be first here, so that the model needs no special case.
		draw := func(rng *rand.Rand, client int) any {
			version := uint64(1)
			if s := r.m.Spec(); s != nil {
				version = min(8, s.Version+uint64(rng.IntN(3)))
			}
			return fileCall{version: version, who: client + 1, read: rng.IntN(4) == 0}
		}
		return simulate(seed, 120, draw, func(input any) any {
			c := input.(fileCall)
			if !c.read {
				return r.file(c.version, fmt.Sprintf("# %d", c.who)).File.Outcome
			}
			var holders []int
			for _, rec := range r.m.History(0, 0) {
				if rec.Outcome == wire.ApplyOutcome_APPLY_ACCEPTED {
					for who := 1; who <= 4; who++ {
						body := fmt.Sprintf("name = \"test\"\nversion = %d\n# %d", rec.Version, who)
						if digestOf(body) == rec.Digest {
							holders = append([]int{who}, holders...)
						}
					}
				}
			}
			return fmt.Sprint(holders)
		})
	})
}

type leaseCall struct {
	lease int
	who   int
	end   uint64 // fence to end, or 0 to ask
}

type leaseState struct {
	last   uint64
	holder [2]int
	fence  [2]uint64
}

type leaseOut struct {
	code  wire.ResultCode
	fence uint64
}

func leasesLinearizable(off switches) error {
	next := func(s leaseState, input any) (leaseState, any) {
		c := input.(leaseCall)
		held := s.holder[c.lease] != 0
		switch {
		case c.end != 0 && held && s.fence[c.lease] != c.end:
			return s, leaseOut{wire.ResultCode_RESULT_FENCED, s.fence[c.lease]}
		case c.end != 0:
			s.holder[c.lease], s.fence[c.lease] = 0, 0
			return s, leaseOut{code: wire.ResultCode_RESULT_OK}
		case held && s.holder[c.lease] != c.who:
			return s, leaseOut{wire.ResultCode_RESULT_HELD, s.fence[c.lease]}
		case !held:
			s.last++
			s.holder[c.lease], s.fence[c.lease] = c.who, s.last
		}
		return s, leaseOut{wire.ResultCode_RESULT_OK, s.fence[c.lease]}
	}
	return linearizable(leaseState{}, next, func(seed uint64) []porcupine.Operation {
		r := newRig(off)
		cells := []string{"a", "b"}
		draw := func(rng *rand.Rand, client int) any {
			c := leaseCall{lease: rng.IntN(2), who: client + 1}
			if rng.IntN(2) == 0 {
				c.end = 1 + uint64(rng.IntN(8))
				if l := r.m.Lease(SchedulerLeasePrefix + cells[c.lease]); l != nil && rng.IntN(2) == 0 {
					c.end = l.Fence
				}
			}
			return c
		}
		return simulate(seed, 120, draw, func(input any) any {
			c := input.(leaseCall)
			var res *wire.Result
			if c.end != 0 {
				res = r.end(cells[c.lease], c.end)
			} else {
				res = r.grant(cells[c.lease], fmt.Sprint("n", c.who))
			}
			return leaseOut{res.Code, res.Lease.GetFence()}
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

type ledgerOut struct {
	status  wire.LedgerStatus
	attempt string
	answer  string
}

func ledgerLinearizable(off switches) error {
	next := func(s ledgerState, input any) (ledgerState, any) {
		c := input.(ledgerCall)
		if c.finish == 0 {
			switch {
			case s.status == 0:
				s = ledgerState{c.attempt, c.digest, wire.LedgerStatus_LEDGER_IN_PROGRESS, ""}
				return s, ledgerOut{wire.LedgerStatus_LEDGER_NEW, c.attempt, ""}
			case s.digest != c.digest:
				return s, ledgerOut{status: wire.LedgerStatus_LEDGER_KEY_REUSED}
			}
			return s, ledgerOut{s.status, s.attempt, s.answer}
		}
		switch {
		case s.status == 0 || s.attempt != c.attempt:
			return s, ledgerOut{}
		case s.status == wire.LedgerStatus_LEDGER_DONE:
		case c.finish == wire.LedgerStatus_LEDGER_NOT_RUN && s.status == wire.LedgerStatus_LEDGER_IN_PROGRESS:
			return ledgerState{}, ledgerOut{status: c.finish}
		case c.finish != wire.LedgerStatus_LEDGER_NOT_RUN:
			s.status = c.finish
			if c.finish == wire.LedgerStatus_LEDGER_DONE {
				s.answer = c.attempt
			}
		}
		return s, ledgerOut{status: s.status}
	}
	return linearizable(ledgerState{}, next, func(seed uint64) []porcupine.Operation {
		r := newRig(off)
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
				res := r.begin("k", c.digest, c.attempt)
				return ledgerOut{res.Ledger, res.Attempt, string(res.Answer.GetBody())}
			}
			return ledgerOut{status: r.finish("k", c.attempt, c.finish, c.attempt).Ledger}
		})
	})
}
