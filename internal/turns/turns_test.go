package turns

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiankeel/internal/replica"
	"gentiankeel/internal/wire"
)

const interval = 3 * time.Second

func holders(addresses ...string) (out []*wire.Holder) {
	for i, a := range addresses {
		out = append(out, &wire.Holder{Address: a, Token: uint64(i + 1)})
	}
	return out
}

// Guards against orders of a VM before and after those of another one within the interval.
func TestWait_HolderThatIsBackAfterAKill(t *testing.T) {
	is := is.New(t)
	k := New("a", interval, 0) // the killed process may have sent an order just before this one started
	is.Equal(k.Wait(time.Second, holders("a", "b"), true), interval+orderTransit-time.Second)
	is.Equal(k.Wait(interval+orderTransit, holders("a", "b"), true), time.Duration(0))
}

func TestWait_HolderThatWasFrozen(t *testing.T) {
	is := is.New(t)
	k := New("a", interval, 0)
	k.OrderEnded(time.Minute)
	is.Equal(k.Wait(time.Minute+time.Second, holders("a", "b", "c"), true), interval+orderTransit-time.Second)
}

func TestWait_NoOrderOfAnotherVMSinceItsOwn(t *testing.T) {
	is := is.New(t)
	k := New("a", interval, 0)
	k.OrderEnded(time.Second)
	is.Equal(k.Wait(time.Second, holders("b", "a"), true), time.Duration(0))
}

func TestWait_VMThatSentNoOrdersLately(t *testing.T) {
	is := is.New(t)
	k := New("c", interval, 0)
	is.Equal(k.Wait(0, holders("a", "b"), true), time.Duration(0))
	is.Equal(k.Wait(0, nil, true), time.Duration(0))
}

func TestWait_RunnersThatCheckFencingTokens(t *testing.T) {
	is := is.New(t)
	k := New("a", 0, 0)
	is.Equal(k.Wait(0, holders("a", "b"), false), time.Duration(0))
}

// Guards against a first term after an update from a version that records no holders.
func TestWait_HoldersOfAnEarlierVersionUnknown(t *testing.T) {
	is := is.New(t)
	k := New("a", interval, 0)
	is.Equal(k.Wait(time.Second, nil, false), interval+orderTransit-time.Second)
}

// Guards against voters that hand the lead round while none of them knows who sent orders.
func TestSuccessor_HoldersOfAnEarlierVersionUnknown(t *testing.T) {
	is := is.New(t)
	s := replica.Status{ID: 1, Members: []*wire.Member{{Id: 1, Address: "a"}, {Id: 2, Address: "b"}}, Active: map[uint64]bool{1: true, 2: true}}
	is.Equal(New("a", interval, 0).Successor(nil, s), uint64(0))
}

func TestSuccessor_PrefersAVMThatSentNoOrdersLately(t *testing.T) {
	is := is.New(t)
	s := replica.Status{ID: 1, Match: map[uint64]uint64{3: 10, 4: 9}, Active: map[uint64]bool{1: true, 2: true, 3: true, 4: true, 5: true, 6: true}}
	for id, address := range []string{"", "a", "b", "c", "d", "e", "f"} {
		if id > 0 {
			s.Members = append(s.Members, &wire.Member{Id: uint64(id), Address: address, Learner: address == "f"})
		}
	}
	k := New("a", interval, 0)
	is.Equal(k.Successor(holders("a", "e", "b"), s), uint64(3))
	is.Equal(k.Successor(holders("a", "c", "d", "e", "b"), s), uint64(2)) // the last holder
	s.Active[2] = false
	is.Equal(k.Successor(holders("a", "c", "d", "e", "b"), s), uint64(0))
}
