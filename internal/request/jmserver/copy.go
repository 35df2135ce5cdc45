package jmserver

import (
	"errors"
	"io"
)

// Sizes of a copy's buffer in bytes. Feeds are idle for most of their lives and
// carry little at a time, so the buffer begins small and grows with what comes.
const (
	minBuffer = 2 << 10
	maxBuffer = 32 << 10
)

// copyAll hands what r returns to take, up to the end of r.
func copyAll(r io.Reader, take func(b []byte) error) error {
	buffer := make([]byte, minBuffer)
	for {
		n, err := r.Read(buffer)
		if n > 0 {
			if err := take(buffer[:n]); err != nil {
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

// copyTo copies r to w, up to the end of r.
func copyTo(w io.Writer, r io.Reader) error {
	return copyAll(r, func(b []byte) error {
		_, err := w.Write(b)
		return err
	})
}
