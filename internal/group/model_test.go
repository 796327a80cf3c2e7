package group

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gentiankeel/internal/replica"
	"gentiankeel/internal/wire"
)

var (
	modelSeed = flag.Uint64("model.seed", 1, "first seed of the random runs of the group's model")
	modelRuns = flag.Int("model.runs", 300, "random runs of the group's model")
)

// Times of the model.
const (
	modelStep       = 50 * time.Millisecond
	modelRunTime    = 90 * time.Second
	modelCatchUp    = 4 * time.Second // time after which a VM that is back no longer counts as lost
	electionTimeout = 500 * time.Millisecond
	joinEvery       = 300 * time.Millisecond
	modelVoters     = 5
	maxLost         = 2 // VMs that may be lost at once
)

// modelVM is a control VM of the model. Its identity changes when its disk is lost.
type modelVM struct {
	address    string
	id         uint64
	downUntil  Time
	frozen     bool // until downUntil, with its disk
	lostUntil  Time
	caughtUpAt Time // for a learner
	lastAck    Time
	nextJoin   Time
	reconciler *Reconciler
	asking     map[string]bool // addresses that this VM, as leader, is asking for their identity
}

func (v *modelVM) up(now Time) bool { return now >= v.downUntil }

// modelMessage is a step of a request to join that takes place at a later time.
type modelMessage struct {
	at Time
	do func()
}

// model plays a control group whose VMs lose their disks, freeze and lead in turn, as the
// reconciler of the leader sees it. At most maxLost VMs are lost at a time.
type model struct {
	rng       *rand.Rand
	now       Time
	vms       []*modelVM
	members   []*wire.Member
	removed   []uint64
	leader    *modelVM
	term      uint64
	termStart Time
	electAt   Time
	nextID    uint64
	messages  []modelMessage
	change    *wire.ConfChange // in progress
	changeEnd Time
	nextCheck Time
	log       []string
}

func newModel(seed uint64) *model {
	m := &model{rng: rand.New(rand.NewPCG(seed, 0)), nextID: 1}
	spares := m.rng.IntN(maxLearners + 3)
	for i := range modelVoters + spares {
		v := &modelVM{address: string(rune('a' + i)), asking: map[string]bool{}, reconciler: New(Options{Voters: modelVoters})}
		v.id = m.newID()
		m.vms = append(m.vms, v)
		if i < modelVoters {
			m.members = append(m.members, member(v.id, v.address, false))
		}
	}
	return m
}

// newID returns an identity whose order says nothing about its age.
func (m *model) newID() uint64 {
	m.nextID++
	return m.rng.Uint64()>>16<<16 | m.nextID
}

func (m *model) logf(format string, args ...any) {
	m.log = append(m.log, fmt.Sprintf("%6.2f ", m.now.Seconds())+fmt.Sprintf(format, args...))
}

func (m *model) between(low, high time.Duration) time.Duration {
	return low + time.Duration(m.rng.Int64N(int64(high-low)))
}

func (m *model) after(d time.Duration, do func()) {
	m.messages = append(m.messages, modelMessage{m.now + d, do})
}

func (m *model) vmAt(address string) *modelVM {
	i := slices.IndexFunc(m.vms, func(v *modelVM) bool { return v.address == address })
	return m.vms[i]
}

func (m *model) find(id uint64) *wire.Member {
	return replica.Status{Members: m.members}.Member(id)
}

// holds reports whether the member's identity still exists.
func (m *model) holds(mb *wire.Member) bool { return m.vmAt(mb.Address).id == mb.Id }

func (m *model) voters() (out []*wire.Member) {
	return votersByAddress(replica.Status{Members: m.members})
}

func (m *model) hasQuorum() bool {
	up := 0
	for _, v := range m.voters() {
		if m.holds(v) && m.vmAt(v.Address).up(m.now) {
			up++
		}
	}
	return up > len(m.voters())/2
}

