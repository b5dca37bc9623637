// Package bluebelleventqueue keeps simulated time: what is to happen, in order.
//
// # Usage
//
//	var agenda bluebelleventqueue.Agenda
//	agenda.At(time.Second, func() { ... })
//	agenda.Run(time.Minute)
package bluebelleventqueue

import (
	"container/heap"
	"time"
)

// Agenda runs what was put on it in order of time, and in order of entry at the same time.
// The zero value is empty and stands at time 0.
type Agenda struct {
	now    time.Duration
	events events
	seq    int
}

// Now returns the simulated time.
func (a *Agenda) Now() time.Duration { return a.now }

// At lets something happen at a time; one that has passed counts as now.
func (a *Agenda) At(at time.Duration, run func()) {
	a.seq++
	heap.Push(&a.events, event{at: max(at, a.now), seq: a.seq, run: run})
}

// After lets something happen a while from now.
func (a *Agenda) After(d time.Duration, run func()) { a.At(a.now+d, run) }

// Run runs all that is to happen up to a time.
func (a *Agenda) Run(until time.Duration) {
	for len(a.events) > 0 && a.events[0].at <= until {
		next := heap.Pop(&a.events).(event)
		a.now = next.at
		next.run()
	}
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push is part of heap.Interface.
func (h *events) Push(x any) { *h = append(*h, x.(event)) }

// Pop is part of heap.Interface.
func (h *events) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
