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

func schedulerLease(fence uint64) *wire.Lease {
	return &wire.Lease{Name: "scheduler/tay", Holder: "a", Fence: fence, TtlMs: uint32(ttl / time.Millisecond)}
}

// A new leader has no record of the last renewal and must not expire a lease early.
func TestKeeper_NewLeader(t *testing.T) {
	is := is.New(t)
	k := NewKeeper()
	k.StartLeading(10*time.Second, []*wire.Lease{schedulerLease(1)})
	is.Equal(len(k.ExpiredLeases(10*time.Second+ttl-1)), 0)
	is.Equal(k.ExpiredLeases(10*time.Second+ttl), []Expired{{Name: "scheduler/tay", Fence: 1}})
}

func TestKeeper_RenewalAfterExpiry(t *testing.T) {
	is := is.New(t)
	k := NewKeeper()
	k.StartLeading(0, []*wire.Lease{schedulerLease(1)})
	is.True(k.Renew(time.Second, "scheduler/tay", 1))
	is.True(!k.Renew(time.Second+ttl, "scheduler/tay", 1))
}

func TestKeeper_RenewalUnderOldFence(t *testing.T) {
	is := is.New(t)
	k := NewKeeper()
	k.StartLeading(0, []*wire.Lease{schedulerLease(2)})
	is.True(!k.Renew(time.Second, "scheduler/tay", 1))
}

// A process that was paused beyond its lease must not act when it resumes, even if the answer
// to a renewal arrives then.
func TestTerm_HolderPausedBeyondTTL(t *testing.T) {
	is := is.New(t)
	term := NewTerm(ttl)
	term.Start(0, 1)
	is.True(term.Valid(time.Second))
	is.True(!term.Valid(time.Minute)) // resumed after the end
	term.Extend(time.Minute, 1)       // a late answer to a renewal
	is.True(!term.Valid(time.Minute))
}

// A holder's term must end before its lease expires at the keeper, for any delay of requests
// and answers and a holder's clock that runs up to 5% slow or fast.
func TestTerm_RandomDelaysNoOverlap(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rate := rapid.Float64Range(0.95, 1.05).Draw(rt, "holder clock rate")
		local := func(real time.Duration) time.Duration { return time.Duration(float64(real) * rate) }
		k := NewKeeper()
		k.StartLeading(0, nil)
		term := NewTerm(ttl)
		now := time.Duration(0)
		sent := local(now)
		now += time.Duration(rapid.Int64Range(0, int64(ttl)).Draw(rt, "grant delay"))
		k.RecordGrant(now, schedulerLease(1))
		term.Start(sent, 1)
		ended := false
		for i := 0; i < 30; i++ {
			now += time.Duration(rapid.Int64Range(0, int64(ttl)).Draw(rt, "step"))
			for range k.ExpiredLeases(now) {
				k.RecordEnd("scheduler/tay", 1)
				ended = true
			}
			if ended && term.Valid(local(now)) {
				rt.Fatalf("the holder's term is valid at %v, after its lease has expired", now)
			}
			if !term.Valid(local(now)) {
				continue
			}
			sent := local(now)
			now += time.Duration(rapid.Int64Range(0, int64(ttl/2)).Draw(rt, "request delay"))
			if k.Renew(now, "scheduler/tay", 1) {
				term.Extend(sent, 1)
			}
		}
	})
}
