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
	// finishGrace is how long after its deadline an attempt may still be finished
	// before resends are told that its outcome is unknown.
	finishGrace = 5 * time.Second
	// forgottenSpan is how long a key is still refused after its window.
	forgottenSpan = 7 * 24 * time.Hour
	// MaxAnswerBytes bounds a stored answer's body.
	MaxAnswerBytes = 256 << 10
	// defaultWindow is the ledger window before the first applied file.
	defaultWindow = 24 * time.Hour
	// defaultMaxDeadline is the longest deadline before the first applied file.
	defaultMaxDeadline = time.Hour
)

type ledgerKey struct {
	caller string
	key    string
}

// ledgerTable is the idempotency ledger. A key is live from its begin to the end of its
// window, then forgotten but for a hash, and free only after that.
type ledgerTable struct {
	live        map[ledgerKey]*wire.LedgerEntry
	expiry      expiryHeap
	forgotten   map[uint64]bool
	oldest      []forgottenKey // ends ascending
	answerBytes int64
}

type forgottenKey struct {
	hash uint64
	end  int64 // Unix ms
}

func newLedgerTable() ledgerTable {
	return ledgerTable{live: map[ledgerKey]*wire.LedgerEntry{}, forgotten: map[uint64]bool{}}
}

func keyOf(e *wire.LedgerEntry) ledgerKey { return ledgerKey{e.Caller, e.Key} }

// ledgerBegin checks and records a key in one step. NEW is answered once in a key's
// life; a holder whose answer got lost finds its own attempt named as the holder.
func (m *Machine) ledgerBegin(cmd *wire.LedgerBegin) *wire.Result {
	if !isName(cmd.GetCaller()) || !isName(cmd.GetKey()) || !isName(cmd.GetAttempt()) || !isName(cmd.GetEntry()) || !isDigest(cmd.GetDigest()) {
		return m.invalid("a key needs a caller, a body digest, an attempt and an entry")
	}
	k := ledgerKey{cmd.Caller, cmd.Key}
	e := m.ledger.live[k]
	if e != nil && m.now < e.ExpiresUnixMs && !m.off.skipLedgerCheck {
		return m.heldKey(e, cmd.Digest)
	}
	r := m.ok()
	switch {
	case e != nil && !m.off.skipLedgerCheck, m.ledger.forgotten[hashOf(k)], m.isOldKey(cmd.Key):
		r.Ledger = wire.LedgerStatus_LEDGER_KEY_EXPIRED
		return r
	case len(m.ledger.live) >= m.opts.LedgerKeys || m.ledger.answerBytes >= m.opts.LedgerAnswerBytes:
		r.Ledger = wire.LedgerStatus_LEDGER_FULL
		return r
	}
	deadline := m.now + m.deadline(cmd.DeadlineMs).Milliseconds() + finishGrace.Milliseconds()
	m.ledger.put(&wire.LedgerEntry{
		Caller: cmd.Caller, Key: cmd.Key, Digest: cmd.Digest, Attempt: cmd.Attempt, Entry: cmd.Entry,
		Status:         wire.LedgerStatus_LEDGER_IN_PROGRESS,
		DeadlineUnixMs: deadline,
		ExpiresUnixMs:  max(deadline, m.now+m.window().Milliseconds()),
	})
	r.Ledger = wire.LedgerStatus_LEDGER_NEW
	r.Attempt = cmd.Attempt
	return r
}

// heldKey answers for a live key.
func (m *Machine) heldKey(e *wire.LedgerEntry, digest string) *wire.Result {
	r := m.ok()
	if e.Digest != digest {
		r.Ledger = wire.LedgerStatus_LEDGER_KEY_REUSED
		return r
	}
	r.Ledger = m.ledgerStatus(e)
	r.Attempt = e.Attempt
	r.Answer = e.Answer
	return r
}

// ledgerStatus is the entry's status at the state time.
func (m *Machine) ledgerStatus(e *wire.LedgerEntry) wire.LedgerStatus {
	if e.Status == wire.LedgerStatus_LEDGER_IN_PROGRESS && m.now >= e.DeadlineUnixMs {
		return wire.LedgerStatus_LEDGER_UNKNOWN
	}
	return e.Status
}

