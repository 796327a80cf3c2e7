package wire

// WithDocument returns a record of the same configuration that holds other bytes for its
// document: none, or a delta to it.
func (x *RoutingRecord) WithDocument(document []byte) *RoutingRecord {
	return &RoutingRecord{Version: x.GetVersion(), Digest: x.GetDigest(), Index: x.GetIndex(), Document: document}
}
