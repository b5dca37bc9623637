package bluebellstock_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebelldirectory"
	"bluebellhaven.org/bluebell/bluebellplan"
	"bluebellhaven.org/bluebellcore/internal/bluebellstock"
)

const patience = 10 * time.Second

// store is a stand-in of a cache store.
type store struct {
	mu     sync.Mutex
	epoch  int
	held   map[string][2]any // scope and tokens by block
	events [][]any
	lost   bool
	freed  []string
}

func newStore(t *testing.T) (*store, string) {
	t.Helper()
	s := &store{epoch: 1, held: map[string][2]any{}}
	server := httptest.NewServer(http.HandlerFunc(s.serve))
	t.Cleanup(server.Close)
	return s, strings.TrimPrefix(server.URL, "http://")
}

// hold adds a block, and tells of it unless the event is lost.
func (s *store) hold(scope, id string, tokens int, tell bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held[id] = [2]any{scope, tokens}
	if tell {
		s.events = append(s.events, []any{len(s.events) + 1, "+", scope, id, tokens, "m0"})
	} else {
		s.lost = true
	}
}

func (s *store) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch++
	s.held, s.events = map[string][2]any{}, nil
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	time.Sleep(5 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch r.URL.Path {
	case "/kv-events":
		since := 0
		_ = json.Unmarshal([]byte(r.URL.Query().Get("since")), &since)
		news := [][]any{}
		if since < len(s.events) {
			news = s.events[since:]
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"epoch": s.epoch, "next": len(s.events), "lost": s.lost, "events": news})
	case "/kv-list":
		s.lost = false
		held := [][]any{}
		for id, h := range s.held {
			held = append(held, []any{h[0], id, h[1], "m0"})
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"epoch": s.epoch, "next": len(s.events), "held": held})
	case "/kv-free":
		var order struct {
			Parts [][2]string
			Epoch int
		}
		if json.NewDecoder(r.Body).Decode(&order) != nil || order.Epoch != s.epoch {
			w.WriteHeader(http.StatusConflict)
			return
		}
		for _, p := range order.Parts {
			delete(s.held, p[1])
			s.freed = append(s.freed, p[1])
		}
		_, _ = io.WriteString(w, "{}")
	}
}

type fixture struct {
	directory *bluebelldirectory.Directory
	retired   atomic.Uint64
	leads     atomic.Bool
}

func follow(t *testing.T, address string) *fixture {
	t.Helper()
	f := &fixture{directory: bluebelldirectory.New()}
	started := time.Now()
	stock := bluebellstock.New(bluebellstock.Config{
		Directory: f.directory,
		Stores:    func() []bluebellplan.Store { return []bluebellplan.Store{{Name: "s", Address: address}} },
		Leads:     f.leads.Load, Retired: func(string) uint64 { return f.retired.Load() },
		Now: func() time.Duration { return time.Since(started) + time.Second }, Logger: log.New(io.Discard),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		stock.Run(ctx)
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

func (f *fixture) eventually(t *testing.T, address string, want map[string]int) {
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
	}, patience, 5*time.Millisecond)
}

func TestADirectoryFollowsItsStore(t *testing.T) {
	s, address := newStore(t)
	s.hold("*/m0/1", "a", 10, true)
	f := follow(t, address)
	f.eventually(t, address, map[string]int{"a": 10})
	s.hold("*/m0/1", "b", 20, true)
	f.eventually(t, address, map[string]int{"a": 10, "b": 20})
	s.hold("*/m0/1", "c", 30, false)
	f.eventually(t, address, map[string]int{"a": 10, "b": 20, "c": 30})
	s.restart()
	f.eventually(t, address, map[string]int{})
	s.hold("*/m0/1", "a", 10, true)
	f.eventually(t, address, map[string]int{"a": 10})
}

func TestBlocksOfRetiredWeightsAreFreedByTheLeader(t *testing.T) {
	s, address := newStore(t)
	s.hold("*/m0/1", "old", 10, true)
	s.hold("c1/m0/1", "old of a customer", 10, true)
	s.hold("*/m0/2", "new", 20, true)
	f := follow(t, address)
	f.retired.Store(1)
	f.eventually(t, address, map[string]int{"old": 10, "old of a customer": 10, "new": 20})
	f.leads.Store(true)
	f.eventually(t, address, map[string]int{"new": 20})
	s.mu.Lock()
	defer s.mu.Unlock()
	require.ElementsMatch(t, []string{"old", "old of a customer"}, s.freed)
}
