package wire

// IsLoad reports whether orders of this kind load a model or an adapter.
func (x OrderKind) IsLoad() bool {
	return x == OrderKind_ORDER_LOAD || x == OrderKind_ORDER_LOAD_ADAPTER
}
