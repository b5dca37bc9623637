package bluebellquarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	quarantine "bluebellhaven.org/bluebell/bluebellquarantine"
)

const second = time.Second

// block returns the subject of a block at a position.
func block(id string, position int) quarantine.Subject { return quarantine.Block("m", id, position) }

// deployment is a number of entries with a ledger that gets their reports.
type deployment struct {
	ledger *quarantine.Ledger
	guards []*quarantine.Guard
}

func newDeployment(entries int) *deployment {
	d := &deployment{ledger: quarantine.NewLedger(quarantine.LedgerConfig{})}
	for range entries {
		d.guards = append(d.guards, quarantine.NewGuard())
	}
	return d
}

// judge exchanges reports twice, as polls do, and returns the convicted subjects.
func (d *deployment) judge(now time.Duration, history map[quarantine.Key]quarantine.Record) []quarantine.Subject {
	for range 2 {
		now += 100 * time.Millisecond
		for i, g := range d.guards {
			d.ledger.Record(fmt.Sprint("entry-", i), now, quarantine.Report{Suspects: g.Report(now)})
			g.SetListed(d.ledger.Listed(now))
		}
	}
	return quarantine.Judge(d.ledger.Suspects(now+100*time.Millisecond), history)
}

// crash lets the calls with the given subjects end in a crash, each at another entry.
func (d *deployment) crash(now time.Duration, endpoint uint64, calls ...[]quarantine.Subject) {
	for i, subjects := range calls {
		d.guards[(int(endpoint)+i)%len(d.guards)].RecordCrash(quarantine.Crash{At: now, Endpoint: endpoint}, subjects)
	}
}

// A block whose calls crash engines at any entries is convicted at the third crash, and no block
// that shares calls or crashes with it, with few entries and with many.
func TestBlockIsConvictedAcrossEntries(t *testing.T) {
	first, subject, poisoned := block("first", 0), block("subject", 1), block("poisoned", 2)
	for _, entries := range []int{1, 6, 295} {
		d := newDeployment(entries)
		for n := range 3 {
			at := second * time.Duration(1+n)
			require.Empty(t, d.judge(at-second/2, nil))
			d.crash(at, uint64(n+1), []quarantine.Subject{first, subject, poisoned}, []quarantine.Subject{first, block(fmt.Sprint("other-", n), 1)})
			d.guards[0].RecordServed(at+second/4, []quarantine.Subject{first, block("another", 1)})
		}
		require.Equal(t, []quarantine.Subject{poisoned}, d.judge(4*second, nil), "%d entries", entries)
	}
}

// Engines of a domain that end together, and connections of an entry that are reset together, count
// as one crash.
func TestDarkDomainConvictsNoBlock(t *testing.T) {
	d := newDeployment(6)
	for n := range 20 {
		d.crash(second+time.Duration(n)*time.Millisecond, uint64(n+1), []quarantine.Subject{block("first", 0), block("subject", 1)})
	}
	require.Empty(t, d.judge(2*second, nil))
}

// Engines that are replaced one after the other end with calls of many blocks. Those whose calls are
// answered elsewhere are cleared, also by an entry that saw none of the crashes.
func TestSlowRollConvictsNoAnsweredBlock(t *testing.T) {
	d := newDeployment(6)
	popular := []quarantine.Subject{block("first", 0), block("subject", 1)}
	for n := range 12 {
		at := second * time.Duration(2*n+1)
		d.crash(at, uint64(n+1), popular)
		d.guards[5].RecordServed(at+second, popular)
		require.Empty(t, d.judge(at+second, nil))
	}
}

// While engines crash for other reasons, a block that happens to be there each time needs twice the
// crashes.
func TestOtherCrashesRaiseTheBar(t *testing.T) {
	rare := block("rare", 1)
	d := newDeployment(6)
	for n := range 12 {
		subjects := []quarantine.Subject{block(fmt.Sprint("some-", n), 1)}
		if n%4 == 0 {
			subjects = append(subjects, rare)
		}
		d.crash(second*time.Duration(n+1), uint64(n+1), subjects)
	}
	require.Empty(t, d.judge(13*second, nil))
}

