// Package bluebellinventory follows the cache stores of a deployment and fills the
// directory of what they hold. On the leader it also frees blocks of weights that
// nothing runs on any more, since managed stores drop nothing by themselves.
//
// # Usage
//
//	stock := bluebellinventory.New(bluebellinventory.Config{...})
//	stock.Run(ctx)
package bluebellinventory

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/sourcegraph/conc"

	"bluebellhaven.org/bluebell/bluebelldeployment"
	"bluebellhaven.org/bluebell/bluebelldirectory"
	"bluebellhaven.org/bluebell/bluebellprocess"
	"bluebellhaven.org/platform/bluebellplatform"
)

const (
	// lookEvery is how often the declared stores are compared with those followed.
	lookEvery = 300 * time.Millisecond
	// eventWait is how long a store holds a read of changes; longer than what counts
	// as a probe.
	eventWait = 800 * time.Millisecond
	// callTimeout also bounds how late a store's restart is noticed on a connection
	// that has gone silent; see bluebelldirectory.SettleFor.
	callTimeout = eventWait + 400*time.Millisecond
	// firstPause and lastPause bound the pause after a failed read.
	firstPause = 200 * time.Millisecond
	lastPause  = time.Second
	// freeEvery is how often the leader looks for blocks to free.
	freeEvery = time.Second
	// freeAtOnce bounds the blocks of one order.
	freeAtOnce = 200
	maxReply   = 32 << 20 // bytes
)

// Config sets up a Stock.
type Config struct {
	Directory *bluebelldirectory.Directory
	// Stores returns the declared stores.
	Stores func() []bluebelldeployment.Store
	// Leads tells whether this process may free blocks.
	Leads func() bool
	// Retired is the highest version of a model's weights that no call runs on any
	// more; 0 for none.
	Retired func(model string) uint64
	Dial    func(ctx context.Context, network, address string) (net.Conn, error)
	Now     func() time.Duration
	Logger  *log.Logger
}

// Stock follows all stores.
type Stock struct {
	cfg  Config
	http *http.Client
}

// New returns a stock that follows nothing yet.
func New(cfg Config) *Stock {
	return &Stock{cfg: cfg, http: &http.Client{
		Timeout:   callTimeout,
		Transport: &http.Transport{DialContext: cfg.Dial, MaxIdleConnsPerHost: 2},
	}}
}

// Run follows the declared stores until ctx ends.
func (s *Stock) Run(ctx context.Context) {
	var loops conc.WaitGroup
	defer loops.Wait()
	followed := map[string]context.CancelFunc{}
	for ctx.Err() == nil {
		declared := map[string]bool{}
		for _, one := range s.cfg.Stores() {
			declared[one.Address] = true
			if followed[one.Address] == nil {
				storeCtx, cancel := context.WithCancel(ctx)
				followed[one.Address] = cancel
				loops.Go(func() { s.follow(storeCtx, one.Address) })
			}
		}
		for address, cancel := range followed {
			if !declared[address] {
				cancel()
				delete(followed, address)
				s.cfg.Directory.Forget(address)
			}
		}
		bluebellprocess.Sleep(ctx, lookEvery)
	}
	for _, cancel := range followed {
		cancel()
	}
}

// follower is the course of following one store.
type follower struct {
	stock       *Stock
	address     string
	incarnation uint64
	next        uint64
	// following is set while the store answers.
	following bool
	freedAt   time.Duration
}

func (s *Stock) follow(ctx context.Context, address string) {
	f := &follower{stock: s, address: address}
	pause := firstPause
	for ctx.Err() == nil {
		if err := f.read(ctx); err != nil {
			if ctx.Err() == nil && f.following {
				s.cfg.Logger.Warn("store lost", "Store", address, "Error", err)
			}
			f.setFollowing(false)
			bluebellprocess.Sleep(ctx, pause)
			pause = min(2*pause, lastPause)
			continue
		}
		pause = firstPause
		f.setFollowing(true)
		f.free(ctx)
	}
}

