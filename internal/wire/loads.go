package wire

import "math/bits"

// Units in which FleetLoads counts tokens.
const (
	PrefillUnit = 64
	KVUnit      = 512
)

// Units converts a number of tokens to units, rounded up.
func Units(tokens, unit int) uint32 { return uint32((max(0, tokens) + unit - 1) / unit) }

// PowerOfTwo rounds a number up to a power of two, so that it is sent only when it has changed much.
func PowerOfTwo(n int) uint32 {
	if n <= 0 {
		return 0
	}
	return 1 << bits.Len(uint(n-1))
}
