package jmnode

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
)

// TestOwnLoadAfterView sets the load after the view was first asked for, as
// happens when another goroutine looks at an agent that is about to run.
func TestOwnLoadAfterView(t *testing.T) {
	n := &Node{}
	require.Nil(t, n.View().Config)
	n.OwnLoad = func() *jasminemoor.LoadReport { return &jasminemoor.LoadReport{} }
	require.NotNil(t, n.machine.OwnLoad())
}
