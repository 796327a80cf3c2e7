package suspect

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A request ran beside one that ends upstreams, and then beside another.
func TestLoss_BesideTwoThatEndUpstreams(t *testing.T) {
	is := is.New(t)
	a, b, i := request("a"), request("b"), request("i")
	tally := NewTally()
	for n, runs := range [][]*Request{{a, i}, {b, i}, {a}, {b}} {
		for _, r := range runs {
			tally.RecordLoss(time.Duration(n)*time.Second, lostOn(r, n))
		}
	}
	now := 3*time.Second + answerReportTime
	is.True(held(tally, now, a))
	is.True(held(tally, now, b))
	is.True(!held(tally, now, i))
}

// requestBeside returns a tally in which d ended three upstreams and i ran beside it each time.
func requestBeside(d, i *Request) *Tally {
	t := NewTally()
	for n := 1; n <= QuarantineLosses; n++ {
		t.RecordLoss(time.Duration(n)*time.Second, lostOn(d, n))
		t.RecordLoss(time.Duration(n)*time.Second, lostOn(i, n))
	}
	return t
}

func TestLoss_RequestBesideTheOneToBlame(t *testing.T) {
	is := is.New(t)
	d, i, now := request("d"), request("i"), 3*time.Second
	tally := requestBeside(d, i)
	is.True(held(tally, now, d) != held(tally, now, i)) // one explains the losses
	if held(tally, now, i) {
		d, i = i, d
	}
	tally.RecordLoss(9*time.Second, lostOn(i, 4)) // while d could not run
	is.True(held(tally, 9*time.Second, i))
	is.True(!held(tally, 9*time.Second, d))
	tally.RecordLoss(10*time.Second, lostOn(d, 5))
	is.True(held(tally, 10*time.Second, i))
	is.True(held(tally, 10*time.Second, d)) // both end upstreams
}

func TestLoss_RequestBesideWasAnswered(t *testing.T) {
	is := is.New(t)
	d, i := request("d"), request("i")
	tally := requestBeside(d, i)
	answered(tally, 3*time.Second, i, "v1")
	is.True(held(tally, 3*time.Second, d))
	is.True(!held(tally, 3*time.Second, i))
}

// Requests that are alike in one trait end upstreams. It is told from those that they share with
// sound requests.
func TestTraits_AlikeInOne(t *testing.T) {
	make3 := func(path, query, body string, n int) *Request {
		pick := func(s string) string {
			if s == "" {
				return fmt.Sprint("any", n)
			}
			return s
		}
		return NewRequest("POST", "h", pick(path), pick(query), []byte(pick(body)), "m", []string{"a", fmt.Sprint("c", n%2)})
	}
	for name, c := range map[string]struct{ path, query, body string }{
		"any query":          {"/p", "", "b"},
		"any body":           {"/p", "q", ""},
		"any path":           {"", "q", "b"},
		"any query and body": {"/p", "", ""},
		"any path and query": {"", "", "b"},
		"any path and body":  {"", "q", ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tally, now := NewTally(), Time(0)
			for n := range 40 { // sound requests that share the other traits
				now += 250 * time.Millisecond
				sound := []*Request{make3("/p", "sound", fmt.Sprint("s", n), n), make3("/s", "q", fmt.Sprint("s", n), n), make3("/s", "sound", "b", n)}
				for i, has := range []string{c.path, c.query, c.body} {
					if has == "" || c.path+c.query+c.body != has {
						answered(tally, now, sound[i], "v1")
					}
				}
				if n%4 == 0 && n/4 < 6 {
					tally.RecordLoss(now, lostOn(make3(c.path, c.query, c.body, n), n))
				}
			}
			is.True(held(tally, now, make3(c.path, c.query, c.body, 100)))
			is.True(!held(tally, now, make3("/s", "sound", "sound", 100)))
			if c.path != "" && c.query+c.body != "" {
				is.True(!held(tally, now, make3("/p", "sound", "sound", 100)))
			}
		})
	}
}

// The same as a part of the prompt, beside parts that sound requests have.
func TestTraits_PromptPart(t *testing.T) {
	is := is.New(t)
	tally := NewTally()
	of := func(n int, parts ...string) *Request {
		return NewRequest("POST", "h", "/p", "", fmt.Append(nil, n), "m", parts)
	}
	for n := range 4 {
		now := time.Duration(n) * time.Second
		tally.RecordLoss(now, lostOn(of(n, "shared", "bad"), n))
		answered(tally, now, of(100+n, "shared"), "v1")
	}
	is.True(held(tally, 4*time.Second, of(200, "bad", "new")))
	is.True(!held(tally, 4*time.Second, of(201, "shared")))
}

