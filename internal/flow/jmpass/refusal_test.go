package jmpass

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestIsRefusal(t *testing.T) {
	var names []string
	for r := range reasonCount {
		if r.IsRefusal() {
			require.True(t, r.IsNotable(), "%s is worth a log line", r)
			names = append(names, r.String())
		}
	}
	require.Equal(t, []string{"no_view", "no_route", "no_upstream", "over_limit", "in_vain"}, names)
}
