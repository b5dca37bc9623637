// Package bluebellinventory follows the cache stores of a deployment and records in the
// directory which blocks (cached pieces of prompts) they hold. On the leader it also frees
// blocks of weights that no run uses any more, since managed stores delete nothing by
// themselves.
//
// Requests to stores have no IDs, and a store may write an answer once more, late, where that to a later
// request on the same connection is due. Lists and frees are rare and have a connection each. Reads of
// events share a connection, on which a page is used only if it follows the cursor of the read.
//
// # Usage
//
//	inventory := bluebellinventory.New(bluebellinventory.Config{...})
//	inventory.Run(ctx)
package bluebellinventory

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/charmbracelet/log"
	"github.com/sourcegraph/conc"

	"bluebellhaven.org/bluebell/bluebelldeployment"
	"bluebellhaven.org/bluebell/bluebelldirectory"
	"bluebellhaven.org/bluebell/bluebellhead"
	"bluebellhaven.org/bluebell/bluebellprocess"
	"bluebellhaven.org/platform/bluebellplatform"
)

const (
	// declarationPollInterval is how often the declared stores are compared with the followed
	// stores.
	declarationPollInterval = 300 * time.Millisecond
	// eventsMaxWait is how long a store may delay its answer to a read until it has changes.
	// It is longer than the wait up to which a read counts as a probe.
	eventsMaxWait = 800 * time.Millisecond
	// requestTimeout also bounds how late a restart of a store is detected on a connection
	// that transfers nothing any more; see bluebelldirectory.SettleTime.
	requestTimeout = eventsMaxWait + 400*time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay after a failed read.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = time.Second
	// freeInterval is how often the leader looks for blocks to free.
	freeInterval = time.Second
	// maxFreeBlocks bounds the blocks of one free request.
	maxFreeBlocks = 200
	// maxResponseBytes is many times the length of the list of a large store. A longer response is an
	// error, and none of it is decoded.
	maxResponseBytes = 8 << 20
	// smallResponseBytes is the length up to which the responses of all stores are read at the same time;
	// of longer ones one at a time is.
	smallResponseBytes     = 256 << 10
	maxResponseHeaderBytes = 64 << 10
)

var errResponseTooLong = errors.New("the store's response is too long")

// Config sets up an Inventory.
type Config struct {
	Directory *bluebelldirectory.Directory
	// Stores returns the declared stores.
	Stores func() []bluebelldeployment.Store
	// IsLeader reports whether this process leads; only the leader frees blocks.
	IsLeader func() bool
	// RetiredVersion returns the highest version of a model's weights that no run uses any
	// more, or 0 if there is none.
	RetiredVersion func(model string) uint64
	Dial           func(ctx context.Context, network, address string) (net.Conn, error)
	Now            func() time.Duration
	Logger         *log.Logger
}

// Inventory follows all declared stores.
type Inventory struct {
	cfg Config
	// single opens a connection for each request.
	single *http.Client
	// large holds a value while a response longer than smallResponseBytes is read and decoded.
	large chan struct{}
}

// New returns an inventory that follows no store yet.
func New(cfg Config) *Inventory {
	return &Inventory{cfg: cfg, large: make(chan struct{}, 1), single: newClient(cfg, false)}
}

// newClient returns a client that keeps a connection between requests if keep is set, and otherwise opens
// one for each.
func newClient(cfg Config, keep bool) *http.Client {
	return &http.Client{
		Timeout: requestTimeout,
		Transport: &http.Transport{
			DialContext: cfg.Dial, DisableKeepAlives: !keep, MaxIdleConnsPerHost: 1, MaxResponseHeaderBytes: maxResponseHeaderBytes,
		},
	}
}

// Run follows the declared stores until ctx ends.
func (inv *Inventory) Run(ctx context.Context) {
	var followers conc.WaitGroup
	defer followers.Wait()
	followed := map[string]context.CancelFunc{}
	for ctx.Err() == nil {
		declared := map[string]bool{}
		for _, store := range inv.cfg.Stores() {
			declared[store.Address] = true
			if followed[store.Address] == nil {
				storeCtx, cancel := context.WithCancel(ctx)
				followed[store.Address] = cancel
				followers.Go(func() { inv.follow(storeCtx, store.Address) })
			}
		}
		for address, cancel := range followed {
			if !declared[address] {
				cancel()
				delete(followed, address)
				inv.cfg.Directory.RemoveStore(address)
			}
		}
		bluebellprocess.Sleep(ctx, declarationPollInterval)
	}
	for _, cancel := range followed {
		cancel()
	}
}

