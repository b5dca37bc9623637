package bluebellinventory_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebelldirectory"
	"bluebellhaven.org/platform/bluebellplatform"
)

// readWait is how long a copyingStore delays its answer to a read of events until it has some.
const readWait = 50 * time.Millisecond

// copyingStore is a store that may write an answer once more, before the next answer on its connection.
type copyingStore struct {
	*store
	address string

	mu sync.Mutex
	// copyNext returns the answer to write once more before that to a request with the path, nil if there is
	// none. It is called until it has returned one.
	copyNext func(path string, earlier [][]byte) []byte
	// refusePath is the path of the next request that is refused, "" if none is.
	refusePath string
	// sameNumbers makes all events have the same number.
	sameNumbers bool
	copied      bool
	opened      int
	answered    map[string]int
}

func newCopyingStore(t *testing.T) *copyingStore {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s := &copyingStore{
		store:   &store{incarnation: 1, held: map[string]bluebellplatform.BlockChange{}},
		address: listener.Addr().String(), answered: map[string]int{},
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.opened++
			s.mu.Unlock()
			go s.serveConnection(conn)
		}
	}()
	return s
}

func (s *copyingStore) serveConnection(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var earlier [][]byte
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if _, err := conn.Write(s.copyFor(r.URL.Path, earlier)); err != nil {
			return
		}
		text := s.respond(r, body)
		if _, err := conn.Write(text); err != nil {
			return
		}
		earlier = append(earlier, text)
	}
}

func (s *copyingStore) copyFor(path string, earlier [][]byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.copyNext == nil {
		return nil
	}
	text := s.copyNext(path, earlier)
	if text != nil {
		s.copyNext, s.copied = nil, true
	}
	return text
}

// respond returns the answer to a request. That to a read of events waits for some.
func (s *copyingStore) respond(r *http.Request, body []byte) []byte {
	after, isEventsRead := bluebellplatform.DecodeEventsPath(r.URL)
	for deadline := time.Now().Add(readWait); isEventsRead && s.isCurrent(after) && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered[r.URL.Path]++
	text, status := []byte(nil), http.StatusServiceUnavailable
	if s.refusePath == r.URL.Path {
		s.refusePath = ""
	} else {
		s.store.mu.Lock()
		text, status = s.answer(r.URL, body)
		s.store.mu.Unlock()
	}
	if s.sameNumbers {
		text = regexp.MustCompile(`\[\d+,"`).ReplaceAll(text, []byte(`[1,"`))
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(text), text)
}

func (s *copyingStore) isCurrent(cursor uint64) bool {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	return !s.eventLost && cursor >= uint64(len(s.events))
}

func (s *copyingStore) remove(scope, id string) {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	delete(s.held, id)
	s.events = append(s.events, bluebellplatform.BlockChange{Scope: scope, ID: id})
}

// set changes fields of the store.
func (s *copyingStore) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *copyingStore) hasCopied() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copied
}

func (s *copyingStore) answersTo(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answered[path]
}

// firstWith returns the first answer that contains a text, nil if there is none.
func firstWith(text string, earlier [][]byte) []byte {
	for _, a := range earlier {
		if bytes.Contains(a, []byte(text)) {
			return a
		}
	}
	return nil
}

// followedSince returns since when a store has been followed without a break.
func (f *fixture) followedSince(t *testing.T, address string) time.Duration {
	t.Helper()
	states, _, _ := f.directory.StateChangesSince(0, 1000)
	i := slices.IndexFunc(states, func(s bluebelldirectory.StoreState) bool { return s.Address == address })
	require.GreaterOrEqual(t, i, 0)
	require.True(t, states[i].Following)
	return states[i].FollowedSince
}

// latest returns the latest answer, nil if there is none.
func latest(earlier [][]byte) []byte {
	if len(earlier) == 0 {
		return nil
	}
	return earlier[len(earlier)-1]
}

// A copy of an earlier page set the cursor back, the answer behind the copy set it forward again without the changes
// between, and a block that was removed stayed in the directory.
func TestCopyOfPageDoesNotRestoreRemovedBlock(t *testing.T) {
	s := newCopyingStore(t)
	f := startInventory(t, s.address)
	s.hold("*/m0/1", "a", 10, true)
	f.requireBlocks(t, s.address, map[string]int{"a": 10})
	s.remove("*/m0/1", "a")
	f.requireBlocks(t, s.address, map[string]int{})
	since := f.followedSince(t, s.address)
	s.set(func() {
		s.copyNext = func(_ string, earlier [][]byte) []byte { return firstWith(`"+"`, earlier) }
	})
	require.Eventually(t, s.hasCopied, eventTimeout, time.Millisecond)
	require.Never(t, func() bool { return len(f.blocks(s.address)) > 0 }, 10*readWait, time.Millisecond)
	s.hold("*/m0/1", "b", 20, true)
	f.requireBlocks(t, s.address, map[string]int{"b": 20})
	require.Equal(t, since, f.followedSince(t, s.address), "a copy must not end the following")
}