// A connection that was lost while its endpoint goes on answering is no crash.
func TestResetConnectionIsNoCrash(t *testing.T) {
	d := newDeployment(1)
	g := d.guards[0]
	for n := range 5 {
		at := second * time.Duration(2*n+1)
		g.RecordCrash(quarantine.Crash{At: at, Endpoint: 7}, []quarantine.Subject{block("subject", 1)})
		g.RecordAnswer(at+second/2, at+second/4, 7)
	}
	require.Empty(t, g.Report(11*second))
}

// A call that is repeated is convicted, and not its blocks; once another call with one of its blocks
// crashes an engine, the block is, unless calls with it are answered.
func TestRepeatedCallIsConvictedBeforeItsBlocks(t *testing.T) {
	poisoned := block("poisoned", 1)
	call := quarantine.Call("customer", "h", "/x", []string{"poisoned", "own"}, nil)
	d := newDeployment(6)
	for n := range 3 {
		d.crash(second*time.Duration(n+1), uint64(n+1), []quarantine.Subject{poisoned, call})
	}
	require.Equal(t, []quarantine.Subject{call}, d.judge(4*second, nil))
	history := map[quarantine.Key]quarantine.Record{call.Key: {Active: true, Since: 4 * second}}
	require.Empty(t, d.judge(5*second, history))
	other := []quarantine.Subject{poisoned, quarantine.Call("customer", "h", "/x", []string{"poisoned", "other"}, nil)}
	d.crash(6*second, 6, other)
	require.Equal(t, []quarantine.Subject{poisoned}, d.judge(7*second, history))
	d.guards[0].RecordServed(8*second, []quarantine.Subject{poisoned})
	d.crash(9*second, 9, other)
	require.Empty(t, d.judge(10*second, history), "calls with the block are answered, so the call was the cause")
}

// After the term of a verdict one new crash is enough, after a verdict that was lifted it is not.
// Crashes from before the end count in neither case.
func TestVerdictOfEndedTermIsRenewedSoon(t *testing.T) {
	poisoned := block("poisoned", 1)
	d := newDeployment(6)
	for n := range 4 {
		d.crash(second*time.Duration(n+1), uint64(n+1), []quarantine.Subject{poisoned})
	}
	ended := map[quarantine.Key]quarantine.Record{poisoned.Key: {Since: 3 * second, EndedAt: 10 * second}}
	lifted := map[quarantine.Key]quarantine.Record{poisoned.Key: {Since: 3 * second, EndedAt: 10 * second, Lifted: true}}
	require.Empty(t, d.judge(11*second, ended))
	d.crash(12*second, 20, []quarantine.Subject{poisoned})
	require.Empty(t, d.judge(13*second, lifted))
	require.Equal(t, []quarantine.Subject{poisoned}, d.judge(13*second, ended))
}

// An entry that reaches no core process keeps the verdicts and convicts by what it has seen itself.
func TestCutOffEntryConvictsAlone(t *testing.T) {
	known, seen := block("known", 1), block("seen", 1)
	g := quarantine.NewGuard()
	g.SetVerdicts(second, []quarantine.Verdict{{Subject: known, Until: 100 * second}})
	for n := range 3 {
		g.RecordCrash(quarantine.Crash{At: second * time.Duration(n+2), Endpoint: uint64(n + 1)}, []quarantine.Subject{seen})
	}
	_, blocked := g.Blocked(6*second, []quarantine.Subject{seen})
	require.False(t, blocked, "while a core process answers, the verdict is the leader's")
	g.SetAlone(true)
	for _, s := range []quarantine.Subject{known, seen} {
		_, blocked = g.Blocked(6*second, []quarantine.Subject{s})
		require.True(t, blocked)
	}
	_, blocked = g.Blocked(101*second, []quarantine.Subject{known})
	require.False(t, blocked, "the verdict has ended")
}

// A verdict withdraws the calls that wait, and only those with its subject.
func TestVerdictWithdrawsWaitingCalls(t *testing.T) {
	g := quarantine.NewGuard()
	withdrawn := map[string]int{}
	for _, id := range []string{"a", "b", "ended"} {
		unwatch := g.Watch([]quarantine.Subject{block("first", 0), block(id, 1)}, func(v quarantine.Verdict) {
			require.Equal(t, block(id, 1), v.Subject)
			withdrawn[id]++
		})
		if id == "ended" {
			unwatch()
		}
	}
	verdicts := []quarantine.Verdict{{Subject: block("a", 1), Until: 9 * second}, {Subject: block("ended", 1), Until: 9 * second}}
	require.Len(t, g.SetVerdicts(second, verdicts), 2)
	require.Empty(t, g.SetVerdicts(2*second, verdicts), "known verdicts are not new")
	require.Equal(t, map[string]int{"a": 1}, withdrawn)
}

