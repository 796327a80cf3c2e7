package state

import (
	"gentiankeel/internal/streamorigin"
	"gentiankeel/internal/wire"
)

// maxRecordedOrigins bounds the recorded origins of streams; the oldest are forgotten first.
const maxRecordedOrigins = 1 << 15

// originTable holds the versions that began streams, in the order in which they were first recorded.
type originTable struct {
	software map[uint64]string
	order    []uint64
}

func newOriginTable() originTable { return originTable{software: map[uint64]string{}} }

func (t *originTable) put(key uint64, software string) {
	if known, ok := t.software[key]; ok {
		t.software[key] = streamorigin.Join(known, software)
		return
	}
	if len(t.order) >= maxRecordedOrigins {
		delete(t.software, t.order[0])
		t.order = t.order[1:]
	}
	t.software[key] = software
	t.order = append(t.order, key)
}

func (t *originTable) list() *wire.OriginList {
	if len(t.order) == 0 {
		return nil
	}
	l := &wire.OriginList{}
	for _, key := range t.order {
		l.Add(key, t.software[key])
	}
	return l
}

// recordOrigins adds origins of streams. It is idempotent.
func (m *Machine) recordOrigins(cmd *wire.RecordOrigins) *wire.Result {
	l := cmd.GetOrigins()
	if cmd.GetToken() == 0 || cmd.Token < m.software.GetToken() {
		return m.invalidResult("origins need the fencing token of the coordinator that recorded the software")
	}
	if len(l.GetKeys()) > maxRecordedOrigins || len(l.GetVersions()) != len(l.GetKeys()) {
		return m.invalidResult("a record of origins has too many keys, or keys without a version")
	}
	for _, name := range l.GetSoftware() {
		if !(&wire.ServiceSoftware{Service: "any", Version: name}).IsRecordable() {
			return m.invalidResult("a recorded origin needs a valid name of a version")
		}
	}
	if !m.software.HasSeveralVersions() {
		return m.invalidResult("origins are recorded only while several versions of a service's software are")
	}
	l.Each(m.origins.put)
	return m.okResult()
}

// Origins returns the versions that began streams, oldest first; nil if there are none.
func (m *Machine) Origins() *wire.OriginList {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.origins.list()
}