// ledgerFinish takes the outcome from the attempt that holds the key. A late answer
// turns unknown into done; nothing turns unknown into not run, because a resend may
// have been told already that the call may have run.
func (m *Machine) ledgerFinish(cmd *wire.LedgerFinish) *wire.Result {
	e := m.ledger.live[ledgerKey{cmd.GetCaller(), cmd.GetKey()}]
	if e == nil || e.Attempt != cmd.Attempt {
		return m.invalid("the attempt does not hold the key")
	}
	status := m.ledgerStatus(e)
	switch cmd.Status {
	case wire.LedgerStatus_LEDGER_DONE:
		if status == wire.LedgerStatus_LEDGER_DONE {
			return m.finished(status, "the first answer is kept")
		}
		return m.storeAnswer(e, cmd.Answer)
	case wire.LedgerStatus_LEDGER_UNKNOWN:
		if status == wire.LedgerStatus_LEDGER_DONE {
			return m.finished(status, "the first answer is kept")
		}
		m.setStatus(e, wire.LedgerStatus_LEDGER_UNKNOWN, nil)
		return m.finished(wire.LedgerStatus_LEDGER_UNKNOWN, "")
	case wire.LedgerStatus_LEDGER_NOT_RUN:
		if status != wire.LedgerStatus_LEDGER_IN_PROGRESS {
			r := m.invalid("the outcome was told to others already")
			r.Ledger = status
			return r
		}
		m.ledger.remove(keyOf(e))
		return m.finished(wire.LedgerStatus_LEDGER_NOT_RUN, "")
	default:
		return m.invalid("an attempt finishes as done, unknown or not run")
	}
}

func (m *Machine) finished(status wire.LedgerStatus, detail string) *wire.Result {
	r := m.ok()
	r.Ledger = status
	r.Detail = detail
	return r
}

// storeAnswer keeps the answer for resends. One that is too large to keep leaves the
// key unknown: the call ran, and it must not run again.
func (m *Machine) storeAnswer(e *wire.LedgerEntry, a *wire.StoredAnswer) *wire.Result {
	if len(a.GetBody()) > MaxAnswerBytes || len(a.GetContentType()) > maxNameBytes {
		m.setStatus(e, wire.LedgerStatus_LEDGER_UNKNOWN, nil)
		return m.finished(wire.LedgerStatus_LEDGER_UNKNOWN, "the answer is too large to be stored")
	}
	stored := &wire.StoredAnswer{
		Status: a.GetStatus(), ContentType: strings.ToValidUTF8(a.GetContentType(), ""), Body: a.GetBody(),
	}
	m.setStatus(e, wire.LedgerStatus_LEDGER_DONE, stored)
	return m.finished(wire.LedgerStatus_LEDGER_DONE, "")
}

func (m *Machine) setStatus(e *wire.LedgerEntry, status wire.LedgerStatus, answer *wire.StoredAnswer) {
	next := proto.CloneOf(e)
	next.Status = status
	next.Answer = answer
	m.ledger.answerBytes += int64(len(answer.GetBody()) - len(e.Answer.GetBody()))
	m.ledger.live[keyOf(e)] = next
}

// ledgerAbandon marks what an ended entry had in progress as unknown.
func (m *Machine) ledgerAbandon(cmd *wire.LedgerAbandon) *wire.Result {
	for _, e := range m.ledger.live {
		if e.Entry == cmd.GetEntry() && e.Status == wire.LedgerStatus_LEDGER_IN_PROGRESS {
			m.setStatus(e, wire.LedgerStatus_LEDGER_UNKNOWN, nil)
		}
	}
	return m.ok()
}