// status is what the leader knows.
func (m *model) status() replica.Status {
	s := replica.Status{ID: m.leader.id, Term: m.term, Leader: m.leader.id, IsLeader: true, Commit: 10, Members: m.members,
		Removed: m.removed, Match: map[uint64]uint64{}, Active: map[uint64]bool{}}
	for _, mb := range m.members {
		v := m.vmAt(mb.Address)
		if v.id != mb.Id {
			continue
		}
		s.Active[mb.Id] = m.now-max(v.lastAck, m.termStart) <= electionTimeout
		if !mb.Learner || m.now >= v.caughtUpAt {
			s.Match[mb.Id] = s.Commit
		}
	}
	return s
}

// disrupt loses a disk, freezes a VM or takes the lead from the leader, unless too many VMs are
// lost already.
func (m *model) disrupt() {
	lost := 0
	for _, v := range m.vms {
		if m.now < v.lostUntil {
			lost++
		}
	}
	v := m.vms[m.rng.IntN(len(m.vms))]
	if m.rng.IntN(5) == 0 {
		m.loseLeader("hands over", m.between(20*time.Millisecond, 300*time.Millisecond))
		return
	}
	if !v.up(m.now) || lost >= maxLost && m.now >= v.lostUntil {
		return
	}
	v.downUntil = m.now + m.between(300*time.Millisecond, 3*time.Second)
	v.lostUntil = v.downUntil + modelCatchUp
	v.frozen = m.rng.IntN(4) == 0
	if !v.frozen {
		m.logf("%s loses its disk, identity %x", v.address, v.id)
		v.id = m.newID()
	} else {
		m.logf("%s is frozen", v.address)
	}
	v.caughtUpAt = 1 << 62
	if v == m.leader {
		m.loseLeader("is lost", m.between(500*time.Millisecond, 1200*time.Millisecond))
	}
}

func (m *model) loseLeader(why string, election time.Duration) {
	if m.leader == nil {
		return
	}
	m.logf("leader %s %s", m.leader.address, why)
	m.leader, m.electAt = nil, m.now+election
	if m.change != nil && m.rng.IntN(2) == 0 {
		m.apply()
	}
	m.change = nil
}

func (m *model) elect() {
	if m.leader != nil || m.now < m.electAt || !m.hasQuorum() {
		return
	}
	var candidates []*modelVM
	for _, v := range m.voters() {
		if vm := m.vmAt(v.Address); m.holds(v) && vm.up(m.now) {
			candidates = append(candidates, vm)
		}
	}
	m.leader = candidates[m.rng.IntN(len(candidates))]
	m.term++
	m.termStart = m.now
	m.logf("%s leads term %d", m.leader.address, m.term)
}

// join sends the requests of all VMs that are no voters. A request may come late and twice.
func (m *model) join() {
	for _, v := range m.vms {
		mb := m.find(v.id)
		if !v.up(m.now) || m.now < v.nextJoin || mb != nil && !mb.Learner {
			continue
		}
		v.nextJoin = m.now + joinEvery
		id, address := v.id, v.address
		for range 1 + m.rng.IntN(2) {
			delay := m.between(1, 20*time.Millisecond)
			if m.rng.IntN(10) == 0 {
				delay = m.between(1, 10*time.Second)
			}
			m.after(delay, func() { m.receiveJoin(id, address) })
		}
	}
}

// receiveJoin is the leader's part: it asks the address, and records the request if the answer,
// which takes its time, bears the identity.
func (m *model) receiveJoin(id uint64, address string) {
	l := m.leader
	if l == nil {
		return
	}
	requester := member(id, address, false)
	if slices.Contains(m.removed, id) {
		if v := m.vmAt(address); v.id == id && v.up(m.now) {
			m.logf("%s was removed as %x and joins anew", address, id)
			v.id = m.newID()
		}
		return
	}
	if !NeedsConfirmation(m.status(), requester) || l.asking[address] {
		return
	}
	l.asking[address] = true
	asked := m.now
	oneWay := m.between(1, 20*time.Millisecond)
	if m.rng.IntN(10) == 0 {
		oneWay = m.between(1, 300*time.Millisecond)
	}
	m.after(oneWay, func() {
		v := m.vmAt(address)
		answered, current := v.up(m.now), v.id
		m.after(oneWay, func() {
			l.asking[address] = false
			if answered && current == id {
				l.reconciler.AddJoinRequest(asked, requester)
			}
		})
	})
}

