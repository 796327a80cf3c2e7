package raft

import "testing"

// Trial: counts the seeds that show a stale read without the lease margin.
func TestReview3_LeaseMarginSeeds(t *testing.T) {
	n, bad := 0, 0
	for seed := uint64(1); seed <= 60; seed++ {
		i := newSim(seed, 3, disabledMechanisms{})
		leaseWithSlowClock(i)
		if i.failure != "" {
			bad++
			t.Error("intact", seed, i.failure)
		}
		a := newSim(seed, 3, disabledMechanisms{leaseMargin: true})
		leaseWithSlowClock(a)
		if a.failure != "" {
			n++
		}
	}
	t.Log("detected", n, "of 60, intact failures", bad)
}
