package jmdirectory

import (
	"runtime"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/jasminemoor/jasminemoor"
)

// fullSizeReplica returns a copy with the upstreams and routes of the largest
// fleet to be supported.
func fullSizeReplica() *replica {
	const upstreams, routes = 5000, 480
	c := &jasminemoor.DirectoryChanges{Revision: upstreams + 1}
	ports := make([]uint16, routes)
	for i := range ports {
		ports[i] = uint16(i + 1)
	}
	c.Entries = append(c.Entries, routingEntry(1, 1, ports...))
	for i := range upstreams {
		c.Entries = append(c.Entries, upstreamEntry(i+1, jasminemoor.Revision(i+2)))
	}
	r := &replica{}
	r.applyEntries(startTime, c, true)
	return r
}

// BenchmarkView builds a view of a copy of full size, as each process does with
// each change, and at most once a second when removed upstreams expire.
func BenchmarkView(b *testing.B) {
	r := fullSizeReplica()
	b.ReportAllocs()
	for b.Loop() {
		runtime.KeepAlive(r.view(startTime))
	}
}

// BenchmarkCopy reports the memory of a copy with its view, and its size on the
// wire.
func BenchmarkCopy(b *testing.B) {
	for b.Loop() {
		before := heapSize()
		r := fullSizeReplica()
		v := r.view(startTime)
		b.ReportMetric(float64(heapSize()-before)/1e6, "MB")
		items, _ := r.delta(&PullRequest{})
		whole, err := msgpack.Marshal(&PullReply{Items: items})
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(whole))/1e6, "MB-wire")
		runtime.KeepAlive(v)
	}
}

func heapSize() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkBeacon reports the size of a beacon with one change on the wire.
func BenchmarkBeacon(b *testing.B) {
	e := upstreamEntry(1, 2)
	m := &Message{Beacon: &Beacon{Reader: agentAddr(1), Number: 1 << 60, Revision: 2, Since: 1, News: []Item{{Revision: 2, Upstream: &UpstreamItem{Key: e.Key, Upstream: e.Upstream}}}}}
	for b.Loop() {
		text, err := msgpack.Marshal(m)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(text)), "B")
	}
}
