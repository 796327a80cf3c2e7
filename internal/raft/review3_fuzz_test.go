package raft

import (
	"os"
	"strconv"
	"testing"
	"time"
)

// Trial: slow disks, clocks at both ends of the allowed drift, followers that lose power right after they
// answered heartbeats early, cuts one way and both ways, all machines losing power, transfers; reads all the time.
func TestReview3_EarlyAnswersAndPowerLoss(t *testing.T) {
	from, _ := strconv.ParseUint(os.Getenv("FROM"), 10, 64)
	count, _ := strconv.ParseUint(os.Getenv("COUNT"), 10, 64)
	if count == 0 {
		count = 20
	}
	budget := time.Now().Add(80 * time.Second)
	runs, reads, acked := 0, 0, uint64(0)
	for seed := from; seed < from+count && time.Now().Before(budget); seed++ {
		n := 3
		if seed%3 == 2 {
			n = 5
		}
		s := newSim(seed, n, disabledMechanisms{})
		s.maxDelay = time.Duration(1+s.rng.IntN(20)) * time.Millisecond / 4
		for _, nd := range s.nodes {
			nd.clockRate = []float64{0.9, 1.1}[s.rng.IntN(2)]
		}
		s.crashAll()
		for _, nd := range s.nodes {
			s.boot(nd)
		}
		s.run(5 * simElection)
		s.slowDisk = true
		for range 250 {
			if s.failure != "" {
				break
			}
			for _, nd := range s.nodes {
				if nd.core == nil {
					if nd.stopErr != nil {
						s.fail("replica %d stopped: %v", nd.id, nd.stopErr)
					} else if s.rng.IntN(4) == 0 {
						s.boot(nd)
					}
					continue
				}
				s.startRead(nd)
				reads++
				if nd.core != nil && nd.core.IsLeader() {
					s.startWrite(nd)
				}
			}
			nd := s.nodes[s.rng.IntN(n)]
			switch s.rng.IntN(14) {
			case 0, 1: // power loss while it writes, often between an early answer and the sync
				if nd.core != nil && nd.pendingWrite != nil {
					s.crash(nd)
					if s.rng.IntN(2) == 0 {
						s.boot(nd)
					}
				}
			case 2:
				s.isolate(nd.id, true)
			case 3:
				o := s.nodes[s.rng.IntN(n)]
				s.cutLinks[[2]uint64{nd.id, o.id}] = true
			case 4, 5:
				clear(s.cutLinks)
			case 6:
				if s.rng.IntN(6) == 0 {
					s.crashAll()
				}
			case 7:
				if l := s.leader(); l != nil && s.rng.IntN(2) == 0 {
					s.handleResult(l, l.core.Transfer(s.clock(l), nd.id))
				}
			case 8:
				nd.frozenUntil = s.now + time.Duration(s.rng.Int64N(int64(2*simElection)))
			}
			s.run(time.Duration(1+s.rng.IntN(25)) * time.Millisecond)
		}
		runs++
		acked += s.acked
		if s.failure != "" {
			t.Errorf("seed %d: %s", seed, s.failure)
		}
	}
	t.Log("runs", runs, "reads", reads, "acked", acked)
}
