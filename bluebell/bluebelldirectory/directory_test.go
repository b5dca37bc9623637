package bluebelldirectory_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebelldirectory"
)

func block(id string, tokens int) bluebelldirectory.Block {
	return bluebelldirectory.Block{Key: bluebelldirectory.Key{Scope: "*/m0/1", ID: id}, Tokens: tokens}
}

// applyChanges applies the states and the changes after cursor to a view. It returns the cursor
// to continue from.
func applyChanges(d *bluebelldirectory.Directory, v *bluebelldirectory.View, cursor uint64) uint64 {
	states := d.StoreStates()
	changes, nextCursor := d.ChangesSince(cursor, 1000)
	v.Apply(states, changes, cursor == 0, false, 0)
	return nextCursor
}

func TestViewAppliesDirectoryChanges(t *testing.T) {
	d, v := bluebelldirectory.New(), bluebelldirectory.NewView()
	d.Reset("s1", []bluebelldirectory.Block{block("a", 10)}, 0)
	d.Add("s1", block("b", 20))
	d.Reset("s2", nil, 0)
	d.Add("s2", block("b", 20))
	cursor := applyChanges(d, v, 0)
	require.Equal(t, []string{"s1", "s2"}, v.Holders(block("b", 0).Key, 0))
	require.Equal(t, []string{"s1"}, v.Holders(block("a", 0).Key, 0))
	require.Empty(t, v.Holders(bluebelldirectory.Key{Scope: "*/m0/2", ID: "a"}, 0), "block of other weights")
	d.Remove("s1", block("a", 0).Key)
	d.Remove("s1", block("never", 0).Key)
	applyChanges(d, v, cursor)
	require.Empty(t, v.Holders(block("a", 0).Key, 0))
	for _, s := range d.StoreStates() {
		require.Equal(t, 20, s.UsedTokens, s.Address)
	}
}

// Blocks that a store held before it was emptied must not be read: another entry may have
// begun to write them again.
func TestRestartedStoreIsEmptyAndNotWritableUntilSettled(t *testing.T) {
	d, v := bluebelldirectory.New(), bluebelldirectory.NewView()
	d.Reset("s1", []bluebelldirectory.Block{block("a", 10)}, 0)
	cursor := applyChanges(d, v, 0)
	require.Contains(t, v.WritableStores(bluebelldirectory.SettleTime), "s1")
	restarted := time.Minute
	d.Reset("s1", nil, restarted)
	applyChanges(d, v, cursor)
	require.Empty(t, v.Holders(block("a", 0).Key, 0))
	require.Empty(t, v.WritableStores(restarted+bluebelldirectory.SettleTime-1))
	require.Contains(t, v.WritableStores(restarted+bluebelldirectory.SettleTime), "s1")
}

func TestStoreThatDoesNotAnswerIsNotReturned(t *testing.T) {
	d, v := bluebelldirectory.New(), bluebelldirectory.NewView()
	d.Reset("s1", []bluebelldirectory.Block{block("a", 10)}, 0)
	d.SetFollowing("s1", false, time.Second)
	applyChanges(d, v, 0)
	require.Empty(t, v.Holders(block("a", 0).Key, 0))
	require.Empty(t, v.WritableStores(time.Hour))
	d.SetFollowing("s1", true, time.Minute)
	applyChanges(d, v, 0)
	require.Equal(t, []string{"s1"}, v.Holders(block("a", 0).Key, 0))
	require.Empty(t, v.WritableStores(time.Minute+time.Second), "store must settle again")
}

func TestViewResetRemovesBlocksOfPreviousSource(t *testing.T) {
	d, v := bluebelldirectory.New(), bluebelldirectory.NewView()
	d.Reset("s1", []bluebelldirectory.Block{block("a", 10)}, 0)
	applyChanges(d, v, 0)
	next := bluebelldirectory.New()
	next.Reset("s1", nil, 0)
	applyChanges(next, v, 0)
	require.Empty(t, v.Holders(block("a", 0).Key, 0))
}

func TestScopeSeparatesCustomersAndWeights(t *testing.T) {
	scopes := map[string]bool{}
	for _, customer := range []string{"", "c1", "c2", "c/1"} {
		for _, weights := range []uint64{1, 2, 11} {
			scope := bluebelldirectory.Scope(customer, "m0", weights)
			scopes[scope] = true
			model, version, ok := bluebelldirectory.ParseScope(scope)
			require.True(t, ok)
			require.Equal(t, "m0", model)
			require.Equal(t, weights, version)
		}
	}
	require.Len(t, scopes, 12)
	for _, invalid := range []string{"", "x", "1", "x/1", "x/y/z"} {
		_, _, ok := bluebelldirectory.ParseScope(invalid)
		require.False(t, ok, invalid)
	}
}
