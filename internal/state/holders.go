package state

import (
	"slices"

	"gentiankeel/internal/wire"
)

// maxHolders bounds the recorded holders. It exceeds the number of elections in the interval
// between two turns of one VM.
const maxHolders = 16

// recordHolder records a VM that sends orders from now on. It is idempotent.
func (m *Machine) recordHolder(cmd *wire.RecordHolder) *wire.Result {
	h := cmd.GetHolder()
	if !isName(h.GetAddress()) || h.GetToken() == 0 {
		return m.invalidResult("a holder needs an address and a fencing token")
	}
	if n := len(m.holders); n > 0 && (h.Token < m.holders[n-1].Token || h.Token == m.holders[n-1].Token && h.Address != m.holders[n-1].Address) {
		return m.invalidResult("a later holder is recorded")
	}
	var earlier []*wire.Holder
	if !cmd.Only {
		earlier = slices.DeleteFunc(slices.Clone(m.holders), func(e *wire.Holder) bool { return e.Address == h.Address })
	}
	m.holders = append(earlier, &wire.Holder{Address: h.Address, Token: h.Token})
	if n := len(m.holders); n > maxHolders {
		m.holders = m.holders[n-maxHolders:]
	}
	return m.okResult()
}

// Holders returns the VMs whose orders may be younger than the interval between two turns of one
// VM, in the order of their tokens. They must not be modified.
func (m *Machine) Holders() []*wire.Holder {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.holders
}
