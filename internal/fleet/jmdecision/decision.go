// Package jmdecision logs routing and placement decisions at a bounded rate, with
// a count of the lines left out.
package jmdecision

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// LinesPerSecond is the maximum number of decisions logged in a second. In a
// second that has OrdinaryPerSecond lines already, Ordinary logs no more. A line
// takes about 3 µs, and up to ten times that on the slowest instances.
const (
	LinesPerSecond    = 50
	OrdinaryPerSecond = 20
)

// Log logs decisions. It is safe for concurrent use; the exported field is set
// before use. The methods of a nil Log do nothing.
type Log struct {
	Log *logrus.Logger

	mu      sync.Mutex
	second  time.Time
	written int
	leftOut int
}

// IsDebugEnabled reports whether Debug logs anything, so that its caller can avoid
// building the fields. Notable and Ordinary log at level info.
func (l *Log) IsDebugEnabled() bool { return l != nil && l.Log.IsLevelEnabled(logrus.DebugLevel) }

// Debug logs a decision at level debug, unless LinesPerSecond is reached.
func (l *Log) Debug(text string, fields logrus.Fields) {
	if !l.IsDebugEnabled() {
		return
	}
	leftOut, isAdmitted := l.admit(time.Now(), LinesPerSecond)
	l.writeLeftOut(logrus.DebugLevel, leftOut)
	if isAdmitted {
		l.Log.WithFields(fields).Debug(text)
	}
}

// Notable logs an unusual decision at level info, unless LinesPerSecond is reached. It
// calls fields for the line's fields only if the line is logged.
func (l *Log) Notable(text string, fields func() logrus.Fields) {
	l.write(LinesPerSecond, text, fields)
}

// Ordinary logs a usual decision at level info, unless OrdinaryPerSecond is
// reached. It calls fields for the line's fields only if the line is logged.
func (l *Log) Ordinary(text string, fields func() logrus.Fields) {
	l.write(OrdinaryPerSecond, text, fields)
}

func (l *Log) write(limit int, text string, fields func() logrus.Fields) {
	if l == nil {
		return
	}
	leftOut, isAdmitted := l.admit(time.Now(), limit)
	l.writeLeftOut(logrus.InfoLevel, leftOut)
	if isAdmitted {
		l.Log.WithFields(fields()).Info(text)
	}
}

func (l *Log) writeLeftOut(level logrus.Level, leftOut int) {
	if leftOut > 0 {
		l.Log.WithField("LeftOut", leftOut).Log(level, "decision: lines left out")
	}
}

// admit counts a line against the limit and reports whether it may be written. The
// first call in a second also returns how many lines were left out before it.
func (l *Log) admit(now time.Time, limit int) (leftOut int, isAdmitted bool) {
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
