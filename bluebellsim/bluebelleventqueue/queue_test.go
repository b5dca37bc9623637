package bluebelleventqueue_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebellsim/bluebelleventqueue"
)

func TestThingsHappenInOrder(t *testing.T) {
	var a bluebelleventqueue.Agenda
	var order []string
	note := func(name string) func() { return func() { order = append(order, name+" "+a.Now().String()) } }
	a.At(2*time.Second, note("b"))
	a.At(time.Second, func() {
		note("a")()
		a.After(time.Second, note("c"))
		a.At(0, note("past"))
	})
	a.Run(time.Second)
	require.Equal(t, []string{"a 1s", "past 1s"}, order)
	a.Run(time.Minute)
	require.Equal(t, []string{"a 1s", "past 1s", "b 2s", "c 2s"}, order)
	require.Equal(t, 2*time.Second, a.Now())
}
