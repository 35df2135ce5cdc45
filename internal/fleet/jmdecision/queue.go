package jmdecision

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueLines bounds the lines that wait for a reader that is slow.
	queueLines = 1024
	// closeTimeout is how long Close waits for such a reader.
	closeTimeout = 200 * time.Millisecond
)

// Queue is a writer for logs that never blocks: a reader that stalls costs
// lines, not packets. It says how many were left out once the reader goes on.
type Queue struct {
	out     io.Writer
	lines   chan []byte
	leftOut atomic.Int64
	stop    chan struct{}
	done    chan struct{}
}

// NewQueue returns a queue before out. Close ends it.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{out: out, lines: make(chan []byte, queueLines), stop: make(chan struct{}), done: make(chan struct{})}
	go q.run()
	return q
}

// Write implements io.Writer. It takes a copy of the line, or leaves it out if
// too many wait.
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
		select {
		case line := <-q.lines:
			q.pass(line)
			continue
		case <-q.stop:
		}
		for {
			select {
			case line := <-q.lines:
				q.pass(line)
			default:
				return
			}
		}
	}
}

func (q *Queue) pass(line []byte) {
	// There is nobody to tell of a log that can't be written.
	_, _ = q.out.Write(line)
	if n := q.leftOut.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(q.out, `{"LeftOut":%d,"level":"warning","msg":"log: lines left out, the reader was slow","time":%q}`+"\n",
			n, time.Now().Format(time.RFC3339Nano))
	}
}

// Close waits a short time until what is queued is written. What is written to
// the queue later is lost.
func (q *Queue) Close() error {
	close(q.stop)
	select {
	case <-q.done:
	case <-time.After(closeTimeout):
	}
	return nil
}
