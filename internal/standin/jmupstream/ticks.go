package jmupstream

import (
	"bufio"
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"
)

// Ticks reads a feed of an Upstream and checks that no line is missing or
// duplicated.
type Ticks struct {
	scanner *bufio.Scanner
	last    int
}

// OpenTicks requests a feed with the given interval over a stream.
func OpenTicks(stream io.ReadWriter, interval time.Duration) (t *Ticks, err error) {
	if _, err = fmt.Fprintf(stream, "FEED %s\n", interval); err != nil {
		return nil, err
	}
	return &Ticks{scanner: bufio.NewScanner(stream)}, nil
}

// Next waits for the next line. It returns an error if the feed has ended or the
// line is not the expected one.
func (t *Ticks) Next() error {
	if !t.scanner.Scan() {
		return eris.Errorf("feed ended after tick %d: %v", t.last, t.scanner.Err())
	}
	t.last++
	if want := fmt.Sprintf("TICK %d", t.last); t.scanner.Text() != want {
		return eris.Errorf("feed sent %q instead of %q", t.scanner.Text(), want)
	}
	return nil
}
