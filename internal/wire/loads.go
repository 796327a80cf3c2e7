package wire

// Units in which FleetLoads counts tokens.
const (
	PrefillUnit = 64
	KVUnit      = 512
)

// Units converts a number of tokens to units, rounded up.
func Units(tokens, unit int) uint32 { return uint32((max(0, tokens) + unit - 1) / unit) }
