package bluebellchaos

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"bluebellhaven.org/bluebellsoak/bluebellanswer"
)

// timeline records what was done to a deployment, and when. It is safe for concurrent use.
type timeline struct {
	mu           sync.Mutex
	disturbances []*bluebellanswer.Disturbance
	events       []event
}

// event is one line of the timeline.
type event struct {
	at   time.Time
	text string
}

// note records an event.
func (t *timeline) note(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.events = append(t.events, event{time.Now(), fmt.Sprintf(format, args...)})
}

// begin records the beginning of a disturbance and returns a function that records its end, lasting
// longer by the argument. Without that call it lasts on.
func (t *timeline) begin(effect bluebellanswer.Effect, subject string) func(longer time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	d := &bluebellanswer.Disturbance{Effect: effect, Subject: subject, From: now, To: now.Add(24 * time.Hour)}
	t.disturbances = append(t.disturbances, d)
	return func(longer time.Duration) {
		t.mu.Lock()
		defer t.mu.Unlock()
		d.To = time.Now().Add(longer)
	}
}

// recorded returns the disturbances so far.
func (t *timeline) recorded() []bluebellanswer.Disturbance {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]bluebellanswer.Disturbance, 0, len(t.disturbances))
	for _, d := range t.disturbances {
		list = append(list, *d)
	}
	return list
}

// lines returns the events in order, with their times.
func (t *timeline) lines() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	events := slices.Clone(t.events)
	slices.SortStableFunc(events, func(a, b event) int { return a.at.Compare(b.at) })
	var lines []string
	for _, e := range events {
		lines = append(lines, e.at.Format("15:04:05.000 ")+e.text)
	}
	return lines
}