// Sound requests ran before the first loss only, so that nothing but their answers tells the part
// that all requests share from the two that end upstreams.
func TestTraits_SharedPartAnsweredBefore(t *testing.T) {
	is := is.New(t)
	tally := NewTally()
	of := func(n int, parts ...string) *Request {
		return NewRequest("POST", "h", "/p", "", fmt.Append(nil, n), "m", parts)
	}
	for n := range 8 {
		now := time.Minute + time.Duration(n)*time.Second
		tally.RecordLoss(now, lostOn(of(n, "shared", fmt.Sprint("bad", n%2)), n))
		if n == 2 {
			for _, trait := range of(0, "shared").TraitsOn("v1")[1:] {
				tally.RecordAnswers(now, AnswerReport{trait, []AnswerAge{{upstreamAt(1000), 20 * time.Second}}})
			}
		}
	}
	is.True(held(tally, 68*time.Second, of(200, "shared", "bad0")))
	is.True(held(tally, 68*time.Second, of(201, "shared", "bad1")))
	is.True(!held(tally, 68*time.Second, of(202, "shared")))
}

// Several requests for one model end upstreams; sound ones for it run beside each, few are answered.
func TestTraits_SeveralRequestsOfOneModel(t *testing.T) {
	is := is.New(t)
	of := func(name string) *Request {
		return NewRequest("POST", "h", "/"+name, "", []byte(name), "m", nil)
	}
	tally := NewTally()
	for n := range 10 {
		now := time.Duration(n) * time.Second
		tally.RecordLoss(now, lostOn(of(fmt.Sprint("bad", n%5)), n))
		tally.RecordLoss(now, lostOn(of(fmt.Sprint("beside", n)), n))
	}
	answered(tally, 9*time.Second, of("sound"), "v1")
	for n := range 5 {
		is.True(held(tally, 9500*time.Millisecond, of(fmt.Sprint("bad", n))))
	}
	is.True(!held(tally, 9500*time.Millisecond, of("sound")))
}

// Requests of several routes are for one resource or have bodies that begin alike, which ends upstreams.
func TestTraits_SeveralRoutes(t *testing.T) {
	is := is.New(t)
	long := func(head string) []byte { return fmt.Appendf(nil, "%-100s", head) }
	get := NewRequest("GET", "a", "/x/7f", "", nil, "", nil)
	post := NewRequest("POST", "b", "/y/7f/", "", long("bad"), "", nil)
	stream := NewRequest("POST", "c", "/z", "", append(long("bad"), "more"...), "m", nil)
	tally := NewTally()
	for n := range 3 {
		tally.RecordLoss(time.Duration(n)*100*time.Millisecond, lostAfter(get, n, 95*time.Millisecond))
	}
	now := 10 * time.Second
	is.True(held(tally, now, get))
	is.True(!held(tally, now, post)) // may end none
	tally.RecordLoss(now, lostOn(post, 10))
	now += answerReportTime
	is.True(held(tally, now, post))
	is.True(!held(tally, now, stream))
	tally.RecordLoss(2*now, lostOn(stream, 20))
	tally.RecordLoss(2*now+time.Second, lostOn(stream, 21))
	is.True(held(tally, 2*now+2*time.Second, NewRequest("POST", "d", "/any", "", append(long("bad"), "other"...), "", nil)))
	for _, sound := range []*Request{NewRequest("GET", "a", "/x/8", "", nil, "", nil), NewRequest("POST", "c", "/z", "", long("good"), "m", nil)} {
		is.True(!held(tally, 2*now+2*time.Second, sound))
	}
}

// A sound request for the resource runs beside the one that ends upstreams, and is not answered yet.
func TestTraits_ResourceBesideTheOneToBlame(t *testing.T) {
	is := is.New(t)
	bad, beside := NewRequest("POST", "a", "/x/7f", "", []byte("bad"), "", nil), NewRequest("GET", "a", "/y/7f", "", nil, "", nil)
	tally := NewTally()
	for n := range 3 {
		tally.RecordLoss(time.Duration(n)*time.Second, lostOn(bad, n))
		tally.RecordLoss(time.Duration(n)*time.Second, lostOn(beside, n))
	}
	tally.RecordLoss(3*time.Second, lostOn(bad, 3)) // on its own
	is.True(held(tally, 4*time.Second, bad))
	is.True(!held(tally, 4*time.Second, NewRequest("PUT", "a", "/z/7f", "", nil, "", nil)))
}

