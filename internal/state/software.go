package state

import "gentiankeel/internal/wire"

// maxSoftwareVersions bounds the recorded versions of software. It equals the number that a coordinator remembers.
const maxSoftwareVersions = 4096

// recordSoftware replaces the record of the versions of software. It is idempotent.
func (m *Machine) recordSoftware(cmd *wire.RecordSoftware) *wire.Result {
	r := cmd.GetRecord()
	if r.GetToken() == 0 || len(r.GetVersions()) > maxSoftwareVersions {
		return m.invalidResult("a record of software needs a fencing token and a bounded number of versions")
	}
	for _, v := range r.Versions {
		if !v.IsRecordable() {
			return m.invalidResult("a recorded version needs a service and a valid name")
		}
	}
	if r.Token < m.software.GetToken() {
		return m.invalidResult("a later coordinator has recorded the software")
	}
	m.software = r
	if !r.HasSeveralVersions() {
		m.origins = newOriginTable()
	}
	return m.okResult()
}

// Software returns the record of the versions of software that run or ran lately, nil if there is none. It must not be
// modified.
func (m *Machine) Software() *wire.SoftwareRecord {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.software
}

// ForgetSoftware removes the record of the versions of software, at a log index from which a build leads that keeps none. An index
// that was applied before changes nothing.
func (m *Machine) ForgetSoftware(index uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if index > m.index {
		m.software, m.origins = nil, newOriginTable()
	}
}
