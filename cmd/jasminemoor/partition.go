package main

import (
	"net/netip"
	"os"
	"strings"
	"sync/atomic"
	"time"
)

const partitionInterval = 100 * time.Millisecond

// partitionFile simulates a network partition: a process can't reach the address
// ranges that a file lists, one on each line. The file is read again at each
// partitionInterval. Before the first reading, and if the file can't be read, all
// addresses can be reached.
type partitionFile struct {
	path     string
	prefixes atomic.Pointer[[]netip.Prefix]
}

// watch reads the file until done is closed.
func (f *partitionFile) watch(done <-chan struct{}) {
	ticker := time.NewTicker(partitionInterval)
	defer ticker.Stop()
	for {
		f.read()
		select {
		case <-done:
			return
		case <-ticker.C:
		}
	}
}

// read stores the ranges of the file. It ignores lines that are not a range.
func (f *partitionFile) read() {
	text, _ := os.ReadFile(f.path)
	var prefixes []netip.Prefix
	for line := range strings.Lines(string(text)) {
		if p, err := netip.ParsePrefix(strings.TrimSpace(line)); err == nil {
			prefixes = append(prefixes, p)
		}
	}
	f.prefixes.Store(&prefixes)
}

// canReach reports whether an address is outside the ranges of the file.
func (f *partitionFile) canReach(to netip.AddrPort) bool {
	prefixes := f.prefixes.Load()
	if prefixes == nil {
		return true
	}
	for _, p := range *prefixes {
		if p.Contains(to.Addr().Unmap()) {
			return false
		}
	}
	return true
}
