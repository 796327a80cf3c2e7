package grant

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiankeel/internal/wire"
)

// cutOnTwo lets one body be cut off on two upstreams and returns the time of the cuts.
func cutOnTwo(b *bench) Time {
	b.runner("r1", 1, "m1")
	b.runner("r2", 1, "m1")
	for _, other := range []string{"r2", "r1"} {
		k := b.ask(func(k *Ask) {
			k.BodyDigest = "d"
			k.Exclude = []string{other}
		})
		b.granted(b.step(k))
		b.step(Release{Attempt: k.Attempt, Outcome: wire.Outcome_OUTCOME_CUT})
	}
	return b.now
}

func TestDoubt_BodyCutOffTwiceWaitsWhileTheUpstreamsAreSilent(t *testing.T) {
	is := is.New(t)
	b := newBench(t, nil)
	b.runner("r1", 1, "m1")
	b.runner("r2", 1, "m1")
	b.runner("r3", 1, "m1")
	lost := map[string]bool{}
	for range 2 {
		k := b.ask(func(k *Ask) {
			k.BodyDigest = "d"
			for id := range lost {
				k.Exclude = append(k.Exclude, id)
			}
		})
		g := b.granted(b.step(k))
		lost[g.Upstream] = true
		b.step(Release{Attempt: k.Attempt, Outcome: wire.Outcome_OUTCOME_CUT})
	}
	is.Equal(len(lost), 2)
	// A dead upstream is noticed only after its expiry; until then no third one is risked.
	for range 10 {
		k := b.ask(func(k *Ask) {
			k.BodyDigest = "d"
			k.Deadline = b.now + 10*time.Second
			for id := range lost {
				k.Exclude = append(k.Exclude, id)
			}
		})
		is.Equal(len(grants(b.step(k))), 0)
		b.after(time.Second, Tick{})
		b.step(Cancel{Attempt: k.Attempt})
	}
	for id := range lost {
		b.step(UpstreamGone{ID: id, Incarnation: 1})
	}
	k := b.ask(func(k *Ask) { k.BodyDigest = "d" })
	is.Equal(string(b.refused(b.step(k))), "quarantined")
}

func TestDoubt_ProofOfLifeAfterTheCutLetsTheBodyRunAgain(t *testing.T) {
	is := is.New(t)
	b := newBench(t, nil)
	at := cutOnTwo(b)
	b.now++
	b.step(UpstreamAlive{ID: "r1", Incarnation: 1, AsOf: at}) // asked before the cut: no proof
	is.Equal(len(b.core.doubts), 2)
	b.step(UpstreamAlive{ID: "r1", Incarnation: 1, AsOf: at + 1})
	is.Equal(len(b.core.doubts), 1)
}
