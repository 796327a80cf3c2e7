package wire

// Supersedes reports whether an announcement says more than another one of the same incarnation, which may be
// nil: one that drains has not left yet.
func (d *Departure) Supersedes(known *Departure) bool {
	return known == nil || d.GetGone() && !known.Gone
}
