package jmframe_test

import (
	"bytes"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmframe"
)

const limit = 4 << 10

func TestHeaderRoundTrip(t *testing.T) {
	header := jasminemoor.RequestHeader{
		ID:         jasminemoor.NewRequestID(),
		Kind:       jasminemoor.KindRequest,
		Idempotent: true,
		Timeout:    3 * time.Second,
		Attempts:   []jasminemoor.Identity{{Incarnation: 4}},
	}
	var stream bytes.Buffer
	require.NoError(t, jmframe.Write(&stream, header))
	stream.WriteString("the body")
	var got jasminemoor.RequestHeader
	require.NoError(t, jmframe.Read(&stream, &got, limit))
	require.Equal(t, header, got)
	require.Equal(t, "the body", stream.String(), "Read must not consume bytes after the frame")
}

func TestReadRefuses(t *testing.T) {
	cases := map[string]struct {
		stream []byte
		err    error
		text   string
	}{
		"nothing":      {nil, io.EOF, ""},
		"cut length":   {[]byte{0, 0}, io.ErrUnexpectedEOF, ""},
		"cut body":     {[]byte{0, 0, 0, 9, 1}, io.ErrUnexpectedEOF, ""},
		"too large":    {[]byte{0, 1, 0, 0}, jmframe.ErrTooLarge, ""},
		"largest":      {[]byte{255, 255, 255, 255}, jmframe.ErrTooLarge, ""},
		"not a header": {[]byte{0, 0, 0, 1, 0xc1}, nil, "decode frame"},
		"empty body":   {[]byte{0, 0, 0, 0}, nil, "decode frame"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var got jasminemoor.RequestHeader
			err := jmframe.Read(bytes.NewReader(tc.stream), &got, limit)
			if tc.err != nil {
				require.ErrorIs(t, err, tc.err)
				return
			}
			require.ErrorContains(t, err, tc.text)
		})
	}
}

// FuzzReadHeader checks that Read does not panic on any bytes of a caller, and that
// a header that it accepts can be written again.
func FuzzReadHeader(f *testing.F) {
	var stream bytes.Buffer
	require.NoError(f, jmframe.Write(&stream, jasminemoor.RequestHeader{Kind: jasminemoor.KindFeed}))
	f.Add(stream.Bytes())
	f.Add([]byte{0, 0, 0, 5, 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0, 0, 0, 9, 0x81, 0xa2, 'I', 'D', 0xc6, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		var got jasminemoor.RequestHeader
		if jmframe.Read(bytes.NewReader(data), &got, limit) != nil {
			return
		}
		var again bytes.Buffer
		require.NoError(t, jmframe.Write(&again, got))
	})
}
