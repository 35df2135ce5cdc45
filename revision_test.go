package jasminemoor_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
)

func TestRevision(t *testing.T) {
	cases := map[string]struct {
		era, change uint64
		text        string
	}{
		"nothing":          {0, 0, "0"},
		"never restored":   {0, 530, "530"},
		"restored once":    {1, 530, "1/530"},
		"largest change":   {2, 1<<48 - 1, "2/281474976710655"},
		"largest era":      {65535, 1, "65535/1"},
		"start of the era": {3, 0, "3/0"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := jasminemoor.NewRevision(tc.era, tc.change)
			require.Equal(t, tc.era, r.Era())
			require.Equal(t, tc.change, r.Change())
			require.Equal(t, tc.text, r.String())
			require.Equal(t, tc.era > 0 && tc.change == 0, r.IsEraStart())
			require.Equal(t, jasminemoor.NewRevision(tc.era, 0), r.EraStart())
		})
	}
	require.Less(t, jasminemoor.NewRevision(0, 530), jasminemoor.NewRevision(1, 7))
}
