package state

import (
	"container/heap"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"gentiankeel/internal/wire"
)

const (
	// finishGrace is the time after an attempt's deadline in which it may still be
	// finished before its outcome is reported to resends as unknown.
	finishGrace = 5 * time.Second
	// forgottenTTL is how long a key is refused after the end of its window.
	forgottenTTL = 7 * 24 * time.Hour
	// MaxAnswerBytes bounds a stored answer's body.
	MaxAnswerBytes = 256 << 10
	// defaultLedgerWindow is the ledger window before the first applied file.
	defaultLedgerWindow = 24 * time.Hour
	// defaultMaxDeadline is the longest deadline before the first applied file.
	defaultMaxDeadline = time.Hour
)

type ledgerKey struct {
	caller string
	key    string
}

// ledgerTable is the idempotency ledger. A key is live from its begin to the end of its
// window. Then it is forgotten: only its hash is kept, and it is still refused. When that
// expires too, the key can be begun anew.
type ledgerTable struct {
	live           map[ledgerKey]*wire.LedgerEntry
	expiry         expiryHeap      // of live
	forgotten      map[uint64]bool // by hash
	forgottenQueue []forgottenKey  // by ascending expiry
	answerBytes    int64           // bytes of the stored answers' bodies
}

type forgottenKey struct {
	hash      uint64
	expiresAt int64 // Unix ms
}

func newLedgerTable() ledgerTable {
	return ledgerTable{live: map[ledgerKey]*wire.LedgerEntry{}, forgotten: map[uint64]bool{}}
}

func ledgerKeyOf(e *wire.LedgerEntry) ledgerKey { return ledgerKey{e.Caller, e.Key} }

// ledgerBegin checks and records a key in one step. NEW is answered only for a key that is
// neither live nor forgotten. A caller whose NEW answer was lost begins the key again and
// finds its own attempt named as the holder of the key.
func (m *Machine) ledgerBegin(cmd *wire.LedgerBegin) *wire.Result {
	if !isName(cmd.GetCaller()) || !isName(cmd.GetKey()) || !isName(cmd.GetAttempt()) || !isName(cmd.GetEntry()) || !isDigest(cmd.GetDigest()) {
		return m.invalidResult("a key needs a caller, a body digest, an attempt and an entry")
	}
	k := ledgerKey{cmd.Caller, cmd.Key}
	e := m.ledger.live[k]
	if e != nil && m.now < e.ExpiresUnixMs && !m.disabled.ledger {
		return m.liveKeyResult(e, cmd.Digest)
	}
	r := m.okResult()
	switch {
	case e != nil && !m.disabled.ledger, m.ledger.forgotten[hashKey(k)], m.isExpiredUUID(cmd.Key):
		r.Ledger = wire.LedgerStatus_LEDGER_KEY_EXPIRED
		return r
	case len(m.ledger.live) >= m.opts.LedgerKeys || m.ledger.answerBytes >= m.opts.LedgerAnswerBytes:
		r.Ledger = wire.LedgerStatus_LEDGER_FULL
		return r
	}
	deadline := m.now + m.boundDeadline(cmd.DeadlineMs).Milliseconds() + finishGrace.Milliseconds()
	m.ledger.put(&wire.LedgerEntry{
		Caller: cmd.Caller, Key: cmd.Key, Digest: cmd.Digest, Attempt: cmd.Attempt, Entry: cmd.Entry,
		Status:         wire.LedgerStatus_LEDGER_IN_PROGRESS,
		DeadlineUnixMs: deadline,
		ExpiresUnixMs:  max(deadline, m.now+m.ledgerWindow().Milliseconds()),
	})
	r.Ledger = wire.LedgerStatus_LEDGER_NEW
	r.Attempt = cmd.Attempt
	return r
}

// liveKeyResult returns the answer to the begin of a live key.
func (m *Machine) liveKeyResult(e *wire.LedgerEntry, digest string) *wire.Result {
	r := m.okResult()
	if e.Digest != digest {
		r.Ledger = wire.LedgerStatus_LEDGER_KEY_REUSED
		return r
	}
	r.Ledger = m.ledgerStatus(e)
	r.Attempt = e.Attempt
	r.Answer = e.Answer
	return r
}

// ledgerStatus returns the entry's status at the state time: a call that is in progress
// past its deadline is unknown.
func (m *Machine) ledgerStatus(e *wire.LedgerEntry) wire.LedgerStatus {
	if e.Status == wire.LedgerStatus_LEDGER_IN_PROGRESS && m.now >= e.DeadlineUnixMs {
		return wire.LedgerStatus_LEDGER_UNKNOWN
	}
	return e.Status
}