// expireKeys forgets live keys past their window, and frees those that were forgotten
// long enough. A live key stays while there is no room to remember that it is
// forgotten: room is never made by letting a key run twice.
func (m *Machine) expireKeys() {
	l := &m.ledger
	for len(l.oldest) > 0 && l.oldest[0].end <= m.now {
		delete(l.forgotten, l.oldest[0].hash)
		l.oldest = l.oldest[1:]
	}
	for len(l.expiry) > 0 && l.expiry[0].at <= m.now && len(l.oldest) < m.opts.ForgottenKeys {
		x := heap.Pop(&l.expiry).(expiring)
		e := l.live[x.key]
		if e == nil || e.ExpiresUnixMs != x.at {
			continue // the key was not run and begun again
		}
		l.forget(x.key, e.ExpiresUnixMs+forgottenSpan.Milliseconds())
	}
}

func (l *ledgerTable) put(e *wire.LedgerEntry) {
	k := keyOf(e)
	l.live[k] = e
	heap.Push(&l.expiry, expiring{at: e.ExpiresUnixMs, key: k})
}

func (l *ledgerTable) remove(k ledgerKey) {
	l.answerBytes -= int64(len(l.live[k].GetAnswer().GetBody()))
	delete(l.live, k)
	if len(l.expiry) > 2*len(l.live)+staleSlack {
		l.rebuildExpiry()
	}
}

// staleSlack is how many heap entries of removed keys are tolerated at any size.
const staleSlack = 1_024

// rebuildExpiry drops the heap entries of removed keys. Without it, keys that are begun
// and not run over and over would grow the heap for a whole window.
func (l *ledgerTable) rebuildExpiry() {
	l.expiry = make(expiryHeap, 0, len(l.live))
	for k, e := range l.live {
		l.expiry = append(l.expiry, expiring{at: e.ExpiresUnixMs, key: k})
	}
	heap.Init(&l.expiry)
}

func (l *ledgerTable) forget(k ledgerKey, end int64) {
	l.remove(k)
	h := hashOf(k)
	l.forgotten[h] = true
	l.oldest = append(l.oldest, forgottenKey{h, end})
}

// hashOf is what stays of a forgotten key. Two keys with one hash make the second one
// refused, which is safe.
func hashOf(k ledgerKey) uint64 {
	sum := sha256.Sum256([]byte(k.caller + "\x00" + k.key))
	return binary.BigEndian.Uint64(sum[:])
}

// isOldKey tells whether a key is a UUID of version 7 made before the window. Such a key
// is refused however long ago it was forgotten.
func (m *Machine) isOldKey(key string) bool {
	const dashes = 4
	if len(key) != 36 || strings.Count(key, "-") != dashes || key[14] != '7' {
		return false
	}
	raw, err := hex.DecodeString(strings.ReplaceAll(key, "-", ""))
	if err != nil || len(raw) != 16 || raw[8]>>6 != 0b10 {
		return false
	}
	made := int64(binary.BigEndian.Uint64(raw) >> 16) // the first 48 bits are Unix ms
	return made+m.window().Milliseconds() <= m.now
}

func (m *Machine) window() time.Duration {
	if s := m.files.current; s != nil {
		return time.Duration(s.Limits.GetLedgerWindowS()) * time.Second
	}
	return defaultWindow
}

// deadline bounds what an entry asks for by the applied file.
func (m *Machine) deadline(ms uint32) time.Duration {
	longest := defaultMaxDeadline
	if s := m.files.current; s != nil {
		longest = time.Duration(s.Limits.GetMaxDeadlineMs()) * time.Millisecond
	}
	asked := time.Duration(ms) * time.Millisecond
	if asked == 0 || asked > longest {
		return longest
	}
	return asked
}

func isDigest(s string) bool {
	return len(s) == 2*sha256.Size && strings.Trim(s, "0123456789abcdef") == ""
}

// expiring is one live key in the order of its window's end.
type expiring struct {
	at  int64 // Unix ms
	key ledgerKey
}

type expiryHeap []expiring

func (h expiryHeap) Len() int      { return len(h) }
func (h expiryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h expiryHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.at != b.at {
		return a.at < b.at
	}
	if a.key.caller != b.key.caller {
		return a.key.caller < b.key.caller
	}
	return a.key.key < b.key.key
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(expiring)) }

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	(*h)[last] = expiring{} // the slot must not keep the key's memory
	*h = (*h)[:last]
	return x
}
