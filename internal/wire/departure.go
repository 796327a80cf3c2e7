package wire

// Supersedes reports whether an announcement says something that another one of the same upstream,
// which may be nil, does not: a newer incarnation leaves, or one that drained is gone.
func (d *Departure) Supersedes(known *Departure) bool {
	return known == nil || d.GetBornUnixMs() > known.BornUnixMs ||
		d.GetBornUnixMs() == known.BornUnixMs && d.GetGone() && !known.Gone
}

// Excludes reports whether the incarnation that started at bornUnixMs is gone.
func (d *Departure) Excludes(bornUnixMs int64) bool {
	return d != nil && (bornUnixMs < d.BornUnixMs || d.Gone && bornUnixMs == d.BornUnixMs)
}

// Drains reports whether the incarnation that started at bornUnixMs drains.
func (d *Departure) Drains(bornUnixMs int64) bool {
	return d != nil && !d.Gone && bornUnixMs == d.BornUnixMs
}
