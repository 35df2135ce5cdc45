package client

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRetryKeepsItsPlace checks that a refused request does not come back before the time
// that the agent has told, nor much after it.
func TestRetryKeepsItsPlace(t *testing.T) {
	for range 1000 {
		a := &attempts{backoff: minBackoff, retryAfter: time.Second}
		require.Equal(t, time.Second, a.nextDelay())
		require.Less(t, a.nextDelay(), 3*minBackoff, "the time counts for one retry")
	}
}