// storeFollower is the state of following one store.
type storeFollower struct {
	inventory *Inventory
	address   string
	// kept keeps a connection for reads of events.
	kept *http.Client
	// listed is set if the directory has the blocks of incarnation up to nextEvent.
	listed bool
	// incarnation identifies the start of the store that the events belong to.
	incarnation uint64
	// nextEvent is the position in the store's events from which the next read continues.
	nextEvent uint64
	// following is set while requests to the store succeed.
	following  bool
	lastFreeAt time.Duration
}

func (inv *Inventory) follow(ctx context.Context, address string) {
	f := &storeFollower{inventory: inv, address: address, kept: newClient(inv.cfg, true)}
	defer f.kept.CloseIdleConnections()
	retryDelay := minRetryDelay
	for ctx.Err() == nil {
		if err := f.readEvents(ctx); err != nil {
			if ctx.Err() == nil && f.following {
				inv.cfg.Logger.Warn("store connection lost", "Store", address, "Error", err)
			}
			f.setFollowing(false)
			bluebellprocess.Sleep(ctx, retryDelay)
			retryDelay = min(2*retryDelay, maxRetryDelay)
			continue
		}
		retryDelay = minRetryDelay
		f.setFollowing(true)
		f.freeRetired(ctx)
	}
}

func (f *storeFollower) setFollowing(on bool) {
	f.following = on
	f.inventory.cfg.Directory.SetFollowing(f.address, on, f.inventory.cfg.Now())
}

// readEvents waits for changes of the store and applies them to the directory. If events are
// missing, the store has restarted or its last list was not received, it lists all blocks instead.
func (f *storeFollower) readEvents(ctx context.Context) error {
	events, err := f.requestEvents(ctx)
	if err != nil {
		return err
	}
	if !f.listed || events.Incarnation != f.incarnation || events.Gap {
		return f.listBlocks(ctx, events.Incarnation)
	}
	f.nextEvent = events.Cursor
	for _, c := range events.Changes {
		key := bluebelldirectory.Key{Scope: c.Scope, ID: c.ID}
		if c.Stored {
			f.inventory.cfg.Directory.Add(f.address, bluebelldirectory.Block{Key: key, Tokens: c.Tokens})
			continue
		}
		f.inventory.cfg.Directory.Remove(f.address, key)
	}
	return nil
}

// requestEvents reads the events after nextEvent, or those that report a gap or another incarnation. A page
// that belongs to an earlier read is skipped and the read repeated on a new connection, whose first answer
// belongs to it whatever it contains. Both reads together are bounded by requestTimeout.
func (f *storeFollower) requestEvents(ctx context.Context) (bluebellplatform.StoreEvents, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	for {
		events, reused, err := f.requestPage(ctx)
		belongs := !reused || events.Gap || events.Incarnation != f.incarnation || events.Follow(f.nextEvent)
		if err != nil || !belongs {
			// The answer to this read may still follow on the connection.
			f.kept.CloseIdleConnections()
		}
		if err != nil || belongs {
			f.logOdd(events)
			return events, err
		}
		f.inventory.cfg.Logger.Warn("answer of a store to an earlier read skipped", "Store", f.address,
			"Cursor", f.nextEvent, "First", events.First, "Next", events.Cursor)
	}
}

// requestPage sends one read of events. It reports whether the connection has carried an earlier one.
func (f *storeFollower) requestPage(ctx context.Context) (events bluebellplatform.StoreEvents, reused bool, err error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { reused = info.Reused }})
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.address+bluebellplatform.EventsPath(f.nextEvent), nil)
	if err != nil {
		return bluebellplatform.StoreEvents{}, false, err
	}
	r.Header.Set(bluebellplatform.EventsWaitHeader(eventsMaxWait))
	err = f.inventory.do(f.kept, r, func(body []byte) (err error) {
		events, err = bluebellplatform.DecodeEvents(body)
		return err
	})
	return events, reused, err
}

