package wire

import "unicode/utf8"

// maxSoftwareNameBytes bounds the names of services and of versions of software in the replicated log.
const maxSoftwareNameBytes = 256

// IsRecordable reports whether the replicated log accepts a version of software.
func (s *ServiceSoftware) IsRecordable() bool {
	return s.GetService() != "" && isSoftwareName(s.GetService()) && isSoftwareName(s.GetVersion())
}

func isSoftwareName(name string) bool {
	return len(name) <= maxSoftwareNameBytes && utf8.ValidString(name)
}
