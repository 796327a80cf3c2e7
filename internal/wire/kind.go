package wire

// IsLoad reports whether an order of the kind loads a model or an adapter.
func (x OrderKind) IsLoad() bool {
	return x == OrderKind_ORDER_LOAD || x == OrderKind_ORDER_LOAD_ADAPTER
}
