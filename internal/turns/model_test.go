package turns

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gentiankeel/internal/replica"
	"gentiankeel/internal/state"
	"gentiankeel/internal/wire"
)

var (
	modelSeed = flag.Uint64("model.seed", 1, "first seed of the random runs of the model of holders")
	modelRuns = flag.Int("model.runs", 300, "random runs of the model of holders")
)

const (
	modelStep    = 20 * time.Millisecond
	modelRunTime = 2 * time.Minute
	modelVMs     = 5
	handOver     = 300 * time.Millisecond // wait from which the lead is handed over
)

// modelVM is a control VM of the model. Its keeper is that of the current process.
type modelVM struct {
	address   string
	keeper    *Keeper
	downUntil Time
	killed    bool
}

// modelTerm is the lead of one VM. It sends orders once it is recorded as their holder.
type modelTerm struct {
	vm        *modelVM
	token     uint64
	began     Time
	recordAt  Time
	recorded  bool
	onlyAt    Time
	only      bool
	nextOrder Time
}

type modelOrder struct {
	at     Time
	holder string
}

// model plays control VMs that are killed, frozen and cut off while they lead, and one runner that gets their orders.
type model struct {
	rng     *rand.Rand
	now     Time
	log     *state.Machine
	index   uint64
	vms     []*modelVM
	term    *modelTerm
	token   uint64
	electAt Time
	next    *modelVM // the VM that the lead was handed over to
	orders  []modelOrder
	waits   []time.Duration
}

func newModel(seed uint64) *model {
	m := &model{rng: rand.New(rand.NewPCG(seed, 0)), log: state.New(state.Options{})}
	for i := range modelVMs {
		a := string(rune('a' + i))
		m.vms = append(m.vms, &modelVM{address: a, keeper: New(a, interval, 0)})
	}
	return m
}

func (m *model) between(low, high time.Duration) time.Duration {
	return low + time.Duration(m.rng.Int64N(int64(high-low)))
}

// record commits a holder to the log.
func (m *model) record(h *modelTerm, only bool) {
	m.index++
	m.log.Apply(m.index, &wire.Command{Op: &wire.Command_RecordHolder{RecordHolder: &wire.RecordHolder{
		Holder: &wire.Holder{Address: h.vm.address, Token: h.token}, Only: only}}})
}

// disturb kills a VM, or cuts or freezes it for some time. A killed one comes back as a new process.
func (m *model) disturb(v *modelVM) {
	if v.downUntil > m.now {
		return
	}
	v.killed = m.rng.IntN(2) == 0
	v.downUntil = m.now + m.between(500*time.Millisecond, 2500*time.Millisecond)
	if v.killed {
		v.downUntil = m.now + m.between(100*time.Millisecond, 500*time.Millisecond)
	}
	if m.term != nil && m.term.vm == v {
		m.term = nil
		m.electAt = m.now + m.between(200*time.Millisecond, 1200*time.Millisecond)
	}
}

func (m *model) restart() {
	for _, v := range m.vms {
		if v.killed && v.downUntil <= m.now {
			v.killed = false
			v.keeper = New(v.address, interval, m.now)
		}
	}
}

// status is what a leader knows of the voters. One that went down a moment ago still counts as active.
func (m *model) status(leader *modelVM) replica.Status {
	s := replica.Status{Match: map[uint64]uint64{}, Active: map[uint64]bool{}}
	for i, v := range m.vms {
		id := uint64(i + 1)
		s.Members = append(s.Members, &wire.Member{Id: id, Address: v.address})
		s.Match[id] = m.rng.Uint64N(3)
		s.Active[id] = v == leader || v.downUntil <= m.now || m.rng.IntN(10) == 0
	}
	return s
}

func (m *model) elect() {
	if m.term != nil || m.now < m.electAt {
		return
	}
	v := m.next
	for m.next = nil; v == nil || v.downUntil > m.now; {
		v = m.vms[m.rng.IntN(len(m.vms))]
	}
	m.token++
	holders := m.log.Holders()
	wait := v.keeper.Wait(m.now, holders, true)
	if to := v.keeper.Successor(holders, m.status(v)); wait > handOver && to != 0 {
		m.next, m.electAt = m.vms[to-1], m.now+m.between(20*time.Millisecond, 300*time.Millisecond)
		if m.next.downUntil > m.now { // another VM is elected in the end
			m.next, m.electAt = nil, m.now+m.between(time.Second, 2*time.Second)
		}
		return
	}
	m.term = &modelTerm{vm: v, token: m.token, began: m.now, recordAt: m.now + wait + m.between(1, 50*time.Millisecond)}
}

func (m *model) act() {
	h := m.term
	switch {
	case h == nil || m.now < h.recordAt:
		return
	case !h.recorded:
		m.record(h, false)
		m.waits = append(m.waits, m.now-h.began)
		h.recorded, h.nextOrder, h.onlyAt = true, m.now, m.now+interval
		return
	case !h.only && m.now >= h.onlyAt:
		m.record(h, true)
		h.only = true
	}
	if m.now >= h.nextOrder {
		m.orders = append(m.orders, modelOrder{m.now + m.between(0, orderTransit), h.vm.address})
		h.vm.keeper.OrderEnded(m.now)
		h.nextOrder = m.now + m.between(modelStep, 200*time.Millisecond)
	}
}

func (m *model) check(t *testing.T) {
	slices.SortStableFunc(m.orders, func(a, b modelOrder) int { return int(a.at - b.at) })
	for i := 1; i < len(m.orders); i++ {
		o := m.orders[i]
		for k := i - 1; k >= 0 && o.holder != m.orders[i-1].holder && o.at-m.orders[k].at < interval; k-- {
			if m.orders[k].holder == o.holder {
				t.Fatalf("%s sends an order at %s and at %s, with one of %s between", o.holder, m.orders[k].at, o.at, m.orders[i-1].holder)
			}
		}
	}
	if len(m.orders) < 100 {
		t.Fatalf("only %d orders were sent", len(m.orders))
	}
}

// Guards against holders that take turns within the interval, whoever comes and goes.
func TestRandomModel_HoldersComeAndGo(t *testing.T) {
	for i := range *modelRuns {
		seed := *modelSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			m := newModel(seed)
			for nextFault := time.Second; m.now < modelRunTime; m.now += modelStep {
				m.restart()
				if m.now >= nextFault {
					v := m.vms[m.rng.IntN(len(m.vms))]
					if m.term != nil && m.rng.IntN(4) > 0 {
						v = m.term.vm
					}
					m.disturb(v)
					nextFault = m.now + m.between(100*time.Millisecond, 4*time.Second)
				}
				m.elect()
				m.act()
			}
			m.check(t)
		})
	}
}
