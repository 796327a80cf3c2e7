package control

import "strings"

const sessionPrefix = "entry/"

// SessionName returns the name of an entry's session lease. entry identifies the
// process, not only the node: it consists of the node id and an incarnation.
func SessionName(entry string) string { return sessionPrefix + entry }

// EntryOfSession returns the entry that a session lease belongs to; false if name is
// not the name of a session lease.
func EntryOfSession(name string) (string, bool) { return strings.CutPrefix(name, sessionPrefix) }

// SchedulerLease returns the name of the lease of a cell's active scheduler.
func SchedulerLease(cell string) string { return "scheduler/" + cell }

// CellOfScheduler returns the cell that a scheduler lease belongs to; false if name is
// not the name of a scheduler lease.
func CellOfScheduler(name string) (string, bool) { return strings.CutPrefix(name, "scheduler/") }