func (m *model) deliver() {
	due := m.messages
	m.messages = nil
	for _, msg := range due {
		if msg.at > m.now {
			m.messages = append(m.messages, msg)
			continue
		}
		msg.do()
	}
}

// reconcile makes the leader's next membership change.
func (m *model) reconcile(t *testing.T) {
	if m.leader == nil {
		return
	}
	if m.change != nil {
		if m.now >= m.changeEnd && m.hasQuorum() {
			m.apply()
			m.change, m.nextCheck = nil, m.now
		}
		return
	}
	if m.now < m.nextCheck {
		return
	}
	m.nextCheck = m.now + 100*time.Millisecond
	cc := m.leader.reconciler.NextChange(m.now, m.status())
	if cc == nil {
		return
	}
	m.logf("%s proposes %s %x at %s", m.leader.address, cc.Type, cc.Member.Id, cc.Member.Address)
	m.check(t, cc)
	if cc.Type == wire.ConfChangeType_CONF_ADD_LEARNER && slices.Contains(m.removed, cc.Member.Id) {
		return // the log refuses it
	}
	m.change, m.changeEnd = cc, m.now+m.between(10*time.Millisecond, 400*time.Millisecond)
}

// check fails the test if a change removes an identity that exists and answers.
func (m *model) check(t *testing.T, cc *wire.ConfChange) {
	v := m.vmAt(cc.Member.Address)
	if cc.Type == wire.ConfChangeType_CONF_REMOVE && v.id == cc.Member.Id && v.up(m.now) && m.now-v.lastAck < electionTimeout {
		m.fail(t, "%s is removed although it is the identity of a VM that runs", cc.Member.Address)
	}
}

func (m *model) apply() {
	cc := m.change
	i := slices.IndexFunc(m.members, func(mb *wire.Member) bool { return mb.Id == cc.Member.Id })
	members := slices.Clone(m.members)
	switch cc.Type {
	case wire.ConfChangeType_CONF_ADD_LEARNER:
		members = append(members, member(cc.Member.Id, cc.Member.Address, true))
		if v := m.vmAt(cc.Member.Address); v.id == cc.Member.Id {
			v.caughtUpAt = m.now + m.between(100*time.Millisecond, time.Second)
		}
	case wire.ConfChangeType_CONF_PROMOTE:
		members[i] = member(cc.Member.Id, cc.Member.Address, false)
	case wire.ConfChangeType_CONF_REMOVE:
		members = slices.Delete(members, i, i+1)
		m.removed = append(m.removed, cc.Member.Id)
	}
	slices.SortFunc(members, func(a, b *wire.Member) int { return int(int64(a.Id>>1) - int64(b.Id>>1)) })
	m.members = members
}

func (m *model) fail(t *testing.T, format string, args ...any) {
	t.Helper()
	for _, line := range m.log[max(0, len(m.log)-60):] {
		t.Log(line)
	}
	t.Fatalf("at %s: %s", m.now, fmt.Sprintf(format, args...))
}

func (m *model) run(t *testing.T) {
	nextDisruption := time.Second
	for ; m.now < modelRunTime; m.now += modelStep {
		for _, v := range m.vms {
			if v.up(m.now) {
				v.lastAck = m.now
				if v.frozen && v.caughtUpAt > m.now+time.Hour {
					v.frozen, v.caughtUpAt = false, m.now+modelStep
				}
			}
		}
		if m.now >= nextDisruption {
			m.disrupt()
			nextDisruption = m.now + m.between(modelStep, 3*time.Second)
		}
		m.elect()
		m.join()
		m.deliver()
		m.reconcile(t)
		m.checkQuorum(t)
	}
}

// checkQuorum fails the test if the group can never elect a leader again.
func (m *model) checkQuorum(t *testing.T) {
	alive := 0
	for _, v := range m.voters() {
		if m.holds(v) {
			alive++
		}
	}
	if alive <= len(m.voters())/2 {
		m.fail(t, "of %d voters %d have not lost their disks", len(m.voters()), alive)
	}
}

// Guards against a group that is lost for good because the identities of lost disks fill the
// places of learners, or displace the identities that follow them.
func TestRandomModel_DisksLostInTurn(t *testing.T) {
	for i := range *modelRuns {
		seed := *modelSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { newModel(seed).run(t) })
	}
}