// Requests with a part ran beside one without it, which ends upstreams, and one where an upstream ended for
// another reason.
func TestTraits_PartBesideTheOneToBlame(t *testing.T) {
	is := is.New(t)
	bad := request("bad")
	of := func(n int) *Request { return NewRequest("POST", "h", "/p", "", fmt.Append(nil, n), "m", []string{"c"}) }
	tally := NewTally()
	for n := range 3 {
		tally.RecordLoss(time.Duration(n)*time.Second, lostOn(bad, n))
		tally.RecordLoss(time.Duration(n)*time.Second, lostOn(of(n), n))
	}
	tally.RecordLoss(9*time.Second, lostOn(of(9), 9))
	is.True(held(tally, 10*time.Second, bad))
	is.True(!held(tally, 10*time.Second, of(10)))
}

// A path ends upstreams; each request for it is tried twice.
func TestTraits_PathOfRequestsTriedTwice(t *testing.T) {
	for name, pause := range map[string]time.Duration{"TriedAgainLater": time.Second, "TriedAgainAtOnce": 100 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			of := func(n int) *Request { return NewRequest("POST", "h", "/p", "", fmt.Append(nil, n), "", nil) }
			tally, ends, now := NewTally(), 0, Time(0)
			for ; !held(tally, now+pause, of(1000)) && ends < 20; ends++ {
				now = settledTime + time.Duration(ends/2)*2*time.Second + time.Duration(ends%2)*pause
				tally.RecordLoss(now, lostOn(of(ends/2), ends))
			}
			is.True(ends <= 6)
		})
	}
}

// A coordinator took over from one whose entries have all restarted.
func TestTakeover_PathNeverAnswered(t *testing.T) {
	is := is.New(t)
	of := func(n int) *Request { return NewRequest("POST", "h", "/p", "", fmt.Append(nil, n), "", nil) }
	tally := NewTally()
	for n := range fieldQuarantineLosses {
		now := attachTime + time.Duration(n)*600*time.Millisecond
		is.True(!held(tally, now+answerReportTime, of(1000)))
		tally.RecordLoss(now, lostOn(of(n), n))
	}
	is.True(held(tally, settledTime, of(1000)))
}

// Upstreams end all the time, and a few of them while they run the first requests for a path.
func TestTraits_PathAmongManyEnds(t *testing.T) {
	is := is.New(t)
	of := func(n int) *Request { return NewRequest("POST", "h", "/p", "", fmt.Append(nil, n), "", nil) }
	tally := NewTally()
	for n := range fieldQuarantineLosses {
		now := time.Duration(n+1) * time.Second
		for i := range 3 {
			tally.Ended(now, End{Incarnation: upstreamAt(100 + 10*n + i), LastHeard: now, Latest: now})
		}
		is.True(!held(tally, now+answerReportTime, of(1000)))
		tally.RecordLoss(now, lostOn(of(n), n))
	}
	is.True(held(tally, 6*time.Second, of(1000)))
}

// Upstreams that ran different requests for a path lost power at once, before any was answered.
func TestPowerLoss_PathNeverAnswered(t *testing.T) {
	is := is.New(t)
	of := func(n int) *Request { return NewRequest("POST", "h", "/p", "", fmt.Append(nil, n), "", nil) }
	tally := NewTally()
	for n := range 10 {
		l := lostOn(of(n%7), n)
		l.Age = time.Duration(n) * 20 * time.Millisecond
		tally.RecordLoss(time.Second, l)
	}
	is.True(!held(tally, time.Second+answerReportTime, of(1000)))
}

// A coordinator takes over: one entry tells of its losses, another one of its answers some time later.
func TestTakeover_SharedTraitWasAnswered(t *testing.T) {
	is := is.New(t)
	of := func(n int) *Request { return NewRequest("POST", "h", "/p", "", fmt.Append(nil, n), "m", []string{"c"}) }
	tally := NewTally()
	for n := range 2 * fieldQuarantineLosses {
		l := lostOn(of(n), n)
		l.Age = time.Duration(n) * time.Second
		tally.RecordLoss(0, l)
	}
	is.True(!held(tally, attachTime-1, of(100)))
	for range maxAnswers {
		answered(tally, attachTime-1, of(101), "v1")
	}
	is.True(!held(tally, attachTime, of(100)))
}