// Crashes with subjects that never repeat take bounded memory, and the block that repeats is still
// found.
func TestEvidenceIsBoundedWhenSubjectsNeverRepeat(t *testing.T) {
	d := newDeployment(1)
	g := d.guards[0]
	rng := rand.New(rand.NewPCG(1, 1))
	poisoned := block("poisoned", 3)
	for n := range 8 * quarantine.MaxSubjects {
		subjects := []quarantine.Subject{block(fmt.Sprint(rng.Uint64()), 1)}
		if n%(2*quarantine.MaxSubjects) == 0 {
			subjects = append(subjects, poisoned)
		}
		g.RecordCrash(quarantine.Crash{At: time.Duration(n) * time.Millisecond, Endpoint: uint64(n/1000 + 1)}, subjects)
		g.RecordServed(time.Duration(n)*time.Millisecond, []quarantine.Subject{block(fmt.Sprint(rng.Uint64()), 1)})
	}
	require.LessOrEqual(t, len(g.Report(5*second)), quarantine.MaxSubjects)
}

// The crashes that an entry saw count for as long as those of others after it has ended. The same crash from
// two reports counts once.
func TestEvidenceOfEndedEntryStays(t *testing.T) {
	l := quarantine.NewLedger(quarantine.LedgerConfig{})
	suspect := quarantine.Suspect{Subject: block("x", 1), Crashes: []quarantine.Crash{{Endpoint: 1, At: -5 * second}}}
	l.Record("entry", second, quarantine.Report{Suspects: []quarantine.Suspect{suspect}})
	l.RecordPeer("core", second, []quarantine.Suspect{suspect})
	require.Len(t, l.Suspects(2*second), 1, "crashes from before the start of a core process count")
	require.Len(t, l.Suspects(2 * second)[0].Crashes, 1, "the same crash from two reports counts once")
	l.RecordPeer("core", 10*second, nil)
	require.Len(t, l.Suspects(10 * second)[0].Crashes, 1)
	require.Len(t, l.Suspects(quarantine.EvidenceRetention - 6*second)[0].Crashes, 1)
	for _, s := range l.Suspects(quarantine.EvidenceRetention - 4*second) {
		require.Empty(t, s.Crashes)
	}
	require.Empty(t, l.Suspects(quarantine.EvidenceRetention+2*second))
}

// An entry that restarts forgets the crashes that it saw, and its first report replaced the last one of
// before: a call went on to crash endpoints. What it withdraws itself no longer counts.
func TestEvidenceOfRestartedEntryStays(t *testing.T) {
	call := quarantine.Call("customer", "h", "/x", nil, nil)
	suspects := func(crashes ...quarantine.Crash) []quarantine.Suspect {
		return []quarantine.Suspect{{Subject: call, Crashes: crashes}}
	}
	l := quarantine.NewLedger(quarantine.LedgerConfig{})
	first, second, third := quarantine.Crash{Endpoint: 1, At: time.Second}, quarantine.Crash{Endpoint: 2, At: 2 * time.Second}, quarantine.Crash{Endpoint: 3, At: 3 * time.Second}
	l.Record("entry", time.Second, quarantine.Report{Number: 7, Suspects: suspects(first)})
	l.Record("entry", 2*time.Second, quarantine.Report{Number: 1, Suspects: suspects(second)})
	l.Record("entry", 3*time.Second, quarantine.Report{Number: 2, Suspects: suspects(second)})
	require.Len(t, l.Suspects(3 * time.Second)[0].Crashes, 2)
	l.Record("entry", 4*time.Second, quarantine.Report{Number: 3, Suspects: suspects(second, third)})
	require.Equal(t, []quarantine.Subject{call}, quarantine.Judge(l.Suspects(4*time.Second), nil))
	l.Record("entry", 5*time.Second, quarantine.Report{Number: 4, Suspects: suspects(second)})
	require.Empty(t, quarantine.Judge(l.Suspects(5*time.Second), nil), "it has withdrawn a crash")
}

