package lease

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"gentiankeel/internal/wire"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "7")
	}
	os.Exit(m.Run())
}

const ttl = 3 * time.Second

func scheduler(fence uint64) *wire.Lease {
	return &wire.Lease{Name: "scheduler/tay", Holder: "a", Fence: fence, TtlMs: uint32(ttl / time.Millisecond)}
}

func TestKeeper_NewLeaderGivesAWholeSpan(t *testing.T) {
	is := is.New(t)
	k := NewKeeper()
	k.Lead(10*time.Second, []*wire.Lease{scheduler(1)})
	is.Equal(len(k.Expire(10*time.Second+ttl-1)), 0)
	is.Equal(k.Expire(10*time.Second+ttl), []Expired{{Name: "scheduler/tay", Fence: 1}})
}

func TestKeeper_ExpiredLeaseIsNotRevived(t *testing.T) {
	is := is.New(t)
	k := NewKeeper()
	k.Lead(0, []*wire.Lease{scheduler(1)})
	is.True(k.Renew(time.Second, "scheduler/tay", 1))
	is.True(!k.Renew(time.Second+ttl, "scheduler/tay", 1))
}

func TestKeeper_RenewalUnderAnOldFenceIsRefused(t *testing.T) {
	is := is.New(t)
	k := NewKeeper()
	k.Lead(0, []*wire.Lease{scheduler(2)})
	is.True(!k.Renew(time.Second, "scheduler/tay", 1))
}

func TestTerm_FrozenHolderDoesNotActAfterItWakes(t *testing.T) {
	is := is.New(t)
	term := NewTerm(ttl)
	term.Granted(0, 1)
	is.True(term.Valid(time.Second))
	is.True(!term.Valid(time.Minute)) // woke up late
	term.Renewed(time.Minute, 1)      // an answer that was on its way
	is.True(!term.Valid(time.Minute))
}

// A holder's term never overlaps the span after its lease has ended at the keeper, with
// any delays of requests and answers and a clock of the holder that runs up to 5% slow.
func TestTerm_RandomDelaysNeverOverlapASuccessor(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rate := rapid.Float64Range(0.95, 1.05).Draw(rt, "holder clock rate")
		local := func(real time.Duration) time.Duration { return time.Duration(float64(real) * rate) }
		k := NewKeeper()
		k.Lead(0, nil)
		term := NewTerm(ttl)
		now := time.Duration(0)
		sent := local(now)
		now += time.Duration(rapid.Int64Range(0, int64(ttl)).Draw(rt, "grant delay"))
		k.Granted(now, scheduler(1))
		term.Granted(sent, 1)
		ended := false
		for i := 0; i < 30; i++ {
			now += time.Duration(rapid.Int64Range(0, int64(ttl)).Draw(rt, "step"))
			for range k.Expire(now) {
				k.Ended("scheduler/tay", 1)
				ended = true
			}
			if ended && term.Valid(local(now)) {
				rt.Fatalf("holder acts at %v after its lease has ended", now)
			}
			if !term.Valid(local(now)) {
				continue
			}
			sent := local(now)
			now += time.Duration(rapid.Int64Range(0, int64(ttl/2)).Draw(rt, "request delay"))
			if k.Renew(now, "scheduler/tay", 1) {
				term.Renewed(sent, 1)
			}
		}
	})
}
