package bluebelldirectory_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebelldirectory"
)

// applyPages applies all changes after cursor to a view, in pages. It returns the cursor to
// continue from and the number of pages.
func applyPages(d *bluebelldirectory.Directory, v *bluebelldirectory.View, cursor uint64, page int) (uint64, int) {
	for pages := 1; ; pages++ {
		changes, next := d.ChangesSince(cursor, page)
		v.Apply(d.StoreStates(), changes, cursor == 0, len(changes) == page, 0)
		cursor = next
		if len(changes) < page {
			return cursor, pages
		}
	}
}

func TestChangesAreReadInPages(t *testing.T) {
	d, v := bluebelldirectory.New(), bluebelldirectory.NewView()
	d.Reset("s1", nil, 0)
	for i := range 100 {
		d.Add("s1", block(fmt.Sprint(i), 1))
	}
	cursor, pages := applyPages(d, v, 0, 30)
	require.Equal(t, 4, pages)
	for i := range 100 {
		require.Len(t, v.Holders(block(fmt.Sprint(i), 0).Key, 0), 1)
	}
	require.Zero(t, d.MaxPending(cursor))
	d.Remove("s1", block("7", 0).Key)
	require.Equal(t, 1, d.MaxPending(cursor))
	applyPages(d, v, cursor, 30)
	require.Empty(t, v.Holders(block("7", 0).Key, 0))
}

// A partial view may be read for a short time only, since a block that it lists may be gone.
// It must never be used for writing, since a block that it lacks may be held.
func TestPartialViewExpires(t *testing.T) {
	d, v := bluebelldirectory.New(), bluebelldirectory.NewView()
	d.Reset("s1", []bluebelldirectory.Block{block("a", 1), block("b", 1)}, 0)
	changes, _ := d.ChangesSince(0, 1)
	now := time.Minute
	v.Apply(d.StoreStates(), changes, true, true, now)
	key := changes[0].Key
	require.Len(t, v.Holders(key, now+time.Second), 1)
	require.Empty(t, v.WritableStores(now))
	v.Apply(d.StoreStates(), nil, false, true, now+time.Second)
	require.Empty(t, v.Holders(key, now+time.Second+1))
	v.Apply(d.StoreStates(), nil, false, false, now+2*time.Second)
	require.Len(t, v.Holders(key, now+3*time.Second), 1)
	require.Contains(t, v.WritableStores(now), "s1")
}

// Blocks that are added and removed many times must not make the change log grow without
// bound. Followers must get the changes that they lack from any cursor.
func TestSupersededChangesAreRemoved(t *testing.T) {
	d, early, late := bluebelldirectory.New(), bluebelldirectory.NewView(), bluebelldirectory.NewView()
	d.Reset("s1", []bluebelldirectory.Block{block("stays", 1)}, 0)
	cursor, _ := applyPages(d, early, 0, 100)
	for i := range 20_000 {
		d.Add("s1", block(fmt.Sprint(i%10), 1))
		d.Remove("s1", block(fmt.Sprint(i%10), 1).Key)
	}
	require.Less(t, d.MaxPending(0), 5_000)
	d.Add("s1", block("3", 1))
	applyPages(d, early, cursor, 100)
	applyPages(d, late, 0, 100)
	for _, v := range []*bluebelldirectory.View{early, late} {
		require.Len(t, v.Holders(block("stays", 0).Key, 0), 1)
		require.Len(t, v.Holders(block("3", 0).Key, 0), 1)
		require.Empty(t, v.Holders(block("4", 0).Key, 0))
	}
	d.RemoveStore("s1")
	d.Reset("s1", []bluebelldirectory.Block{block("new", 1)}, 0)
	fresh := bluebelldirectory.NewView()
	applyPages(d, fresh, 0, 100)
	require.Len(t, fresh.Holders(block("new", 0).Key, 0), 1)
	require.Empty(t, fresh.Holders(block("stays", 0).Key, 0))
}

// A declaration removes a store, and a later one declares it fresh after it was emptied. A
// follower must not list the blocks that the store held before.
func TestRemovedStoreReturnsWithoutOldBlocks(t *testing.T) {
	d, v := bluebelldirectory.New(), bluebelldirectory.NewView()
	d.Reset("s1", []bluebelldirectory.Block{block("old", 1)}, 0)
	cursor, _ := applyPages(d, v, 0, 100)
	require.Len(t, v.Holders(block("old", 0).Key, 0), 1)
	d.RemoveStore("s1")
	cursor, _ = applyPages(d, v, cursor, 100)
	require.Empty(t, v.Holders(block("old", 0).Key, 0))
	require.Empty(t, d.StoreStates())
	d.Reset("s1", []bluebelldirectory.Block{block("new", 1)}, time.Minute)
	applyPages(d, v, cursor, 100)
	require.Empty(t, v.Holders(block("old", 0).Key, time.Minute))
	require.Len(t, v.Holders(block("new", 0).Key, time.Minute), 1)
	require.Equal(t, 1, d.StoreStates()[0].UsedTokens)
}
