// Command reviewstand plays the cases of the independent review that are scripts: it starts
// the system's processes on loopback addresses, with stand-ins for runners, requesters and the
// operator. It exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

var cases = map[string]func(c *cluster, trouble bool) (broken bool, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewstand CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.note("case %s, disruption %v", name, trouble)
	c, err := newCluster(rec, 3, 2)
	if err != nil {
		rec.note("%v", err)
		return 2
	}
	defer c.stop()
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[name](c, trouble)
		done <- result{broken, err}
	}()
	var r result
	select {
	case r = <-done:
	case <-time.After(110 * time.Second):
		r.err = errSetup
	}
	switch {
	case r.err != nil:
		rec.note("the case could not run: %v", r.err)
		return 2
	case r.broken:
		rec.note("the rule was BROKEN")
		return 1
	}
	rec.note("the rule held")
	return 0
}

// begin starts the processes and the runners and waits until requests are served.
func (c *cluster) begin(routes, services []map[string]any) error {
	if err := c.start(); err != nil {
		return err
	}
	if err := c.put(1, routes, services, 20*time.Second); err != nil {
		return err
	}
	if err := c.awaitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(2 * time.Second) // the runners' first pings
	return nil
}
