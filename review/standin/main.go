// Command standin runs the cases of the review that are scripts: a small deployment of the
// product's own processes, before stand-ins for the platform, the callers and the upstreams.
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could
// not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// errBroken says that the rule of a case was broken.
var errBroken = errors.New("the rule was broken")

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "case to run")
	binary := flag.String("binary", "target/jasminemoor", "the product's program")
	path := flag.String("record", "record.txt", "file to write what was sent, answered and run")
	keep := flag.String("keep", "", "folder for settings and logs, which are removed if it is not set")
	flag.Parse()
	cases := map[string]func(l *lab, hasTrouble bool) error{
		"foreign-address": runForeignAddress,
		"foreign-service": runForeignService,
		"large-entries":   runLargeEntries,
		"crash":           runCrash,
	}
	runCase := cases[*name]
	if runCase == nil {
		_, _ = fmt.Fprintf(os.Stderr, "case %q is unknown\n", *name)
		return exitNotRun
	}
	err := runIn(*binary, *path, *keep, runCase)
	switch {
	case err == nil:
		_, _ = fmt.Fprintln(os.Stdout, "held")
		return exitHeld
	case errors.Is(err, errBroken):
		_, _ = fmt.Fprintln(os.Stdout, "broken:", err)
		return exitBroken
	}
	_, _ = fmt.Fprintln(os.Stdout, "not run:", err)
	return exitNotRun
}

func runIn(binary, path, keep string, runCase func(l *lab, hasTrouble bool) error) (err error) {
	r, err := newRecord(path)
	if err != nil {
		return err
	}
	defer r.close()
	dir := keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "review"); err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(dir) }()
	}
	l, err := newLab(binary, dir, r)
	if err != nil {
		return err
	}
	defer l.close()
	hasTrouble := os.Getenv("TROUBLE") != "0"
	r.add("disruption: %t", hasTrouble)
	err = runCase(l, hasTrouble)
	l.recordRuns()
	if err != nil {
		r.add("result: %v", err)
	} else {
		r.add("result: the rule held")
	}
	return err
}

// record is the file with what happened, with times since its start.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (r *record, err error) {
	r = &record{started: time.Now()}
	r.file, err = os.Create(path) //nolint:gosec // the caller chooses the file
	return r, err
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() { _ = r.file.Close() }
