// Package bluebellusage counts the calls of customers that endpoints began to run, by window of time, and decides
// what is reported of each window to the provider.
//
// The load that it answers: 78 entries count 240 calls a second of 2 to 10 customers. Entries are killed, frozen
// and cut off, their clocks differ and jump, and the leader changes between the decision and the report. The
// counts of a window must be within 5 % of the truth, due 10 s after its end, and never be reported twice with
// different counts.
//
// An entry counts with a Counter and reports running totals to up to three core processes, with FinalThrough once
// the totals of a window no longer change. A core process keeps the highest total of each entry, incarnation,
// window and customer in Totals, so reports may be repeated, reordered or lost. The leader merges the totals of
// all core processes and closes the window with Close. The replicated log decides it, and Reporter selects what
// to send. Clock is the time of day of an entry or core process that one wrong clock does not change.
//
// Nothing here has a clock, socket or goroutine.
//
// # Usage
//
// An entry:
//
//	counter := bluebellusage.NewCounter(bluebellusage.CounterConfig{Window: window, Incarnation: rand.Uint64()})
//	counter.Count(timeOfDay, customer)
//	report, cursor := counter.Report(timeOfDay, cursor)
//
// A core process:
//
//	totals := bluebellusage.NewTotals(window)
//	totals.Record(timeOfDay, entry, report)
//	usage, missing, ok := bluebellusage.Close(bluebellusage.CloseInput{...})
package bluebellusage
