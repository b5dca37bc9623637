package bluebellinventory_test

import (
	"context"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"net/url"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebelldeployment"
	"bluebellhaven.org/bluebell/bluebelldirectory"
	"bluebellhaven.org/bluebellcore/internal/bluebellinventory"
	"bluebellhaven.org/platform/bluebellplatform"
)

const eventTimeout = 10 * time.Second

// store is a fake cache store.
type store struct {
	mu          sync.Mutex
	incarnation uint64
	held        map[string]bluebellplatform.BlockChange
	events      []bluebellplatform.BlockChange
	eventLost   bool
	freed       []string
}

func newStore(t *testing.T) (*store, string) {
	t.Helper()
	s := &store{incarnation: 1, held: map[string]bluebellplatform.BlockChange{}}
	server := httptest.NewServer(http.HandlerFunc(s.serve))
	t.Cleanup(server.Close)
	return s, strings.TrimPrefix(server.URL, "http://")
}

// hold adds a block. Without publish, the event is lost and the store reports a gap.
func (s *store) hold(scope, id string, tokens int, publish bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	block := bluebellplatform.BlockChange{Scope: scope, ID: id, Tokens: tokens, Stored: true}
	s.held[id] = block
	if publish {
		s.events = append(s.events, block)
		return
	}
	s.eventLost = true
}

func (s *store) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnation++
	s.held, s.events = map[string]bluebellplatform.BlockChange{}, nil
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	time.Sleep(5 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	text, status := s.answer(r.URL, body)
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

func (s *store) answer(u *url.URL, body []byte) ([]byte, int) {
	events := bluebellplatform.StoreEvents{Incarnation: s.incarnation, Cursor: uint64(len(s.events)), Gap: s.eventLost}
	var text []byte
	var err error
	after, isEventsRead := bluebellplatform.DecodeEventsPath(u)
	switch {
	case isEventsRead:
		events.Changes = s.events[min(after, events.Cursor):]
		text, err = bluebellplatform.EncodeEvents(events)
	case u.Path == bluebellplatform.ListBlocksPath:
		s.eventLost = false
		events.Changes = slices.Collect(maps.Values(s.held))
		text, err = bluebellplatform.EncodeBlockList(events)
	case u.Path == bluebellplatform.FreeBlocksPath:
		incarnation, blocks, decodeErr := bluebellplatform.DecodeFreeBlocks(body)
		if decodeErr != nil || incarnation != s.incarnation {
			return nil, http.StatusConflict
		}
		for _, b := range blocks {
			delete(s.held, b.ID)
			s.freed = append(s.freed, b.ID)
		}
	}
	if err != nil {
		return nil, http.StatusInternalServerError
	}
	return text, http.StatusOK
}

type fixture struct {
	directory *bluebelldirectory.Directory
	retired   atomic.Uint64
	isLeader  atomic.Bool
}

func startInventory(t *testing.T, address string) *fixture {
	t.Helper()
	f := &fixture{directory: bluebelldirectory.New()}
	started := time.Now()
	inventory := bluebellinventory.New(bluebellinventory.Config{
		Directory: f.directory,
		Stores:    func() []bluebelldeployment.Store { return []bluebelldeployment.Store{{Name: "s", Address: address}} },
		IsLeader:  f.isLeader.Load, RetiredVersion: func(string) uint64 { return f.retired.Load() },
		Now: func() time.Duration { return time.Since(started) + time.Second }, Logger: log.New(io.Discard),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		inventory.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return f
}

func (f *fixture) blocks(address string) map[string]int {
	blocks := map[string]int{}
	for _, b := range f.directory.Blocks(address) {
		blocks[b.ID] = b.Tokens
	}
	return blocks
}

func (f *fixture) requireBlocks(t *testing.T, address string, want map[string]int) {
	t.Helper()
	require.Eventually(t, func() bool {
		got := f.blocks(address)
		if len(got) != len(want) {
			return false
		}
		for id, tokens := range want {
			if got[id] != tokens {
				return false
			}
		}
		return true
	}, eventTimeout, 5*time.Millisecond)
}

func TestDirectoryTracksStoreChanges(t *testing.T) {
	s, address := newStore(t)
	s.hold("*/m0/1", "a", 10, true)
	f := startInventory(t, address)
	f.requireBlocks(t, address, map[string]int{"a": 10})
	s.hold("*/m0/1", "b", 20, true)
	f.requireBlocks(t, address, map[string]int{"a": 10, "b": 20})
	s.hold("*/m0/1", "c", 30, false)
	f.requireBlocks(t, address, map[string]int{"a": 10, "b": 20, "c": 30})
	s.restart()
	f.requireBlocks(t, address, map[string]int{})
	s.hold("*/m0/1", "a", 10, true)
	f.requireBlocks(t, address, map[string]int{"a": 10})
}

func TestLeaderFreesBlocksOfRetiredWeights(t *testing.T) {
	s, address := newStore(t)
	s.hold("*/m0/1", "old", 10, true)
	s.hold("c1/m0/1", "old of a customer", 10, true)
	s.hold("*/m0/2", "new", 20, true)
	f := startInventory(t, address)
	f.retired.Store(1)
	f.requireBlocks(t, address, map[string]int{"old": 10, "old of a customer": 10, "new": 20})
	f.isLeader.Store(true)
	f.requireBlocks(t, address, map[string]int{"new": 20})
	s.mu.Lock()
	defer s.mu.Unlock()
	require.ElementsMatch(t, []string{"old", "old of a customer"}, s.freed)
}