func TestKeyRoundTrip(t *testing.T) {
	key := block("x", 1).Key
	parsed, err := quarantine.ParseKey(key.String())
	require.NoError(t, err)
	require.Equal(t, key, parsed)
	for _, text := range []string{"", "12", "zzzzzzzzzzzzzzzz", key.String() + "0"} {
		_, err := quarantine.ParseKey(text)
		require.Error(t, err)
	}
	require.NotEqual(t, quarantine.Call("a", "b", "c", nil, []byte("d")).Key, quarantine.Call("ab", "", "c", nil, []byte("d")).Key)
}

// An answer that ends with its connection clears its subjects only once the endpoint has answered a
// later call.
func TestAnswerEndedByConnectionClearsLater(t *testing.T) {
	subject := block("subject", 1)
	g := quarantine.NewGuard()
	g.RecordCrash(quarantine.Crash{At: second, Endpoint: 1}, []quarantine.Subject{subject})
	g.RecordEnded(2*second, 2, []quarantine.Subject{subject})
	require.Len(t, g.Report(2*second), 1)
	g.RecordCrash(quarantine.Crash{At: 3 * second, Endpoint: 2}, []quarantine.Subject{block("other", 1)})
	g.RecordAnswer(5*second, 4*second, 2)
	require.Len(t, g.Report(5*second), 2, "the endpoint has crashed since")
	g.RecordEnded(6*second, 3, []quarantine.Subject{subject})
	g.RecordAnswer(8*second, 7*second, 3)
	require.Len(t, g.Report(8*second), 1)
}

// Connections to sound endpoints that an entry lost with its links are no evidence against calls; crashes
// of endpoints that do not register again are.
func TestLostLinksAreNoCrashes(t *testing.T) {
	shared, own := quarantine.Block("m", "shared", 0), quarantine.Block("m", "own", 1)
	sound, other, replaced := quarantine.Incarnation("i-1", 1), quarantine.Incarnation("i-2", 1), quarantine.Incarnation("i-3", 1)
	registered := map[uint64]time.Duration{sound: 19 * time.Second, other: 20 * time.Second}
	l := quarantine.NewLedger(quarantine.LedgerConfig{Registered: func() map[uint64]time.Duration { return registered }})
	g := quarantine.NewGuard()
	g.RecordCrash(quarantine.Crash{At: 10 * time.Second, Endpoint: replaced}, []quarantine.Subject{shared})
	g.RecordCrash(quarantine.Crash{At: 20 * time.Second, Endpoint: sound}, []quarantine.Subject{shared, own})
	g.RecordCrash(quarantine.Crash{At: 21 * time.Second, Endpoint: other}, []quarantine.Subject{shared})
	l.Record("entry", 22*time.Second, quarantine.Report{Suspects: g.Report(22 * time.Second)})
	require.Len(t, l.Suspects(22*time.Second), 2)
	registered[sound] = 21900 * time.Millisecond
	registered[other] = 22 * time.Second // may have been sent before the crash
	suspects := l.Suspects(23 * time.Second)
	require.Equal(t, shared.Key, suspects[0].Key)
	require.Len(t, suspects[0].Crashes, 2)
	require.NotContains(t, suspects[0].Crashes, quarantine.Crash{Endpoint: sound, At: 20 * time.Second})
	require.Empty(t, suspects[1].Crashes)
}

// retried returns the crashes of a call that crashes endpoints in turn, each of which was alive after the
// crash before.
func retried(at time.Duration, firstEndpoint uint64, attempts int) []quarantine.Crash {
	const work, connect = 30 * time.Millisecond, time.Millisecond
	var crashes []quarantine.Crash
	for n := range attempts {
		crashes = append(crashes, quarantine.Crash{Endpoint: firstEndpoint + uint64(n), At: at, AliveAt: at - work})
		at += connect + work
	}
	return crashes
}

