// Package jmdecision logs routing and placement decisions, at level debug and
// at a bounded rate, with a count of what was left out.
package jmdecision

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// LinesPerSecond is how many decisions are logged in a second at most.
const LinesPerSecond = 50

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
		l.write(logrus.DebugLevel, text, fields)
	}
}

// Notable logs one decision that is out of the ordinary, at level info, unless
// there were too many in this second.
func (l *Log) Notable(text string, fields logrus.Fields) {
	if l != nil {
		l.write(logrus.InfoLevel, text, fields)
	}
}

func (l *Log) write(level logrus.Level, text string, fields logrus.Fields) {
	leftOut, isWritten := l.take(time.Now())
	if leftOut > 0 {
		l.Log.WithField("LeftOut", leftOut).Log(level, "decision: lines left out")
	}
	if isWritten {
		l.Log.WithFields(fields).Log(level, text)
	}
}

// take counts a line, and returns how many were left out in an earlier second.
func (l *Log) take(now time.Time) (leftOut int, isWritten bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now.Truncate(time.Second); !second.Equal(l.second) {
		leftOut = l.leftOut
		l.second, l.written, l.leftOut = second, 0, 0
	}
	if l.written >= LinesPerSecond {
		l.leftOut++
		return leftOut, false
	}
	l.written++
	return leftOut, true
}
