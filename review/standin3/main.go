package main

import (
	"context"
	"flag"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// runLimit bounds a run.
const runLimit = 115 * time.Second

// scenario plays a case. It reports whether the rule was broken.
type scenario func(ctx context.Context, f *fleet, hasTrouble bool) (isBroken bool, err error)

var scenarios = map[string]scenario{"short-notice": shortNotice, "spot-only": spotOnly}

func main() { os.Exit(run()) }

func run() int {
	binary := flag.String("binary", "target/jasminemoor", "path of the jasminemoor command")
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	dir := flag.String("dir", "", "empty folder for settings and logs")
	flag.Parse()
	out, err := os.Create(*path)
	if err != nil || scenarios[*name] == nil || *dir == "" {
		return exitNotRun
	}
	defer out.Close()
	ctx, cancel := context.WithTimeout(context.Background(), runLimit)
	defer cancel()
	r := &record{w: out, started: time.Now()}
	f := &fleet{dir: *dir, binary: *binary, record: r}
	defer f.close()
	isBroken, err := scenarios[*name](ctx, f, os.Getenv("TROUBLE") != "0")
	switch {
	case isBroken:
		r.line("verdict: the rule was broken")
		return exitBroken
	case err != nil:
		r.line("verdict: the case could not run: %v", err)
		return exitNotRun
	}
	r.line("verdict: the rule held")
	return exitHeld
}
