// Package jmframe reads and writes length-prefixed msgpack messages on a byte
// stream.
package jmframe

import (
	"encoding/binary"
	"errors"
	"io"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

const lengthSize = 4

// ErrTooLarge reports a frame that is larger than the reader's limit.
var ErrTooLarge = errors.New("frame is too large")

// Write writes a message as one frame, with one call of w.Write.
func Write(w io.Writer, message any) (err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "write frame")
		}
	}()
	body, err := msgpack.Marshal(message)
	if err != nil {
		return err
	}
	frame := make([]byte, lengthSize, lengthSize+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	_, err = w.Write(append(frame, body...))
	return err
}

// Read reads one frame and decodes its body, of at most limit bytes, into message.
// It returns io.EOF unwrapped only if the stream ends before the first byte.
func Read(r io.Reader, message any, limit int) (err error) {
	var length [lengthSize]byte
	if _, err = io.ReadFull(r, length[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(length[:])
	if int64(size) > int64(limit) {
		return eris.Wrapf(ErrTooLarge, "frame of %d bytes, limit %d", size, limit)
	}
	body := make([]byte, size)
	if _, err = io.ReadFull(r, body); err != nil {
		return eris.Wrap(err, "read frame")
	}
	if err = msgpack.Unmarshal(body, message); err != nil {
		return eris.Wrap(err, "decode frame")
	}
	return nil
}
