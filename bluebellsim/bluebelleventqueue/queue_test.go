package bluebelleventqueue_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebellsim/bluebelleventqueue"
)

func TestRunFollowsTimeThenInsertionOrder(t *testing.T) {
	var q bluebelleventqueue.Queue
	var order []string
	record := func(name string) func() { return func() { order = append(order, name+" "+q.Now().String()) } }
	q.At(2*time.Second, record("b"))
	q.At(time.Second, func() {
		record("a")()
		q.After(time.Second, record("c"))
		q.At(0, record("past"))
	})
	q.Run(time.Second)
	require.Equal(t, []string{"a 1s", "past 1s"}, order)
	q.Run(time.Minute)
	require.Equal(t, []string{"a 1s", "past 1s", "b 2s", "c 2s"}, order)
	require.Equal(t, 2*time.Second, q.Now())
}
