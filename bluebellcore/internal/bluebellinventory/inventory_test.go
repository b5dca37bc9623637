package bluebellinventory_test

import (
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"runtime"
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

// Stores that send bytes without end, in the head or in the body, ended core processes for lack of memory: what is
// read of all of them together is bounded.
func TestResponsesWithoutEndAreBounded(t *testing.T) {
	const storeCount, maxHeapBytes = 12, 100 << 20
	piece := []byte(strings.Repeat(`[1,"+","s1","5c1e07a2",800,"m0"],`, 1000))
	endless := func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		head, next := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"epoch\":1,\"next\":2,\"lost\":false,\"events\":[", piece
		if strings.HasSuffix(r.Host, "0") {
			head, next = "HTTP/1.1 200 OK\r\n", []byte(strings.Repeat("X-Odd: 0123456789\r\n", 1000))
		}
		_, err = io.WriteString(conn, head)
		for err == nil {
			_, err = conn.Write(next)
		}
	}
	var stores []bluebelldeployment.Store
	for range storeCount {
		server := httptest.NewServer(http.HandlerFunc(endless))
		t.Cleanup(server.Close)
		stores = append(stores, bluebelldeployment.Store{Address: strings.TrimPrefix(server.URL, "http://")})
	}
	inventory := bluebellinventory.New(bluebellinventory.Config{
		Directory: bluebelldirectory.New(), Stores: func() []bluebelldeployment.Store { return stores },
		IsLeader: func() bool { return false }, RetiredVersion: func(string) uint64 { return 0 },
		Dial: (&net.Dialer{}).DialContext, Now: func() time.Duration { return time.Second }, Logger: log.New(io.Discard),
	})
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	done := make(chan struct{})
	go func() { defer close(done); inventory.Run(ctx) }()
	var most uint64
	for ctx.Err() == nil {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		most = max(most, m.HeapAlloc)
		time.Sleep(10 * time.Millisecond)
	}
	<-done
	require.Less(t, most, uint64(maxHeapBytes))
}
