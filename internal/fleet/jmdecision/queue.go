package jmdecision

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLines bounds the lines queued for a slow reader.
	queueLines = 1024
	// closeTimeout is how long Close waits for the queued lines to be written, and an
	// urgent line for its turn.
	closeTimeout = 200 * time.Millisecond
)

// Queue is a log writer that never blocks, so that a stalled reader of the log does
// not hold up packets: while the queue is full, lines are left out. Once the reader
// continues, a line with the number of lines left out follows.
type Queue struct {
	out       io.Writer
	lines     chan []byte
	urgent    chan urgentLine
	leftOut   atomic.Int64
	closeOnce sync.Once
	stop      chan struct{}
	done      chan struct{}
}

// urgentLine is a line that goes ahead of the queued ones.
type urgentLine struct {
	text    []byte
	written chan struct{} // closed once the line is written
}

// NewQueue returns a queue that writes to out until Close is called.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{
		out: out, lines: make(chan []byte, queueLines), urgent: make(chan urgentLine, 1),
		stop: make(chan struct{}), done: make(chan struct{}),
	}
	go q.run()
	return q
}

// Write implements io.Writer. It queues a copy of the line, or leaves it out if
// the queue is full.
func (q *Queue) Write(line []byte) (n int, err error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.leftOut.Add(1)
	}
	return len(line), nil
}

func (q *Queue) run() {
	defer close(q.done)
	for {
		q.writeUrgent()
		select {
		case line := <-q.urgent:
			q.writeOut(line.text)
			close(line.written)
			continue
		case line := <-q.lines:
			q.writeOut(line)
			continue
		case <-q.stop:
		}
		for {
			q.writeUrgent()
			select {
			case line := <-q.lines:
				q.writeOut(line)
			default:
				return
			}
		}
	}
}

func (q *Queue) writeUrgent() {
	select {
	case line := <-q.urgent:
		q.writeOut(line.text)
		close(line.written)
	default:
	}
}

func (q *Queue) writeOut(line []byte) {
	// An error of the log itself can't be reported anywhere.
	_, _ = q.out.Write(line)
	if n := q.leftOut.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(q.out, `{"LeftOut":%d,"level":"warning","msg":"log: lines left out, the reader was slow","time":%q}`+"\n",
			n, time.Now().Format(time.RFC3339Nano))
	}
}

// Urgent returns a writer whose lines go ahead of the queued ones and are never left out. A
// Write blocks until its line is written, for closeTimeout at most; after that it
// writes the line to fallback.
func (q *Queue) Urgent(fallback io.Writer) io.Writer {
	return &urgentWriter{queue: q, fallback: fallback}
}

type urgentWriter struct {
	queue    *Queue
	fallback io.Writer
}

// Write implements io.Writer.
func (w *urgentWriter) Write(line []byte) (n int, err error) {
	u := urgentLine{text: append([]byte(nil), line...), written: make(chan struct{})}
	timeout := time.After(closeTimeout)
	select {
	case w.queue.urgent <- u:
	case <-timeout:
		return w.fallback.Write(line)
	}
	select {
	case <-u.written:
		return len(line), nil
	case <-timeout:
		return w.fallback.Write(line)
	}
}

// Close waits up to closeTimeout for the queued lines to be written. Lines that
// come later are lost. Close does not close the underlying writer. Further calls
// only wait.
func (q *Queue) Close() error {
	q.closeOnce.Do(func() { close(q.stop) })
	select {
	case <-q.done:
	case <-time.After(closeTimeout):
	}
	return nil
}
