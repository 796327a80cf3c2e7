package control

import "strings"

const entryPrefix = "entry/"

// SessionName returns the name of the lease that stands for an entry's session. entry
// names the process, not just the node: it holds the node id and an incarnation.
func SessionName(entry string) string { return entryPrefix + entry }

// EntryOfSession returns the entry whose session the lease stands for.
func EntryOfSession(name string) (string, bool) { return strings.CutPrefix(name, entryPrefix) }

// SchedulerLease returns the name of the lease of a cell's scheduler.
func SchedulerLease(cell string) string { return "scheduler/" + cell }

// CellOfScheduler returns the cell whose scheduler the lease stands for.
func CellOfScheduler(name string) (string, bool) { return strings.CutPrefix(name, "scheduler/") }