// ledgerFinish records the outcome reported by the attempt that holds the key. A late
// answer changes unknown to done. Unknown never changes to not run, because a resend may
// already have been answered that the call may have run.
func (m *Machine) ledgerFinish(cmd *wire.LedgerFinish) *wire.Result {
	e := m.ledger.live[ledgerKey{cmd.GetCaller(), cmd.GetKey()}]
	if e == nil || e.Attempt != cmd.Attempt {
		return m.invalidResult("the attempt does not hold the key")
	}
	status := m.ledgerStatus(e)
	switch cmd.Status {
	case wire.LedgerStatus_LEDGER_DONE:
		if status == wire.LedgerStatus_LEDGER_DONE {
			return m.ledgerResult(status, "the first answer is kept")
		}
		return m.storeAnswer(e, cmd.Answer)
	case wire.LedgerStatus_LEDGER_UNKNOWN:
		if status == wire.LedgerStatus_LEDGER_DONE {
			return m.ledgerResult(status, "the first answer is kept")
		}
		m.setStatus(e, wire.LedgerStatus_LEDGER_UNKNOWN, nil)
		return m.ledgerResult(wire.LedgerStatus_LEDGER_UNKNOWN, "")
	case wire.LedgerStatus_LEDGER_NOT_RUN:
		if status != wire.LedgerStatus_LEDGER_IN_PROGRESS {
			r := m.invalidResult("the outcome was told to others already")
			r.Ledger = status
			return r
		}
		m.ledger.remove(ledgerKeyOf(e))
		return m.ledgerResult(wire.LedgerStatus_LEDGER_NOT_RUN, "")
	default:
		return m.invalidResult("an attempt finishes as done, unknown or not run")
	}
}

func (m *Machine) ledgerResult(status wire.LedgerStatus, detail string) *wire.Result {
	r := m.okResult()
	r.Ledger = status
	r.Detail = detail
	return r
}

// storeAnswer stores the answer for resends. An answer that is too large to store leaves
// the key's outcome unknown, because the call did run and must not run again.
func (m *Machine) storeAnswer(e *wire.LedgerEntry, a *wire.StoredAnswer) *wire.Result {
	if len(a.GetBody()) > MaxAnswerBytes || len(a.GetContentType()) > maxNameBytes {
		m.setStatus(e, wire.LedgerStatus_LEDGER_UNKNOWN, nil)
		return m.ledgerResult(wire.LedgerStatus_LEDGER_UNKNOWN, "the answer is too large to be stored")
	}
	stored := &wire.StoredAnswer{
		Status: a.GetStatus(), ContentType: strings.ToValidUTF8(a.GetContentType(), ""), Body: a.GetBody(),
	}
	m.setStatus(e, wire.LedgerStatus_LEDGER_DONE, stored)
	return m.ledgerResult(wire.LedgerStatus_LEDGER_DONE, "")
}

func (m *Machine) setStatus(e *wire.LedgerEntry, status wire.LedgerStatus, answer *wire.StoredAnswer) {
	next := proto.CloneOf(e)
	next.Status = status
	next.Answer = answer
	m.ledger.answerBytes += int64(len(answer.GetBody()) - len(e.Answer.GetBody()))
	m.ledger.live[ledgerKeyOf(e)] = next
}

// ledgerAbandon sets the calls in progress of an ended entry to unknown.
func (m *Machine) ledgerAbandon(cmd *wire.LedgerAbandon) *wire.Result {
	for _, e := range m.ledger.live {
		if e.Entry == cmd.GetEntry() && e.Status == wire.LedgerStatus_LEDGER_IN_PROGRESS {
			m.setStatus(e, wire.LedgerStatus_LEDGER_UNKNOWN, nil)
		}
	}
	return m.okResult()
}

// expireKeys moves live keys past their window to the forgotten keys and drops expired
// forgotten keys. While the table of forgotten keys is full, live keys stay: evicting a
// forgotten key early could let a call run twice.
func (m *Machine) expireKeys() {
	l := &m.ledger
	for len(l.forgottenQueue) > 0 && l.forgottenQueue[0].expiresAt <= m.now {
		delete(l.forgotten, l.forgottenQueue[0].hash)
		l.forgottenQueue = l.forgottenQueue[1:]
	}
	for len(l.expiry) > 0 && l.expiry[0].expiresAt <= m.now && len(l.forgottenQueue) < m.opts.ForgottenKeys {
		next := heap.Pop(&l.expiry).(expiryEntry)
		e := l.live[next.key]
		if e == nil || e.ExpiresUnixMs != next.expiresAt {
			continue // stale: the key was removed as not run, and perhaps begun again
		}
		l.forget(next.key, e.ExpiresUnixMs+forgottenTTL.Milliseconds())
	}
}

