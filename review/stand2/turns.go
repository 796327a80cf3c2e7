package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"review/stand2/platform"
)

// The bounds of the deployment.
const (
	leaseTime   = 3 * time.Second // lease_ms
	catchUpTime = 4 * time.Second // catch_up_s
	restartTime = 300 * time.Millisecond
)

// given is an order as a runner has seen it.
type given struct {
	at     time.Duration
	holder string
	fence  uint64
}

// orderBook holds the orders that each runner was given.
type orderBook struct {
	mu       sync.Mutex
	byRunner map[string][]given
	last     given
}

func (b *orderBook) add(runner string, g given) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.byRunner[runner] = append(b.byRunner[runner], g)
	b.last = g
}

func (b *orderBook) lastHolder() given {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.last
}

// turns returns the places where two holders took turns at one runner: one, another, and the first again, all within
// lease_ms.
func (b *orderBook) turns() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for runner, list := range b.byRunner {
		for i := 2; i < len(list); i++ {
			if list[i].holder == list[i-1].holder {
				continue
			}
			// The last order of the same holder before the other one's.
			for k := i - 1; k >= 0 && list[i].at-list[k].at < leaseTime; k-- {
				if list[k].holder == list[i].holder {
					out = append(out, fmt.Sprintf("%s: %s (fence %d) at %.3f s, %s (fence %d) at %.3f s, %s (fence %d) at %.3f s", runner,
						list[k].holder, list[k].fence, list[k].at.Seconds(), list[i-1].holder, list[i-1].fence, list[i-1].at.Seconds(),
						list[i].holder, list[i].fence, list[i].at.Seconds()))
					break
				}
			}
		}
	}
	return out
}

// runTurns kills the holder that gave the last order, and one second later the holder that follows it, and looks whether
// two holders took turns at a runner.
func runTurns(rec *record, trouble bool) (broken []string, err error) {
	d, err := newDeployment(rec, 2)
	if err != nil {
		return nil, err
	}
	defer d.close()
	if err := d.startAll(); err != nil {
		return nil, err
	}
	book := &orderBook{byRunner: map[string][]given{}}
	for i := range 3 {
		s := &server{ID: fmt.Sprintf("i-runner-%d", i+1), Service: engineName, Slots: 64, Engine: true, Controls: d.controlAddresses(),
			models: map[string]map[string]bool{modelName: {}}}
		s.OnOrder = func(o platform.Order, status int) {
			fence := uint64(0)
			if o.FenceToken != nil {
				fence = *o.FenceToken
			}
			book.add(s.ID, given{rec.now(), o.Holder, fence})
			rec.add("order at %s: %s %s/%s from holder %s, fence %d, answered %d", s.ID, o.Operation, o.Model, o.Adapter, o.Holder, fence, status)
		}
		if err := startServer(s, fmt.Sprintf("%s:%d", d.address(200+i), d.ports.front)); err != nil {
			return nil, err
		}
		defer s.close()
	}
	if err := d.putConfig(desiredState(7), 15*time.Second); err != nil {
		return nil, err
	}
	if err := d.awaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	wg.Go(func() { streamAdapters(ctx, d, 30, &wg) })
	time.Sleep(4 * time.Second)
	for rec.now() < 100*time.Second && len(book.turns()) == 0 {
		if err := killInTurn(d, book, trouble); err != nil {
			return nil, err
		}
		// No VM counts as lost any more before the next round.
		time.Sleep(catchUpTime + time.Second)
	}
	return book.turns(), nil
}

// killInTurn kills the holder of the last order and, once another one has given orders, that one. Both are started again.
func killInTurn(d *deployment, book *orderBook, trouble bool) error {
	first := book.lastHolder()
	if d.rec.now()-first.at > time.Second {
		return errors.New("no orders are given")
	}
	if !trouble {
		time.Sleep(2 * time.Second)
		return nil
	}
	if err := killAndRestart(d, first.holder); err != nil {
		return err
	}
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if second := book.lastHolder(); second.holder != first.holder {
			time.Sleep(200 * time.Millisecond)
			return killAndRestart(d, second.holder)
		}
	}
	return nil
}

// killAndRestart kills a control VM's process and has it started again shortly afterwards.
func killAndRestart(d *deployment, name string) error {
	for _, v := range d.all(true) {
		if v.name == name {
			d.rec.add("%s is killed", name)
			v.kill()
			time.AfterFunc(restartTime, func() { _ = v.start() })
			return nil
		}
	}
	return fmt.Errorf("no VM is named %s", name)
}
