package main

import (
	"net/netip"
	"os"
	"strings"
	"sync/atomic"
	"time"
)

const cutInterval = 100 * time.Millisecond

// cutFile keeps a process from reaching the address ranges that a file lists,
// one in a line, for trials of partitions. The file is read again and again; a
// missing one cuts nothing.
type cutFile struct {
	path     string
	prefixes atomic.Pointer[[]netip.Prefix]
}

// watch reads the file until done is closed.
func (c *cutFile) watch(done <-chan struct{}) {
	ticker := time.NewTicker(cutInterval)
	defer ticker.Stop()
	for {
		c.read()
		select {
		case <-done:
			return
		case <-ticker.C:
		}
	}
}

func (c *cutFile) read() {
	text, _ := os.ReadFile(c.path)
	var prefixes []netip.Prefix
	for line := range strings.Lines(string(text)) {
		if p, err := netip.ParsePrefix(strings.TrimSpace(line)); err == nil {
			prefixes = append(prefixes, p)
		}
	}
	c.prefixes.Store(&prefixes)
}

// reaches reports whether an address is outside the ranges of the file.
func (c *cutFile) reaches(to netip.AddrPort) bool {
	prefixes := c.prefixes.Load()
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
