package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"flag"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/jasminemoor/jasminemoor/internal/fleet/jmcontrol"
	"github.com/jasminemoor/jasminemoor/internal/operate/jmoperator"
	"github.com/jasminemoor/jasminemoor/internal/operate/jmtrace"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmtree"
)

const (
	operatorTimeout = 5 * time.Second
	randomIDSize    = 8       // bytes, the size that most callers use
	maxErrorText    = 4 << 10 // bytes
)

// printable is a result that a command prints either for people or as JSON.
type printable interface {
	Print(out io.Writer) error
}

func printResult(t *terminal, p printable, asJSON bool) error {
	if !asJSON {
		return p.Print(t.out)
	}
	encoder := json.NewEncoder(t.out)
	encoder.SetIndent("", "\t")
	return encoder.Encode(p)
}

func statusCommand(t *terminal) *ffcli.Command {
	flags := newFlagSet(t, "status")
	operator := flags.String("operator", "http://"+defaultOperator, "URL of a process's operator endpoint")
	asJSON := flags.Bool("json", false, "print JSON")
	configFlag(flags)
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "jasminemoor status [-operator <url>]",
		ShortHelp:  "Show the status of a running process: members, revisions, flows, refusals.",
		FlagSet:    flags,
		Options:    parseOptions(),
		Exec: func(ctx context.Context, _ []string) error {
			s := &jmoperator.Status{}
			if err := askOperator(ctx, *operator, "/status", nil, s); err != nil {
				return err
			}
			return printResult(t, s, *asJSON)
		},
	}
}

// explainFlags are the flags of explain.
type explainFlags struct {
	service, id, settings, operator, request, flow string
	asJSON                                         bool
}

func (f *explainFlags) add(flags *flag.FlagSet) {
	flags.StringVar(&f.service, "service", "", "service, as <team>/<service>")
	flags.StringVar(&f.id, "id", "", "first connection ID of the flow in hexadecimal; if empty, a random one")
	flags.StringVar(&f.settings, "settings", "", "directory with a settings tree, to explain without a running process")
	flags.StringVar(&f.operator, "operator", "http://"+defaultOperator, "URL of a process's operator endpoint")
	flags.StringVar(&f.request, "request", "", "ID of a request, to find the lines about it in the logs given as arguments or at standard input")
	flags.StringVar(&f.flow, "flow", "", "flow, or its caller's address and port, to find the lines about it in the same way; for flows that were refused")
	flags.BoolVar(&f.asJSON, "json", false, "print JSON")
}

func explainCommand(t *terminal) *ffcli.Command {
	flags := newFlagSet(t, "explain")
	var f explainFlags
	f.add(flags)
	configFlag(flags)
	return &ffcli.Command{
		Name: "explain",
		ShortUsage: "jasminemoor explain -service <team>/<service> [-settings <directory> | -operator <url>]\n" +
			"  jasminemoor explain {-request <id> | -flow <ip:port>} [<log>...]",
		ShortHelp: "Explain which upstream a new flow of a service would go to now, or what happened to a request or flow.",
		FlagSet:   flags,
		Options:   parseOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if f.request != "" || f.flow != "" {
				trace, err := f.findTrace(t, args)
				if err != nil {
					return err
				}
				return printResult(t, trace, f.asJSON)
			}
			x, err := f.explain(ctx)
			if err != nil {
				return err
			}
			return printResult(t, x, f.asJSON)
		},
	}
}

// explain returns the explanation of a running process or, with -settings, of a
// settings tree.
func (f *explainFlags) explain(ctx context.Context) (x *jmoperator.Explanation, err error) {
	if f.service == "" {
		return nil, &exitError{code: exitUsage, text: "-service is missing"}
	}
	id, err := hex.DecodeString(f.id)
	if err != nil {
		return nil, &exitError{code: exitUsage, text: "-id is not hexadecimal"}
	}
	if len(id) == 0 {
		id = make([]byte, randomIDSize)
		_, _ = rand.Read(id) // never fails on supported systems
	}
	if f.settings != "" {
		return explainOffline(f.settings, f.service, id)
	}
	x = &jmoperator.Explanation{}
	query := url.Values{"service": {f.service}, "id": {hex.EncodeToString(id)}}
	return x, askOperator(ctx, f.operator, "/explain", query, x)
}

// findTrace finds the lines about a request or flow in log files, or in standard input
// if no file is given.
func (f *explainFlags) findTrace(t *terminal, files []string) (trace *jmtrace.Trace, err error) {
	find := func(lines []jmtrace.Line) (*jmtrace.Trace, error) { return jmtrace.Find(lines, f.request) }
	subject := "request " + f.request
	if f.request == "" {
		find = func(lines []jmtrace.Line) (*jmtrace.Trace, error) { return jmtrace.FindFlow(lines, f.flow) }
		subject = "flow " + f.flow
	}
	defer func() {
		if err != nil {
			err = eris.Wrap(err, subject)
		}
	}()
	if len(files) == 0 {
		lines, _, err := jmtrace.Read(t.in)
		if err != nil {
			return nil, err
		}
		return find(lines)
	}
	var all []jmtrace.Line
	for _, name := range files {
		lines, err := readLog(name)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return find(all)
}

func readLog(name string) (lines []jmtrace.Line, err error) {
	f, err := os.Open(name) //nolint:gosec // the operator chooses the file
	if err != nil {
		return nil, err
	}
	defer f.Close()
	lines, _, err = jmtrace.Read(f)
	return lines, err
}

// explainOffline explains from a settings tree alone. It assumes that every
// upstream works unless the settings say that it is leaving.
func explainOffline(dir, service string, id []byte) (x *jmoperator.Explanation, err error) {
	subtrees, err := jmtree.ReadDir(dir, 1)
	if err != nil {
		return nil, err
	}
	var tree jmtree.Tree
	for _, s := range subtrees {
		tree.Put(s)
	}
	view := &jmcontrol.View{Config: tree.Config()}
	if view.Config == nil {
		return nil, eris.New("the settings have faults; see jasminemoor check")
	}
	return (&jmoperator.Explainer{View: view, ConditionOf: view.ConditionOf}).Explain(service, id)
}

// askOperator decodes the JSON of a page of an operator endpoint into target.
func askOperator(ctx context.Context, base, path string, query url.Values, target any) (err error) {
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "operator endpoint %s", base)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, base+path+"?"+query.Encode(), nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorText))
		return eris.Errorf("%s: %s", response.Status, text)
	}
	return json.NewDecoder(response.Body).Decode(target)
}
