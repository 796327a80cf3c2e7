package wire

// WithDocument returns a copy of the record with another document: none, or a delta that
// yields the full one.
func (x *RoutingRecord) WithDocument(document []byte) *RoutingRecord {
	return &RoutingRecord{Version: x.GetVersion(), Digest: x.GetDigest(), Index: x.GetIndex(), Document: document}
}
