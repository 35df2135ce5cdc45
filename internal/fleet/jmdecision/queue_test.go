package jmdecision_test

import (
	"bytes"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/fleet/jmdecision"
)

// buffer is a bytes.Buffer with a Write that is safe for concurrent use.
type buffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func TestQueueKeepsOrder(t *testing.T) {
	out := &buffer{}
	q := jmdecision.NewQueue(out)
	for _, line := range []string{"one\n", "two\n", "three\n"} {
		_, err := q.Write([]byte(line))
		require.NoError(t, err)
	}
	require.NoError(t, q.Close())
	require.Equal(t, "one\ntwo\nthree\n", out.String())
}

// TestStalledReaderDoesNotBlock checks that writes beyond the queue's size don't
// block on a stalled reader, and that the lines left out are reported later.
func TestStalledReaderDoesNotBlock(t *testing.T) {
	reader, writer := io.Pipe()
	q := jmdecision.NewQueue(writer)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 10_000 {
			_, _ = q.Write([]byte("line\n"))
		}
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("Write blocks on the stalled reader")
	}
	out := &buffer{}
	copied := make(chan struct{})
	go func() {
		defer close(copied)
		_, _ = io.Copy(out, reader)
	}()
	require.NoError(t, q.Close())
	_ = writer.Close()
	<-copied
	require.Contains(t, out.String(), `"LeftOut":`)
}

// TestUrgentLineAfterLeftOut checks that an urgent line is neither left out while the queue
// is full nor written after the queued ones.
func TestUrgentLineAfterLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, writer := io.Pipe()
		q := jmdecision.NewQueue(writer)
		_, _ = q.Write([]byte("line\n"))
		synctest.Wait() // until that line is being written
		for range 10_000 {
			_, _ = q.Write([]byte("line\n"))
		}
		out, fallback := &buffer{}, &buffer{}
		go func() { _, _ = q.Urgent(fallback).Write([]byte("urgent\n")) }()
		synctest.Wait()
		copied := make(chan struct{})
		go func() {
			defer close(copied)
			_, _ = io.Copy(out, reader)
		}()
		require.NoError(t, q.Close())
		_ = writer.Close()
		<-copied
		require.Regexp(t, `^line\n{"LeftOut":.*\nurgent\nline\n`, out.String())
		require.Empty(t, fallback.String())
	})
}

// TestUrgentLineOfStalledReader checks that an urgent line goes to the fallback if nobody
// reads the log.
func TestUrgentLineOfStalledReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, writer := io.Pipe()
		q := jmdecision.NewQueue(writer)
		_, _ = q.Write([]byte("line\n"))
		fallback := &buffer{}
		start := time.Now()
		_, err := q.Urgent(fallback).Write([]byte("urgent\n"))
		require.NoError(t, err)
		require.LessOrEqual(t, time.Since(start), 200*time.Millisecond)
		require.Equal(t, "urgent\n", fallback.String())
		_ = reader.Close()
		require.NoError(t, q.Close())
		require.NoError(t, q.Close())
	})
}