// Crashes of a quick call that was sent to one endpoint after the other counted once, since they lie so close
// together, so that the call crashed nine endpoints before it was convicted.
func TestQuickRetriedCallIsConvictedAtThirdCrash(t *testing.T) {
	call := quarantine.Call("customer", "h", "/x", nil, nil)
	for _, entries := range []int{1, 6, 295} {
		for attempts := 1; attempts <= 3; attempts++ {
			d := newDeployment(entries)
			crashes := 0
			for repeat := 0; len(d.judge(time.Duration(repeat+1)*second, nil)) == 0; repeat++ {
				for _, c := range retried(time.Duration(repeat+1)*second+second/2, uint64(1+10*repeat), attempts) {
					d.guards[repeat%entries].RecordCrash(c, []quarantine.Subject{call})
					crashes++
				}
			}
			require.LessOrEqual(t, crashes, 4, "%d entries, %d attempts", entries, attempts)
		}
	}
}

// Endpoints of a domain that end together are not known to have been alive after each other's end, although
// their ends are seen at different times.
func TestEndpointsThatEndTogetherCountOnce(t *testing.T) {
	call := quarantine.Call("customer", "h", "/x", nil, nil)
	d := newDeployment(6)
	for n := range 6 {
		seen := second + time.Duration(n)*40*time.Millisecond
		d.guards[n].RecordCrash(quarantine.Crash{Endpoint: uint64(n + 1), At: seen, AliveAt: second - time.Millisecond}, []quarantine.Subject{call})
	}
	require.Empty(t, d.judge(2*second, nil))
}

// A sound call of the same customer that was at each endpoint that another call crashed is not convicted in
// its place: the answer that it gets once an endpoint is back tells them apart.
func TestSoundCallAtTheSameCrashesIsNotConvicted(t *testing.T) {
	deadly, sound := quarantine.Call("customer", "h", "/x", nil, nil), quarantine.Call("customer", "h", "/y", nil, nil)
	for _, entries := range []int{1, 6, 295} {
		d := newDeployment(entries)
		for i, c := range retried(second, 1, 3) {
			for _, subject := range []quarantine.Subject{deadly, sound} {
				d.guards[i%entries].RecordCrash(c, []quarantine.Subject{subject})
			}
		}
		require.Empty(t, d.judge(2*second, nil), "either may be the cause")
		d.guards[entries-1].RecordServed(4*second, []quarantine.Subject{sound})
		require.Equal(t, []quarantine.Subject{deadly}, d.judge(4*second, nil))
	}
}

// Calls that no answer tells apart are all convicted in the end.
func TestCallsThatAlwaysCrashTogetherAreConvicted(t *testing.T) {
	calls := []quarantine.Subject{quarantine.Call("customer", "h", "/x", nil, nil), quarantine.Call("customer", "h", "/y", nil, nil)}
	d := newDeployment(1)
	for n := range 6 {
		for _, c := range calls {
			d.guards[0].RecordCrash(quarantine.Crash{Endpoint: uint64(n + 1), At: second * time.Duration(n+1)}, []quarantine.Subject{c})
		}
		require.Equal(t, n == 5, len(d.judge(second*time.Duration(n+1), nil)) > 0)
	}
	require.ElementsMatch(t, calls, d.judge(7*second, nil))
}

// A call whose crashes different entries have seen is reported by each of them, although many calls that ended
// in crashes and came only once are suspect as well.
func TestCallIsReportedBesideManySuspects(t *testing.T) {
	deadly := quarantine.Call("customer", "h", "/deadly", nil, nil)
	for _, entries := range []int{3, 6, 295} {
		d := newDeployment(entries)
		single := 0
		// ended is a crash at which each entry has many calls that do not come again.
		ended := func(at time.Duration, endpoint uint64) {
			for _, g := range d.guards[:3] {
				for range 30 {
					single++
					g.RecordCrash(quarantine.Crash{At: at, Endpoint: endpoint}, []quarantine.Subject{quarantine.Call("customer", "h", fmt.Sprint("/", single), nil, nil)})
				}
			}
		}
		for n := range 3 {
			at := second * time.Duration(4*n+1)
			ended(at, uint64(2*n+1))
			d.judge(at+second, nil)
			ended(at+2*second, uint64(2*n+2))
			d.guards[n].RecordCrash(quarantine.Crash{At: at + 2*second, Endpoint: uint64(2*n + 2)}, []quarantine.Subject{deadly})
			d.judge(at+3*second, nil)
		}
		suspects := d.ledger.Suspects(20 * second)
		require.Equal(t, deadly.Key, suspects[0].Key)
		require.Len(t, suspects[0].Crashes, 3, "%d entries", entries)
	}
}
