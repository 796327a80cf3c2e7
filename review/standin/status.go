package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"gentiankeelreview/platform"
)

func init() { cases["status"] = statusCase }

const (
	runners    = 8   // one of them is grey: 0.125 of the service
	greyShare  = 0.4 // part of its requests that the grey runner fails
	greyStatus = 529 // "overloaded": a status that no registry lists; its class says failure
)

// statusCase: one of eight runners of the service fails part of the requests that it runs, with
// a status of its own in the class of server errors. MIXED is broken if a requester gets a success
// where the runner had answered with a failure.
func statusCase(c *cluster, trouble bool) (bool, error) {
	var failed sync.Map // status that a runner answered with a failure, by request id
	for i := range runners {
		var r *runner
		grey := trouble && i == 0
		handle := func(w http.ResponseWriter, req *http.Request, body []byte) {
			time.Sleep(30 * time.Millisecond)
			if !grey || rand.Float64() >= greyShare {
				r.answer(w, req, body)
				return
			}
			id := req.Header.Get(platform.HeaderRequestID)
			failed.Store(id, greyStatus)
			text := "the order was not booked"
			w.Header().Set(platform.HeaderServerStamp, stamp(r.id, text))
			w.Header().Set("Content-Length", strconv.Itoa(len(text)))
			w.WriteHeader(greyStatus)
			_, _ = io.WriteString(w, text)
			c.rec.note("runner %s answers %s with %d", r.id, id, greyStatus)
		}
		var err error
		// The stand-in is assigned before its first request: it has not pinged yet.
		if r, err = c.startRunner(fmt.Sprintf("i-desk-%d", i+1), "desk", c.ip(3, i+1), handle); err != nil {
			return false, err
		}
	}
	if err := c.begin(deskRoutes(), deskServices); err != nil {
		return false, err
	}
	var wrong, answers atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(6 * time.Second)
	for i := range 6 {
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("o%d-%d", i, n)
				c.rec.note("%s: requester sends POST /order/booking", id)
				status, text, err := sendOne(c.frontAddr(i%len(c.entries)), "POST", "/order/booking", id, `{"order": 1}`)
				if err != nil {
					c.rec.note("%s: no answer: %v", id, err)
					continue
				}
				answers.Add(1)
				c.rec.note("%s: requester gets %d %q", id, status, text)
				if _, bad := failed.Load(id); bad && status >= 200 && status < 300 {
					wrong.Add(1)
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	c.rec.note("%d answers, %d times a success where the runner had answered with a failure", answers.Load(), wrong.Load())
	if answers.Load() < 50 {
		return false, errors.New("too few answers")
	}
	return wrong.Load() > 0, nil
}

// sendOne sends a request on a channel of its own and reads the whole answer.
func sendOne(addr, method, target, id, body string) (int, string, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0, "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
	if _, err := io.WriteString(conn, request(method, target, id, body)); err != nil {
		return 0, "", err
	}
	req, _ := http.NewRequest(method, "http://"+deskHost+target, nil)
	res, err := http.ReadResponse(bufio.NewReader(conn), req)
	if err != nil {
		return 0, "", err
	}
	text, err := io.ReadAll(res.Body)
	return res.StatusCode, string(text), err
}
