package jmdirectory

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/jasminemoor/jasminemoor"
)

// longRunning is the entry of an upstream that started an hour before startTime.
func longRunning(i int) jasminemoor.Entry {
	e := upstreamEntry(i, 0)
	e.Upstream.Born = startTime.Add(-time.Hour).UnixMilli()
	return e
}

func newFleetWithStarts(t *testing.T, balancers, agents int) *fleet {
	f := newFleet(t, balancers, agents)
	for i := range agents {
		f.write(longRunning(i + 1))
	}
	f.run(5 * time.Second)
	return f
}

// knowing returns the number of live machines in whose views an upstream has ended.
func (f *fleet) knowing(i int) (knowing, live int) {
	for self, m := range f.machines {
		if f.isDead[self] {
			continue
		}
		live++
		if u := m.View(f.now).Agents[agentAddr(i)]; u != nil && u.HasEnded {
			knowing++
		}
	}
	return knowing, live
}

// refuse has upstream 7 refuse connections for a time, as its agent probes it.
func (f *fleet) refuse(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.step() {
		f.machines[agentAddr(7)].RecordEnd(f.now)
	}
}

// leave ends the agent of upstream 7.
func (f *fleet) leave() {
	f.perform(agentAddr(7), f.machines[agentAddr(7)].Leave(f.now))
	f.isDead[agentAddr(7)] = true
}

// TestEndingsReachAll has the agent of an upstream that has ended leave, or announce the
// ending after a while. All processes know soon.
func TestEndingsReachAll(t *testing.T) {
	t.Run("leaves at once", func(t *testing.T) {
		f := newFleetWithStarts(t, 10, 60)
		f.machines[agentAddr(7)].RecordEnd(f.now)
		f.leave()
		f.run(time.Second)
		knowing, live := f.knowing(7)
		require.Equal(t, live, knowing)
		none, _ := f.knowing(8)
		require.Zero(t, none)
	})
	t.Run("keeps running", func(t *testing.T) {
		f := newFleetWithStarts(t, 10, 60)
		f.refuse(endingDelay)
		none, _ := f.knowing(7)
		require.Zero(t, none, "the agent itself answers")
		f.refuse(time.Second)
		knowing, live := f.knowing(7)
		require.Equal(t, live, knowing)
	})
	t.Run("without a refusal", func(t *testing.T) {
		f := newFleetWithStarts(t, 10, 60)
		f.leave()
		f.run(time.Second)
		none, _ := f.knowing(7)
		require.Zero(t, none, "a silent agent proves nothing")
	})
}

// TestEndingsReachLateStarters starts processes after an ending was announced, with and
// without the platform.
func TestEndingsReachLateStarters(t *testing.T) {
	f := newFleetWithStarts(t, 3, 60)
	f.machines[agentAddr(7)].RecordEnd(f.now)
	f.leave()
	f.run(2 * time.Second)
	f.add(agentAddr(9), netip.AddrPortFrom(agentAddr(9), 8080))
	f.run(3 * time.Second)
	require.True(t, f.machines[agentAddr(9)].View(f.now).Agents[agentAddr(7)].HasEnded)

	pulled := &Machine{Self: agentAddr(500)}
	reply := f.machines[agentAddr(9)].HandlePullRequest(f.now, &PullRequest{})
	_ = pulled.HandlePullReply(f.now, &PullRequest{}, reply)
	require.True(t, pulled.View(f.now).Agents[agentAddr(7)].HasEnded, "with the first copy")
}

// TestEndingsAreForwardedOnce counts messages: an ending costs each process as many at any
// size of the fleet, whether all upstreams end at once or one does.
func TestEndingsAreForwardedOnce(t *testing.T) {
	for _, agents := range []int{20, 200} {
		f := newFleetWithStarts(t, 0, agents)
		m := f.machines[agentAddr(2)]
		message := &Message{Endings: []Ending{{Address: netip.AddrPortFrom(agentAddr(1), 8080), ID: "i-1", Born: longRunning(1).Upstream.Born}}}
		out := m.Handle(f.now, agentAddr(3), message)
		require.True(t, out.HasNewView)
		require.Empty(t, out.Sends, "with the next tick")
		sent := len(m.Tick(f.now).Sends)
		require.Equal(t, Fanout+1, sent)
		out = m.Handle(f.now, agentAddr(4), message)
		require.False(t, out.HasNewView)
		require.Empty(t, m.Tick(f.now).Sends)
	}
}

