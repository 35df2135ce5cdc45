package jmserver

import (
	"errors"
	"io"
)

// Sizes of the copy buffer in bytes. Feeds are idle most of the time and send
// little at once, so the buffer begins small and doubles after each read that
// fills it.
const (
	minBuffer = 2 << 10
	maxBuffer = 32 << 10
)

// copyAll calls write with each piece that it reads from r, until r ends or one
// of them fails.
func copyAll(r io.Reader, write func(b []byte) error) error {
	buffer := make([]byte, minBuffer)
	for {
		n, err := r.Read(buffer)
		if n > 0 {
			if err := write(buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if n == len(buffer) && n < maxBuffer {
			buffer = make([]byte, 2*n)
		}
	}
}

// copyTo copies r to w until r ends or one of them fails.
func copyTo(w io.Writer, r io.Reader) error {
	return copyAll(r, func(b []byte) error {
		_, err := w.Write(b)
		return err
	})
}
