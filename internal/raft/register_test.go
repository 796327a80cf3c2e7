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

func (s *sim) recordOp(op *simOp, value uint64) {
	if op.client > simCheckedOps || !op.write && s.clients > simCheckedOps {
		return
	}
	s.history = append(s.history, porcupine.Operation{
		ClientId: op.client, Input: registerInput{op.write, op.value}, Output: value,
		Call: int64(op.startedAt), Return: int64(s.now),
	})
}

// linearizable checks the history of completed operations. Committed writes without an
// answer are added with an open end, since reads may see them.
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
		if op.client > simCheckedOps || s.committed[op.index] == nil || s.committed[op.index].Term != op.term {
			continue
		}
		answered := slices.ContainsFunc(s.history, func(h porcupine.Operation) bool { return h.ClientId == op.client })
		if !answered {
			history = append(history, porcupine.Operation{
				ClientId: op.client, Input: registerInput{true, op.value}, Output: op.value,
				Call: int64(op.startedAt), Return: int64(s.now) + int64(time.Hour),
			})
		}
	}
	return porcupine.CheckOperationsTimeout(model, history, simCheckTimeout) != porcupine.Illegal
}