// TestEndingMeansOneRun checks that an ending never counts for another upstream at the
// address, and that no upstream is named that may be starting.
func TestEndingMeansOneRun(t *testing.T) {
	address := netip.AddrPortFrom(agentAddr(1), 8080)
	former := longRunning(1)
	next := func(born time.Time, id string) jasminemoor.Entry {
		e := upstreamEntry(1, 0)
		e.Key, e.Upstream.ID, e.Upstream.Born = "u/"+id, id, born.UnixMilli()
		return e
	}
	apply := func(m *Machine, revision jasminemoor.Revision, now time.Time, e jasminemoor.Entry) {
		e.Revision = revision
		isLoad := revision == 1
		_ = m.HandleRead(now, Read{IsLoad: isLoad, Wait: WatchWait}, &jasminemoor.DirectoryChanges{Revision: revision, Entries: []jasminemoor.Entry{e}}, nil)
	}
	newMachine := func() *Machine {
		f := newFleet(t, 0, 1)
		m := f.machines[agentAddr(1)]
		apply(m, 1, startTime, former)
		return m
	}
	hasEnded := func(m *Machine, now time.Time) bool { return m.View(now).Upstreams[address].HasEnded }
	t.Run("ended", func(t *testing.T) {
		m := newMachine()
		m.RecordEnd(startTime)
		require.True(t, m.Leave(startTime).HasNewView)
		require.True(t, hasEnded(m, startTime))
	})
	t.Run("the next one, with the same id", func(t *testing.T) {
		m := newMachine()
		m.RecordEnd(startTime)
		_ = m.Leave(startTime)
		apply(m, 2, startTime.Add(time.Second), next(startTime.Add(time.Second), "i-1"))
		require.False(t, hasEnded(m, startTime.Add(time.Second)))
	})
	t.Run("the next one is listed before the announcement", func(t *testing.T) {
		m := newMachine()
		m.RecordEnd(startTime)
		apply(m, 2, startTime, next(startTime.Add(time.Second), "i-1"))
		_ = m.Leave(startTime.Add(2 * time.Second))
		require.False(t, hasEnded(m, startTime.Add(2*time.Second)))
		require.Empty(t, m.replica.endings.at)
	})
	t.Run("one that has just started may not listen yet", func(t *testing.T) {
		m := newMachine()
		apply(m, 2, startTime, next(startTime.Add(-clockTolerance/2), "i-9"))
		m.RecordEnd(startTime)
		_ = m.Leave(startTime)
		require.False(t, hasEnded(m, startTime))
	})
	t.Run("an old refusal says nothing of a later upstream", func(t *testing.T) {
		m := newMachine()
		m.RecordEnd(startTime)
		later := startTime.Add(time.Minute)
		apply(m, 2, later, next(startTime.Add(time.Second), "i-9"))
		_ = m.Leave(later)
		require.False(t, hasEnded(m, later))
	})
	t.Run("no entry, or one without a start time", func(t *testing.T) {
		m := newMachine()
		apply(m, 2, startTime, jasminemoor.Entry{Key: "u/i-1"})
		e := upstreamEntry(1, 0)
		e.Key = "u/i-9"
		apply(m, 3, startTime, e)
		m.RecordEnd(startTime)
		_ = m.Leave(startTime)
		require.False(t, hasEnded(m, startTime))
	})
	t.Run("bad values", func(t *testing.T) {
		m := newMachine()
		_ = m.Handle(startTime, agentAddr(2), &Message{Endings: []Ending{
			{}, {Address: address, ID: "i-1"}, {Address: address, ID: "i-1", Born: former.Upstream.Born, Age: -1},
		}})
		require.Empty(t, m.replica.endings.at)
	})
}

// TestEndingsExpire keeps an ending for as long as views have the upstream, and no more
// than maxEndings.
func TestEndingsExpire(t *testing.T) {
	f := newFleetWithStarts(t, 0, 20)
	f.machines[agentAddr(7)].RecordEnd(f.now)
	f.leave()
	f.run(2 * endingRetention)
	knowing, live := f.knowing(7)
	require.Equal(t, live, knowing, "its entry is still listed")
	f.write(jasminemoor.Entry{Key: "u/i-7"})
	f.run(endingRetention + viewRetention)
	for self, m := range f.machines {
		if !f.isDead[self] {
			require.Empty(t, m.replica.endings.at)
		}
	}
	var e endings
	for i := range 2 * maxEndings {
		e.add(endedUpstream{born: int64(i)}, f.now)
	}
	require.Len(t, e.at, maxEndings)
}

// TestEndingsEncoding checks that messages with and without endings pass, that the largest
// fits a datagram, and that an earlier release reads endings as a message without content.
func TestEndingsEncoding(t *testing.T) {
	endings := make([]Ending, maxMessageEndings)
	for i := range endings {
		endings[i] = Ending{Address: netip.AddrPortFrom(agentAddr(i), 8080), ID: "i-0123456789abcdef0123", Born: startTime.UnixMilli(), Age: time.Hour}
	}
	for name, message := range map[string]*Message{
		"endings":   {Endings: endings},
		"subscribe": {IsSubscribe: true},
		"beacon":    {Beacon: &Beacon{Reader: agentAddr(1), Number: 3, Revision: 9}},
	} {
		t.Run(name, func(t *testing.T) {
			raw, err := msgpack.Marshal(message)
			require.NoError(t, err)
			require.LessOrEqual(t, len(raw), 1300)
			decoded := &Message{}
			require.NoError(t, msgpack.Unmarshal(raw, decoded))
			require.Equal(t, message, decoded)
			earlier := &beaconMessage{}
			require.NoError(t, msgpack.Unmarshal(raw, earlier))
			require.Equal(t, message.IsSubscribe, earlier.IsSubscribe)
		})
	}
}
