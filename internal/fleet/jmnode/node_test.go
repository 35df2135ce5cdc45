package jmnode

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
)

// TestOwnLoadAfterView checks that OwnLoad may be set after the first call of
// View, as when another goroutine inspects an agent that is not running yet.
func TestOwnLoadAfterView(t *testing.T) {
	n := &Node{}
	require.Nil(t, n.View().Config)
	n.OwnLoad = func() *jasminemoor.LoadReport { return &jasminemoor.LoadReport{} }
	require.NotNil(t, n.machine.OwnLoad())
}
