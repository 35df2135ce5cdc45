package client

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmframe"
)

const maxFeedAttempts = 8

// Feed is a bidirectional stream between a caller and an upstream. Read returns
// io.EOF after the upstream has ended the feed, and another error if the feed broke
// off.
type Feed struct {
	flow   *flow
	stream *quic.Stream
	// RanAt names the agent that serves the feed.
	RanAt jasminemoor.Identity
	once  sync.Once
}

var _ io.ReadWriteCloser = (*Feed)(nil)

// OpenFeed opens a feed, with retries after an exponential backoff. ctx bounds only
// the opening. An open feed is never retried: if it breaks off, the caller opens a
// new one.
func (c *Caller) OpenFeed(ctx context.Context) (feed *Feed, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "open feed")
		}
	}()
	backoff := minBackoff
	for range maxFeedAttempts {
		if feed, err = c.openFeedOnce(ctx); err == nil {
			return feed, nil
		}
		wait := backoff
		var refusal *Error
		if errors.As(err, &refusal) {
			wait = max(wait, refusal.RetryAfter)
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(wait):
		}
		backoff = min(backoff*2, maxBackoff)
	}
	return nil, err
}

// openFeedOnce makes one attempt to open a feed.
func (c *Caller) openFeedOnce(ctx context.Context) (feed *Feed, err error) {
	f, err := c.usableFlow(ctx)
	if err != nil {
		return nil, err
	}
	f.addStream()
	defer func() {
		if err != nil {
			f.removeStream()
		}
	}()
	header := &jasminemoor.RequestHeader{ID: jasminemoor.NewRequestID(), Kind: jasminemoor.KindFeed}
	stream, err := f.conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, err
	}
	if err = jmframe.Write(stream, header); err != nil {
		cancelStream(stream)
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { cancelStream(stream) })
	var status jasminemoor.Status
	if err = jmframe.Read(stream, &status, maxStatus); err != nil {
		return nil, err
	}
	if !stop() {
		return nil, ctx.Err()
	}
	if status.Outcome != jasminemoor.OutcomeAccepted {
		cancelStream(stream)
		return nil, &Error{Outcome: status.Outcome, Reason: status.Reason, RetryAfter: status.RetryAfter}
	}
	return &Feed{flow: f, stream: stream, RanAt: status.RanAt}, nil
}

// Read implements io.Reader.
func (d *Feed) Read(p []byte) (n int, err error) { return d.stream.Read(p) }

// Write implements io.Writer.
func (d *Feed) Write(p []byte) (n int, err error) { return d.stream.Write(p) }

// CloseWrite ends the sending direction.
func (d *Feed) CloseWrite() error { return d.stream.Close() }

// SetReadDeadline makes Read fail after t, with a timeout error.
func (d *Feed) SetReadDeadline(t time.Time) error { return d.stream.SetReadDeadline(t) }

// Close ends the feed in both directions.
func (d *Feed) Close() error {
	d.once.Do(func() {
		cancelStream(d.stream)
		d.flow.removeStream()
	})
	return nil
}
