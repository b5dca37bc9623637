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

func follow(d *bluebelldirectory.Directory, v *bluebelldirectory.View, cursor uint64) uint64 {
	states := d.StoreStates()
	changes, next := d.ChangesSince(cursor, 1000)
	v.Apply(states, changes, cursor == 0, false, 0)
	return next
}

func TestAViewFollowsADirectory(t *testing.T) {
	d, v := bluebelldirectory.New(), bluebelldirectory.NewView()
	d.Reset("s1", []bluebelldirectory.Block{block("a", 10)}, 0)
	d.Add("s1", block("b", 20))
	d.Reset("s2", nil, 0)
	d.Add("s2", block("b", 20))
	cursor := follow(d, v, 0)
	require.Equal(t, []string{"s1", "s2"}, v.Holders(block("b", 0).Key, 0))
	require.Equal(t, []string{"s1"}, v.Holders(block("a", 0).Key, 0))
	require.Empty(t, v.Holders(bluebelldirectory.Key{Scope: "*/m0/2", ID: "a"}, 0), "other weights")
	d.Remove("s1", block("a", 0).Key)
	d.Remove("s1", block("never", 0).Key)
	follow(d, v, cursor)
	require.Empty(t, v.Holders(block("a", 0).Key, 0))
	for _, s := range d.StoreStates() {
		require.Equal(t, 20, s.UsedTokens, s.Address)
	}
}

// What a store that was emptied held must not be read: another entry may have begun
// to write it again.
func TestARestartedStoreHoldsNothingAndIsNotWrittenToAtOnce(t *testing.T) {
	d, v := bluebelldirectory.New(), bluebelldirectory.NewView()
	d.Reset("s1", []bluebelldirectory.Block{block("a", 10)}, 0)
	cursor := follow(d, v, 0)
	require.Contains(t, v.WritableStores(bluebelldirectory.SettleTime), "s1")
	restarted := time.Minute
	d.Reset("s1", nil, restarted)
	follow(d, v, cursor)
	require.Empty(t, v.Holders(block("a", 0).Key, 0))
	require.Empty(t, v.WritableStores(restarted+bluebelldirectory.SettleTime-1))
	require.Contains(t, v.WritableStores(restarted+bluebelldirectory.SettleTime), "s1")
}

func TestAStoreThatDoesNotAnswerIsNotNamed(t *testing.T) {
	d, v := bluebelldirectory.New(), bluebelldirectory.NewView()
	d.Reset("s1", []bluebelldirectory.Block{block("a", 10)}, 0)
	d.SetFollowing("s1", false, time.Second)
	follow(d, v, 0)
	require.Empty(t, v.Holders(block("a", 0).Key, 0))
	require.Empty(t, v.WritableStores(time.Hour))
	d.SetFollowing("s1", true, time.Minute)
	follow(d, v, 0)
	require.Equal(t, []string{"s1"}, v.Holders(block("a", 0).Key, 0))
	require.Empty(t, v.WritableStores(time.Minute+time.Second), "it settles anew")
}

func TestAViewThatStartsAnewForgetsTheOldSource(t *testing.T) {
	d, v := bluebelldirectory.New(), bluebelldirectory.NewView()
	d.Reset("s1", []bluebelldirectory.Block{block("a", 10)}, 0)
	follow(d, v, 0)
	fresh := bluebelldirectory.New()
	fresh.Reset("s1", nil, 0)
	follow(fresh, v, 0)
	require.Empty(t, v.Holders(block("a", 0).Key, 0))
}

func TestScopesKeepCustomersAndWeightsApart(t *testing.T) {
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
	for _, foreign := range []string{"", "x", "1", "x/1", "x/y/z"} {
		_, _, ok := bluebelldirectory.ParseScope(foreign)
		require.False(t, ok, foreign)
	}
}
