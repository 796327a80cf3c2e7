package wire

import "unicode/utf8"

// maxSoftwareNameBytes bounds the names of services and of versions of software in the replicated log.
const maxSoftwareNameBytes = 256

// IsRecordable reports whether the replicated log accepts a version of software.
func (s *ServiceSoftware) IsRecordable() bool {
	return s.GetService() != "" && isSoftwareName(s.GetService()) && isSoftwareName(s.GetVersion())
}

// HasSeveralVersions reports whether several versions of the software of one service run or ran lately.
func (r *SoftwareRecord) HasSeveralVersions() bool {
	seen := map[string]bool{}
	for _, s := range r.GetVersions() {
		if seen[s.Service] {
			return true
		}
		seen[s.Service] = true
	}
	return false
}

func isSoftwareName(name string) bool {
	return len(name) <= maxSoftwareNameBytes && utf8.ValidString(name)
}
