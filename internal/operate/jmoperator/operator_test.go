package jmoperator_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/fleet/jmnode"
	"github.com/jasminemoor/jasminemoor/internal/flow/jmagent"
	"github.com/jasminemoor/jasminemoor/internal/flow/jmbalancer"
	"github.com/jasminemoor/jasminemoor/internal/flow/jmpassnode"
	"github.com/jasminemoor/jasminemoor/internal/operate/jmoperator"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmtree"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmfake"
)

var metricName = regexp.MustCompile("(?m)^(?:\\| `)?(jm_[a-z_]+)")

// namesIn returns the names of the metrics in a text, sorted and without duplicates.
func namesIn(text []byte) (names []string) {
	for _, match := range metricName.FindAllSubmatch(text, -1) {
		names = append(names, string(match[1]))
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// TestMetricsAreListed checks that the operators' page lists exactly the metrics
// that processes show.
func TestMetricsAreListed(t *testing.T) {
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	require.NoError(t, err)
	var shown bytes.Buffer
	node := &jmnode.Node{Log: logrus.New()}
	jmoperator.BalancerMetrics(&jmbalancer.Balancer{Node: node}).WritePrometheus(&shown)
	jmoperator.AgentMetrics(&jmagent.Agent{Node: node}).WritePrometheus(&shown)
	jmoperator.PassBalancerMetrics(&jmpassnode.Balancer{}).WritePrometheus(&shown)
	agent := &jmpassnode.Agent{}
	set := jmoperator.PassAgentMetrics(agent)
	agent.OnAnswer(time.Millisecond) // a histogram without values is not shown
	set.WritePrometheus(&shown)
	names := namesIn(shown.Bytes())
	for i := range names {
		// A histogram is shown as several metrics with these suffixes.
		for _, part := range []string{"_bucket", "_sum", "_count"} {
			names[i] = strings.TrimSuffix(names[i], part)
		}
	}
	require.Equal(t, slices.Compact(names), namesIn(page))
}

func TestExamplesAreGood(t *testing.T) {
	for _, example := range []string{"rangla", "halloran"} {
		subtrees, err := jmtree.ReadDir("../../../examples/"+example, 1)
		require.NoError(t, err)
		require.Empty(t, jmtree.Check(subtrees))
		var tree jmtree.Tree
		for _, s := range subtrees {
			tree.Put(s)
		}
		config := tree.Config()
		require.Len(t, config.Services, 2)
		require.Len(t, config.Services[1].Upstreams, 7)
		codec, err := config.Fleet.Codec()
		require.NoError(t, err)
		require.NotNil(t, codec)
	}
}

func TestEndpoint(t *testing.T) {
	node := &jmnode.Node{Log: logrus.New()}
	b := &jmbalancer.Balancer{Node: node}
	s := &jmoperator.Server{
		Address:   "127.0.0.1:9871",
		Metrics:   metrics.NewSet(),
		Status:    func() *jmoperator.Status { return jmoperator.BalancerStatus(b) },
		Explainer: func() *jmoperator.Explainer { return jmoperator.BalancerExplainer(b) },
	}
	done := make(chan error, 1)
	go func() { done <- s.Run(t.Context()) }()
	get := func(path string) (code int, body string) {
		response, err := http.Get("http://" + s.Address + path)
		if err != nil {
			return 0, ""
		}
		defer response.Body.Close()
		text, _ := io.ReadAll(response.Body)
		return response.StatusCode, string(text)
	}
	require.Eventually(t, func() bool { code, _ := get("/metrics"); return code == http.StatusOK }, 5*time.Second, 10*time.Millisecond)
	code, body := get("/status")
	require.Equal(t, http.StatusOK, code)
	require.Contains(t, body, `"Role": "balancer"`)
	code, body = get("/explain?service=shop/shop-floor&id=01")
	require.Equal(t, http.StatusNotFound, code)
	require.Contains(t, body, `no service "shop/shop-floor" is in force`)
	code, _ = get("/explain?id=xyz")
	require.Equal(t, http.StatusBadRequest, code)
}

// TestPanicInPageIsCounted checks that the server does not hide that a page panics.
func TestPanicInPageIsCounted(t *testing.T) {
	guard := jmfake.NewGuard()
	s := &jmoperator.Server{
		Address: "127.0.0.1:9872",
		Metrics: metrics.NewSet(),
		Status:  func() *jmoperator.Status { panic("fault of the test") },
		Guard:   &guard.Guard,
	}
	done := make(chan error, 1)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { done <- s.Run(ctx) }()
	code := 0
	require.Eventually(t, func() bool {
		response, err := http.Get("http://" + s.Address + "/status")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		code = response.StatusCode
		return true
	}, 5*time.Second, 10*time.Millisecond)
	require.Equal(t, http.StatusInternalServerError, code)
	require.EqualValues(t, 1, guard.Dropped.Load())
	cancel()
	require.NoError(t, <-done)
}