func (l *ledgerTable) put(e *wire.LedgerEntry) {
	k := ledgerKeyOf(e)
	l.live[k] = e
	heap.Push(&l.expiry, expiryEntry{expiresAt: e.ExpiresUnixMs, key: k})
}

func (l *ledgerTable) remove(k ledgerKey) {
	l.answerBytes -= int64(len(l.live[k].GetAnswer().GetBody()))
	delete(l.live, k)
	if len(l.expiry) > 2*len(l.live)+maxStaleExpiries {
		l.rebuildExpiry()
	}
}

// maxStaleExpiries is the number of heap entries of removed keys that is tolerated
// whatever the number of live keys.
const maxStaleExpiries = 1_024

// rebuildExpiry drops the heap entries of removed keys. Without it, keys that are
// repeatedly begun and finished as not run would grow the heap for a whole window.
func (l *ledgerTable) rebuildExpiry() {
	l.expiry = make(expiryHeap, 0, len(l.live))
	for k, e := range l.live {
		l.expiry = append(l.expiry, expiryEntry{expiresAt: e.ExpiresUnixMs, key: k})
	}
	heap.Init(&l.expiry)
}

func (l *ledgerTable) forget(k ledgerKey, expiresAt int64) {
	l.remove(k)
	h := hashKey(k)
	l.forgotten[h] = true
	l.forgottenQueue = append(l.forgottenQueue, forgottenKey{h, expiresAt})
}

// hashKey returns the hash that is kept of a forgotten key. On a collision the second key
// is refused, which is safe.
func hashKey(k ledgerKey) uint64 {
	sum := sha256.Sum256([]byte(k.caller + "\x00" + k.key))
	return binary.BigEndian.Uint64(sum[:])
}

// isExpiredUUID reports whether a key is a version 7 UUID that was created longer ago than
// the ledger window. Such a key is refused even if its hash is no longer kept.
func (m *Machine) isExpiredUUID(key string) bool {
	const dashes = 4
	if len(key) != 36 || strings.Count(key, "-") != dashes || key[14] != '7' {
		return false
	}
	raw, err := hex.DecodeString(strings.ReplaceAll(key, "-", ""))
	if err != nil || len(raw) != 16 || raw[8]>>6 != 0b10 {
		return false
	}
	createdAt := int64(binary.BigEndian.Uint64(raw) >> 16) // the first 48 bits are Unix ms
	return createdAt+m.ledgerWindow().Milliseconds() <= m.now
}

func (m *Machine) ledgerWindow() time.Duration {
	if s := m.files.current; s != nil {
		return time.Duration(s.Limits.GetLedgerWindowS()) * time.Second
	}
	return defaultLedgerWindow
}

// boundDeadline returns a requested deadline in ms as a duration of at most the applied
// file's maximum, which also replaces a deadline of 0.
func (m *Machine) boundDeadline(ms uint32) time.Duration {
	maxDeadline := defaultMaxDeadline
	if s := m.files.current; s != nil {
		maxDeadline = time.Duration(s.Limits.GetMaxDeadlineMs()) * time.Millisecond
	}
	requested := time.Duration(ms) * time.Millisecond
	if requested == 0 || requested > maxDeadline {
		return maxDeadline
	}
	return requested
}

func isDigest(s string) bool {
	return len(s) == 2*sha256.Size && strings.Trim(s, "0123456789abcdef") == ""
}

// expiryEntry is a heap entry for the end of a live key's window.
type expiryEntry struct {
	expiresAt int64 // Unix ms
	key       ledgerKey
}

type expiryHeap []expiryEntry

func (h expiryHeap) Len() int      { return len(h) }
func (h expiryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h expiryHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.expiresAt != b.expiresAt {
		return a.expiresAt < b.expiresAt
	}
	if a.key.caller != b.key.caller {
		return a.key.caller < b.key.caller
	}
	return a.key.key < b.key.key
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(expiryEntry)) }

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	entry := (*h)[last]
	(*h)[last] = expiryEntry{} // release the key's strings
	*h = (*h)[:last]
	return entry
}
