package jmtrace_test

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/operate/jmtrace"
)

func TestTraceOfRecordedRequest(t *testing.T) {
	f, err := os.Open("testdata/recovery.log")
	require.NoError(t, err)
	defer f.Close()
	lines, unreadable, err := jmtrace.Read(f)
	require.NoError(t, err)
	require.Equal(t, 1, unreadable)
	trace, err := jmtrace.Find(lines, "9640eed95529aa9b")
	require.NoError(t, err)
	require.Equal(t, []string{"100.64.0.6:1025>198.18.0.1:8443"}, trace.Flows)
	var b strings.Builder
	require.NoError(t, trace.Print(&b))
	require.Equal(t, `request 9640eed95529aa9b on 100.64.0.6:1025>198.18.0.1:8443
16:54:06.900  front-fsd-a-1    directory: platform lost  error=watch the store: timeout
16:54:07.000  front-fsd-a-1    flow: holder is known  [this request]  AgeMs=518  Outcome=passed on  Reason=known  Revision=12  To=10.1.0.19  Version=4
16:54:07.004  side-fsd-a-1     flow: other agents asked for the holder  AgeMs=520  Outcome=passed on  Reason=searched  Revision=12  To=10.1.0.20  Version=4
16:54:07.010  side-fsd-a-1     flow: reset, as no upstream holds it  Outcome=reset
4 more lines were left out by these processes at that time
`, b.String())
}

func TestUnknownRequest(t *testing.T) {
	_, err := jmtrace.Find(nil, "1")
	require.ErrorContains(t, err, "no line names request 1")
}

func FuzzRead(f *testing.F) {
	f.Add(`{"time":"2026-07-17T16:54:07Z","msg":"x","Flow":"a","Request":"1"}`)
	f.Fuzz(func(_ *testing.T, text string) {
		lines, _, err := jmtrace.Read(strings.NewReader(text))
		if err == nil {
			_, _ = jmtrace.Find(lines, "1")
		}
	})
}

// TestTraceOfRefusedFlow finds a flow that was refused at its opening, so that no line
// names a request of it, by its caller and by its key.
func TestTraceOfRefusedFlow(t *testing.T) {
	text, err := os.ReadFile("testdata/refusal.log")
	require.NoError(t, err)
	lines, unreadable, err := jmtrace.Read(strings.NewReader(string(text)))
	require.NoError(t, err)
	require.Zero(t, unreadable)
	for _, flow := range []string{"100.64.0.6:1031", "100.64.0.6:1031>198.18.0.1:8443"} {
		trace, err := jmtrace.FindFlow(lines, flow)
		require.NoError(t, err)
		var b strings.Builder
		require.NoError(t, trace.Print(&b))
		require.Equal(t, `flow 100.64.0.6:1031>198.18.0.1:8443
16:54:05.500  side-a-1         upstream: overload began
16:54:07.000  front-a-1        flow: new flow placed  AgeMs=120  IsOpening=true  Outcome=passed on  Reason=placed  Revision=93  To=10.1.0.12  Version=76
16:54:07.002  side-a-1         flow: client account has as many requests waiting as it may  Account=guests  AgeMs=121  IsOpening=true  MaxWaiting=4  Outcome=reset  Reason=over_limit  Revision=93  Route=floor  Version=76
`, b.String())
	}
	_, err = jmtrace.FindFlow(lines, "100.64.0.6:103")
	require.ErrorContains(t, err, "no line names flow 100.64.0.6:103")
}
