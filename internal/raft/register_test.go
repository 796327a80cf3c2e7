package raft

import (
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

type registerInput struct {
	write bool
	value uint64
}

func (s *sim) done(op *simOp, value uint64) {
	if op.client > simMaxOps || !op.write && s.clients > simMaxOps {
		return
	}
	s.history = append(s.history, porcupine.Operation{
		ClientId: op.client, Input: registerInput{op.write, op.value}, Output: value,
		Call: int64(op.call), Return: int64(s.now),
	})
}

// linearizable checks all answered operations; writes without an answer may have run.
func (s *sim) linearizable() bool {
	model := porcupine.Model{
		Init: func() any { return uint64(0) },
		Step: func(state, input, output any) (bool, any) {
			in := input.(registerInput)
			if in.write {
				return true, in.value
			}
			return output.(uint64) == state.(uint64), state
		},
	}
	history := slices.Clone(s.history)
	for _, op := range s.ops {
		if op.client > simMaxOps || s.committed[op.index] == nil || s.committed[op.index].Term != op.term {
			continue
		}
		answered := slices.ContainsFunc(s.history, func(h porcupine.Operation) bool { return h.ClientId == op.client })
		if !answered {
			history = append(history, porcupine.Operation{
				ClientId: op.client, Input: registerInput{true, op.value}, Output: op.value,
				Call: int64(op.call), Return: int64(s.now) + int64(time.Hour),
			})
		}
	}
	return porcupine.CheckOperationsTimeout(model, history, simCheckLimit) != porcupine.Illegal
}
