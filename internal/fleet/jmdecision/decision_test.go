package jmdecision_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/fleet/jmdecision"
)

func newLog(w io.Writer, level logrus.Level) *jmdecision.Log {
	log := logrus.New()
	log.SetOutput(w)
	log.SetLevel(level)
	return &jmdecision.Log{Log: log}
}

func TestLinesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		l := newLog(&out, logrus.DebugLevel)
		for range 200 {
			l.Debug("placement: flow handed on", nil)
		}
		require.Equal(t, jmdecision.LinesPerSecond, strings.Count(out.String(), "handed on"))
		time.Sleep(time.Second)
		l.Debug("placement: flow handed on", nil)
		require.Contains(t, out.String(), "LeftOut=150")
		require.Equal(t, jmdecision.LinesPerSecond+1, strings.Count(out.String(), "handed on"))
	})
}

func TestDebugDisabled(t *testing.T) {
	var none *jmdecision.Log
	require.False(t, none.IsDebugEnabled())
	none.Debug("placement: flow handed on", nil)
	var out bytes.Buffer
	l := newLog(&out, logrus.InfoLevel)
	l.Debug("placement: flow handed on", nil)
	require.Empty(t, out.String())
}

var fields = logrus.Fields{"Agent": "10.0.0.1:7100", "Reason": "second candidate has less load"}

// BenchmarkLogged measures a line that is written.
func BenchmarkLogged(b *testing.B) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.SetLevel(logrus.DebugLevel)
	for b.Loop() {
		log.WithFields(fields).Debug("placement: flow handed on")
	}
}

// BenchmarkBounded measures a line that is nearly always left out.
func BenchmarkBounded(b *testing.B) {
	l := newLog(io.Discard, logrus.DebugLevel)
	for b.Loop() {
		l.Debug("placement: flow handed on", fields)
	}
}

// BenchmarkOff measures a line below the log's level.
func BenchmarkOff(b *testing.B) {
	l := newLog(io.Discard, logrus.InfoLevel)
	for b.Loop() {
		l.Debug("placement: flow handed on", fields)
	}
}