func (f *follower) setFollowing(on bool) {
	f.following = on
	f.stock.cfg.Directory.SetFollowing(f.address, on, f.stock.cfg.Now())
}

// read waits for changes and takes them in.
func (f *follower) read(ctx context.Context) error {
	events, err := f.events(ctx)
	if err != nil {
		return err
	}
	if events.Incarnation != f.incarnation || events.Gap {
		return f.readAll(ctx, events.Incarnation)
	}
	f.next = events.Next
	for _, c := range events.Changes {
		key := bluebelldirectory.Key{Scope: c.Scope, ID: c.ID}
		if c.Held {
			f.stock.cfg.Directory.Hold(f.address, bluebelldirectory.Block{Key: key, Tokens: c.Tokens})
			continue
		}
		f.stock.cfg.Directory.Drop(f.address, key)
	}
	return nil
}

func (f *follower) events(ctx context.Context) (bluebellplatform.StoreEvents, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.address+bluebellplatform.EventsPath(f.next), nil)
	if err != nil {
		return bluebellplatform.StoreEvents{}, err
	}
	r.Header.Set(bluebellplatform.EventsHeader(eventWait))
	body, err := f.stock.do(r)
	if err != nil {
		return bluebellplatform.StoreEvents{}, err
	}
	return bluebellplatform.DecodeEvents(body)
}

// readAll lists a store whose incarnation is new here, or whose events have a gap.
// What was listed of it before is dropped at once.
func (f *follower) readAll(ctx context.Context, incarnation uint64) error {
	f.stock.cfg.Directory.Reset(f.address, nil, f.stock.cfg.Now())
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.address+bluebellplatform.StoredPath, nil)
	if err != nil {
		return err
	}
	body, err := f.stock.do(r)
	if err != nil {
		return err
	}
	stored, err := bluebellplatform.DecodeStored(body)
	if err != nil {
		return err
	}
	var blocks []bluebelldirectory.Block
	for _, c := range stored.Changes {
		blocks = append(blocks, bluebelldirectory.Block{Key: bluebelldirectory.Key{Scope: c.Scope, ID: c.ID}, Tokens: c.Tokens})
	}
	f.incarnation, f.next = stored.Incarnation, stored.Next
	f.stock.cfg.Directory.Reset(f.address, blocks, f.stock.cfg.Now())
	f.stock.cfg.Logger.Info("store listed", "Store", f.address, "Incarnation", incarnation, "Blocks", len(blocks))
	return nil
}

func (s *Stock) do(r *http.Request) ([]byte, error) {
	response, err := s.http.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReply))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s answers %d", r.URL.Path, response.StatusCode)
	}
	return body, nil
}

// free drops blocks of retired weights.
func (f *follower) free(ctx context.Context) {
	s := f.stock
	now := s.cfg.Now()
	if !s.cfg.Leads() || now-f.freedAt < freeEvery {
		return
	}
	f.freedAt = now
	var old []bluebellplatform.BlockChange
	for _, b := range s.cfg.Directory.Blocks(f.address) {
		if model, version, ok := bluebelldirectory.WeightsOf(b.Scope); ok && version <= s.cfg.Retired(model) && len(old) < freeAtOnce {
			old = append(old, bluebellplatform.BlockChange{Scope: b.Scope, ID: b.ID})
		}
	}
	if len(old) == 0 {
		return
	}
	err := f.order(ctx, old)
	s.cfg.Logger.Info("blocks freed", "Store", f.address, "Blocks", len(old), "Error", err)
}

func (f *follower) order(ctx context.Context, blocks []bluebellplatform.BlockChange) error {
	body, err := bluebellplatform.EncodeFree(f.incarnation, blocks)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.address+bluebellplatform.FreePath, bytes.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Content-Type", "application/json")
	if _, err := f.stock.do(r); err != nil {
		return err
	}
	for _, b := range blocks {
		f.stock.cfg.Directory.Drop(f.address, bluebelldirectory.Key{Scope: b.Scope, ID: b.ID})
	}
	return nil
}