// logOdd logs that some elements of an answer could not be read.
func (f *storeFollower) logOdd(e bluebellplatform.StoreEvents) {
	if e.Odd > 0 {
		f.inventory.cfg.Logger.Warn("elements of a store's answer skipped", "Store", f.address, "Skipped", e.Odd, "Read", len(e.Changes))
	}
}

// listBlocks requests the full list of a store's blocks, after a new incarnation or a gap in
// the events. It first removes all blocks of the store from the directory.
func (f *storeFollower) listBlocks(ctx context.Context, incarnation uint64) error {
	f.listed = false
	f.inventory.cfg.Directory.Reset(f.address, nil, f.inventory.cfg.Now())
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.address+bluebellplatform.ListBlocksPath, nil)
	if err != nil {
		return err
	}
	var stored bluebellplatform.StoreEvents
	err = f.inventory.do(f.inventory.single, r, func(body []byte) (err error) {
		stored, err = bluebellplatform.DecodeBlockList(body)
		return err
	})
	if err != nil {
		return err
	}
	f.logOdd(stored)
	var blocks []bluebelldirectory.Block
	for _, c := range stored.Changes {
		blocks = append(blocks, bluebelldirectory.Block{Key: bluebelldirectory.Key{Scope: c.Scope, ID: c.ID}, Tokens: c.Tokens})
	}
	f.listed, f.incarnation, f.nextEvent = true, stored.Incarnation, stored.Cursor
	f.inventory.cfg.Directory.Reset(f.address, blocks, f.inventory.cfg.Now())
	f.inventory.cfg.Logger.Info("store listed", "Store", f.address, "Incarnation", incarnation, "Blocks", len(blocks))
	return nil
}

// do sends a request and passes the body of the response to use, which must not keep it.
func (inv *Inventory) do(client *http.Client, r *http.Request, use func(body []byte) error) error {
	response, err := client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if err := bluebellhead.CheckResponse(response); err != nil {
		return err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, smallResponseBytes))
	if err != nil {
		return err
	}
	if len(body) == smallResponseBytes {
		select {
		case inv.large <- struct{}{}:
			defer func() { <-inv.large }()
		case <-time.After(requestTimeout):
			return errors.New("other stores' responses take too long")
		}
		rest, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes-smallResponseBytes+1))
		if err != nil {
			return err
		}
		if body = append(body, rest...); len(body) > maxResponseBytes {
			return errResponseTooLong
		}
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: store returned status %d", r.URL.Path, response.StatusCode)
	}
	if err := bluebellhead.CheckFields(response.Trailer); err != nil {
		return err
	}
	return use(body)
}

// freeRetired frees up to maxFreeBlocks blocks of retired weights, once per freeInterval on
// the leader.
func (f *storeFollower) freeRetired(ctx context.Context) {
	inv := f.inventory
	now := inv.cfg.Now()
	if !inv.cfg.IsLeader() || now-f.lastFreeAt < freeInterval {
		return
	}
	f.lastFreeAt = now
	var retired []bluebellplatform.BlockChange
	for _, b := range inv.cfg.Directory.Blocks(f.address) {
		if model, version, ok := bluebelldirectory.ParseScope(b.Scope); ok && version <= inv.cfg.RetiredVersion(model) && len(retired) < maxFreeBlocks {
			retired = append(retired, bluebellplatform.BlockChange{Scope: b.Scope, ID: b.ID})
		}
	}
	if len(retired) == 0 {
		return
	}
	err := f.requestFree(ctx, retired)
	inv.cfg.Logger.Info("free request finished", "Store", f.address, "Blocks", len(retired), "Error", err)
}

func (f *storeFollower) requestFree(ctx context.Context, blocks []bluebellplatform.BlockChange) error {
	body, err := bluebellplatform.EncodeFreeBlocks(f.incarnation, blocks)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.address+bluebellplatform.FreeBlocksPath, bytes.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Content-Type", "application/json")
	if err := f.inventory.do(f.inventory.single, r, func([]byte) error { return nil }); err != nil {
		return err
	}
	for _, b := range blocks {
		f.inventory.cfg.Directory.Remove(f.address, bluebelldirectory.Key{Scope: b.Scope, ID: b.ID})
	}
	return nil
}
