// Package jmdecision logs routing and placement decisions, at level debug and
// at a bounded rate, with a count of what was left out.
package jmdecision

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// LinesPerSecond is how many decisions are logged in a second at most, and
// OrdinaryPerSecond how many of these may be ordinary ones. A line takes about
// 3 µs, and up to ten times that on the slowest instances.
const (
	LinesPerSecond    = 50
	OrdinaryPerSecond = 20
)

// Log writes decisions. The exported field is set before use; it is safe for
// concurrent use.
type Log struct {
	Log *logrus.Logger

	mu      sync.Mutex
	second  time.Time
	written int
	leftOut int
}

// IsOn reports whether decisions are logged at all, so that callers can spare
// themselves the fields.
func (l *Log) IsOn() bool { return l != nil && l.Log.IsLevelEnabled(logrus.DebugLevel) }

// Line logs one decision, unless there were too many in this second.
func (l *Log) Line(text string, fields logrus.Fields) {
	if l.IsOn() {
		l.write(logrus.DebugLevel, LinesPerSecond, text, fields)
	}
}

// Notable logs one decision that is out of the ordinary, at level info, unless
// there were too many in this second.
func (l *Log) Notable(text string, fields logrus.Fields) {
	if l != nil {
		l.write(logrus.InfoLevel, LinesPerSecond, text, fields)
	}
}

// Ordinary logs one decision of the usual kind, at level info, if there is room
// in this second. Fields makes the line's fields, and is called only then.
func (l *Log) Ordinary(text string, fields func() logrus.Fields) {
	if l == nil {
		return
	}
	leftOut, isWritten := l.take(time.Now(), OrdinaryPerSecond)
	l.writeLeftOut(logrus.InfoLevel, leftOut)
	if isWritten {
		l.Log.WithFields(fields()).Info(text)
	}
}

func (l *Log) write(level logrus.Level, limit int, text string, fields logrus.Fields) {
	leftOut, isWritten := l.take(time.Now(), limit)
	l.writeLeftOut(level, leftOut)
	if isWritten {
		l.Log.WithFields(fields).Log(level, text)
	}
}

func (l *Log) writeLeftOut(level logrus.Level, leftOut int) {
	if leftOut > 0 {
		l.Log.WithField("LeftOut", leftOut).Log(level, "decision: lines left out")
	}
}

// take counts a line, and returns how many were left out in an earlier second.
func (l *Log) take(now time.Time, limit int) (leftOut int, isWritten bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now.Truncate(time.Second); !second.Equal(l.second) {
		leftOut = l.leftOut
		l.second, l.written, l.leftOut = second, 0, 0
	}
	if l.written >= limit {
		l.leftOut++
		return leftOut, false
	}
	l.written++
	return leftOut, true
}
