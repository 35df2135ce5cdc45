package jmnode

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmtree"
)

const (
	readerCheckInterval = time.Second // between checks whether to read
	callTimeout         = 5 * time.Second
	watchTimeout        = 90 * time.Second
	// Between the checks of a process that waits for the confirmation of its settings, and
	// for the platform's answer to it.
	confirmInterval = 100 * time.Millisecond
	confirmTimeout  = time.Second
	// maxConfirmReads bounds the subtrees that a process reads to confirm its settings. If it
	// lacks more, it gets them from peers.
	maxConfirmReads = 4
	// minCallInterval bounds the rate of calls if watches return immediately.
	minCallInterval = 50 * time.Millisecond
	minBackoff      = 500 * time.Millisecond
	maxBackoff      = 15 * time.Second
)

var errPanicked = errors.New("reading the platform panicked")

// followPlatform reads the platform while this process is a reader, or while no
// peer keeps its settings up to date.
func (n *Node) followPlatform(ctx context.Context) {
	if n.Platform == nil {
		return
	}
	backoff := minBackoff
	since := uint64(0)
	for ctx.Err() == nil {
		if !n.shouldRead(ctx) {
			sleep(ctx, n.checkInterval())
			continue
		}
		revision, err := since, errPanicked
		n.Guard.Try(goroutinePlatform, func() { revision, err = n.readPlatform(ctx, since) })
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			n.enqueue(func(time.Time) { n.machine.RecordPlatformLoss() })
			n.Counters.PlatformErrors.Add(1)
			n.Log.WithError(err).Warn("settings: platform can't be read")
			sleep(ctx, jitter(backoff))
			backoff = min(backoff*2, maxBackoff)
			continue
		}
		since = revision
		if n.View().Config == nil {
			// The fleet's subtree has faults, so no settings are in force yet.
			sleep(ctx, jitter(backoff))
			backoff = min(backoff*2, maxBackoff)
			continue
		}
		backoff = minBackoff
		sleep(ctx, minCallInterval)
	}
}

// checkInterval returns the interval between checks whether to read.
func (n *Node) checkInterval() time.Duration {
	if n.isUnconfirmed() {
		return confirmInterval
	}
	return readerCheckInterval
}

// isUnconfirmed reports whether the process waits for the confirmation of its first settings.
func (n *Node) isUnconfirmed() bool { return n.NeedsConfirmation && !n.View().IsConfirmed }

// shouldRead asks the control goroutine whether this process should read the
// platform now.
func (n *Node) shouldRead(ctx context.Context) bool {
	answer := make(chan bool, 1)
	n.enqueue(func(now time.Time) {
		answer <- n.machine.ShouldRead(now)
	})
	select {
	case should := <-answer:
		return should
	case <-ctx.Done():
	case <-time.After(controlAnswerTimeout):
	}
	return false
}

// readPlatform waits for a change and reads the new revisions. A process without
// settings reads only the fleet's subtree: that names its peers, which provide
// the rest unless the process is a reader itself.
func (n *Node) readPlatform(ctx context.Context, since uint64) (revision uint64, err error) {
	if n.View().Config == nil {
		return 0, n.readSubtree(ctx, jmtree.FleetPath)
	}
	revisions, err := n.waitRevisions(ctx, since)
	if err != nil {
		return since, err
	}
	missing := make(chan []string, 1)
	n.enqueue(func(now time.Time) { missing <- n.machine.Needs(now, revisions) })
	select {
	case paths := <-missing:
		if n.isUnconfirmed() && len(paths) > maxConfirmReads {
			sleep(ctx, jitter(readerCheckInterval))
			return since, nil
		}
		for _, path := range paths {
			if err = n.readSubtree(ctx, path); err != nil {
				return since, err
			}
		}
	case <-ctx.Done():
		return since, ctx.Err()
	case <-time.After(controlAnswerTimeout):
		return since, nil
	}
	n.enqueue(func(time.Time) { n.machine.ConfirmByPlatform(revisions) })
	return revisions.At, nil
}

func (n *Node) waitRevisions(ctx context.Context, since uint64) (r jasminemoor.Revisions, err error) {
	n.Counters.PlatformCalls.Add(1)
	if since == 0 || n.isUnconfirmed() {
		timeout := callTimeout
		if n.isUnconfirmed() {
			timeout = confirmTimeout
		}
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return n.Platform.Revisions(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	return n.Platform.Watch(ctx, since)
}

func (n *Node) readSubtree(ctx context.Context, path string) (err error) {
	n.Counters.PlatformCalls.Add(1)
	attempt, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s, err := n.Platform.Read(attempt, path)
	if err != nil {
		return err
	}
	done := make(chan struct{})
	n.enqueue(func(time.Time) {
		n.perform(ctx, n.machine.Put([]jasminemoor.Subtree{s}))
		close(done)
	})
	select {
	case <-done:
	case <-attempt.Done():
		return attempt.Err()
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// jitter returns between half of d and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2)
}