// A copy of a page of events was taken for the list of blocks, so that the directory lacked all of them.
func TestCopyOfPageIsNotTakenForList(t *testing.T) {
	s := newCopyingStore(t)
	s.hold("*/m0/1", "a", 10, true)
	f := startInventory(t, s.address)
	f.requireBlocks(t, s.address, map[string]int{"a": 10})
	s.set(func() {
		s.copyNext = func(path string, earlier [][]byte) []byte {
			if path != bluebellplatform.ListBlocksPath {
				return nil
			}
			return latest(earlier)
		}
	})
	lists := s.answersTo(bluebellplatform.ListBlocksPath)
	s.hold("*/m0/1", "b", 20, false)
	require.Eventually(t, func() bool { return s.answersTo(bluebellplatform.ListBlocksPath) > lists }, eventTimeout, time.Millisecond)
	f.requireBlocks(t, s.address, map[string]int{"a": 10, "b": 20})
}

// A copy of a page that reports a gap has the directory emptied. It stayed empty if the list that follows was not
// received.
func TestListIsRepeatedAfterCopyOfGap(t *testing.T) {
	s := newCopyingStore(t)
	s.hold("*/m0/1", "a", 10, true)
	f := startInventory(t, s.address)
	f.requireBlocks(t, s.address, map[string]int{"a": 10})
	s.hold("*/m0/1", "b", 20, false)
	f.requireBlocks(t, s.address, map[string]int{"a": 10, "b": 20})
	lists := s.answersTo(bluebellplatform.ListBlocksPath)
	s.set(func() {
		s.refusePath = bluebellplatform.ListBlocksPath
		s.copyNext = func(_ string, earlier [][]byte) []byte { return firstWith(`"lost":true`, earlier) }
	})
	require.Eventually(t, s.hasCopied, eventTimeout, time.Millisecond)
	require.Eventually(t, func() bool { return s.answersTo(bluebellplatform.ListBlocksPath) > lists }, eventTimeout, time.Millisecond)
	f.requireBlocks(t, s.address, map[string]int{"a": 10, "b": 20})
}

// A copy of an earlier answer hid that the store had refused to free a block, which then was never freed.
func TestCopyOfPageDoesNotHideRefusedFree(t *testing.T) {
	s := newCopyingStore(t)
	s.hold("*/m0/1", "old", 10, true)
	f := startInventory(t, s.address)
	f.requireBlocks(t, s.address, map[string]int{"old": 10})
	s.set(func() {
		s.refusePath = bluebellplatform.FreeBlocksPath
		s.copyNext = func(path string, earlier [][]byte) []byte {
			if path != bluebellplatform.FreeBlocksPath {
				return nil
			}
			return latest(earlier)
		}
	})
	f.retired.Store(1)
	f.isLeader.Store(true)
	require.Eventually(t, func() bool {
		s.store.mu.Lock()
		defer s.store.mu.Unlock()
		return slices.Contains(s.freed, "old")
	}, eventTimeout, time.Millisecond)
}

// A store whose events have wrong numbers must be followed all the same, without a break.
func TestStoreWithWrongNumbersIsFollowed(t *testing.T) {
	s := newCopyingStore(t)
	s.sameNumbers = true
	f := startInventory(t, s.address)
	want := map[string]int{}
	since := time.Duration(0)
	for _, id := range strings.Split("abcdef", "") {
		s.hold("*/m0/1", id, 10, true)
		want[id] = 10
		f.requireBlocks(t, s.address, want)
		if since == 0 {
			since = f.followedSince(t, s.address)
		}
	}
	require.Equal(t, 1, s.answersTo(bluebellplatform.ListBlocksPath))
	require.Equal(t, since, f.followedSince(t, s.address))
	s.remove("*/m0/1", "a")
	delete(want, "a")
	f.requireBlocks(t, s.address, want)
}

// Reads of events are frequent and must not open a connection each.
func TestReadsOfEventsShareConnection(t *testing.T) {
	s := newCopyingStore(t)
	f := startInventory(t, s.address)
	want := map[string]int{}
	for i := range 20 {
		id := fmt.Sprint(i)
		s.hold("*/m0/1", id, 10, true)
		want[id] = 10
		f.requireBlocks(t, s.address, want)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	require.LessOrEqual(t, s.opened, 2, "one for events and one for the list")
}
