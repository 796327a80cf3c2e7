package control

import "strings"

const sessionPrefix = "entry/"

// SessionLeaseName returns the name of an entry's session lease. entry identifies the
// process, not only the node: it consists of the node id and an incarnation.
func SessionLeaseName(entry string) string { return sessionPrefix + entry }

// EntryOfSessionLease returns the entry that a session lease belongs to; false if name is
// not the name of a session lease.
func EntryOfSessionLease(name string) (string, bool) { return strings.CutPrefix(name, sessionPrefix) }

// SchedulerLeaseName returns the name of the lease of a cell's active scheduler.
func SchedulerLeaseName(cell string) string { return "scheduler/" + cell }

// CellOfSchedulerLease returns the cell that a scheduler lease belongs to; false if name is
// not the name of a scheduler lease.
func CellOfSchedulerLease(name string) (string, bool) { return strings.CutPrefix(name, "scheduler/") }
