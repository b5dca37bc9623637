// Package bluebelleventqueue runs functions in the order of simulated time.
//
// # Usage
//
//	var queue bluebelleventqueue.Queue
//	queue.At(time.Second, func() { ... })
//	queue.Run(time.Minute)
package bluebelleventqueue

import (
	"container/heap"
	"time"
)

// Queue holds functions with the simulated times at which they run. Functions with the same
// time run in the order in which they were added. The zero value is an empty queue at time 0.
type Queue struct {
	now    time.Duration
	events eventHeap
	seq    int
}

// Now returns the simulated time.
func (q *Queue) Now() time.Duration { return q.now }

// At schedules a function for a time. A time in the past counts as the present time.
func (q *Queue) At(at time.Duration, run func()) {
	q.seq++
	heap.Push(&q.events, event{at: max(at, q.now), seq: q.seq, run: run})
}

// After schedules a function for the present time plus d.
func (q *Queue) After(d time.Duration, run func()) { q.At(q.now+d, run) }

// Run runs all functions that are due at or before a time, including those that are added
// meanwhile. Now then returns the time of the last function that ran.
func (q *Queue) Run(until time.Duration) {
	for len(q.events) > 0 && q.events[0].at <= until {
		next := heap.Pop(&q.events).(event)
		q.now = next.at
		next.run()
	}
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

// eventHeap implements heap.Interface; its first event is the next one to run.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
