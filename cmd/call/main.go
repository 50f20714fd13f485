// Command call sends one request through the fleet. It prints the attempts and whether the request was run.
//
// Exit codes: 0 run, 1 usage error, 2 not run, 3 outcome unknown.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/bilberrywood/bilberrywood/caller"
	"github.com/bilberrywood/bilberrywood/table"
)

// Exit codes.
const (
	exitRun = iota
	exitUsage
	exitNotRun
	exitUnknown
)

type options struct {
	Entries    string   `long:"entries" required:"true" description:"addresses of entries, separated by commas"`
	Route      string   `long:"route" required:"true" description:"name of the route"`
	Path       string   `long:"path" required:"true" description:"path with the query"`
	Method     string   `long:"method" default:"GET" description:"HTTP method"`
	Header     []string `long:"header" description:"header field as \"Name: value\"; may be repeated"`
	Body       string   `long:"body" description:"file with the body; - reads standard input, which is sent once only"`
	Idempotent bool     `long:"idempotent" description:"a second run does no harm; always so for GET and HEAD"`
	ID         string   `long:"id" description:"run id of an earlier sending whose outcome is unknown"`
	IDOut      string   `long:"id-out" description:"file that gets the run id before the request is sent"`
	Account    string   `long:"account" description:"name of the account"`
	Token      string   `long:"token" description:"token of the account" env:"BILBERRYWOOD_TOKEN"`
	TimeoutMs  int64    `long:"timeout-ms" default:"30000" description:"time to the deadline in milliseconds"`
	Output     string   `long:"output" description:"file that gets the answer's body; standard output without it"`
	JSON       bool     `long:"json" description:"print the result as JSON; the answer's body goes to --output only"`
}

// report is the result that --json prints.
type report struct {
	Outcome      caller.Outcome   `json:"outcome"`
	Status       int              `json:"status,omitempty"`
	Reason       string           `json:"reason,omitempty"`
	RetryAfterMs int64            `json:"retryAfterMs,omitempty"`
	ID           string           `json:"id,omitempty"`
	BodyBytes    int64            `json:"bodyBytes"`
	Header       http.Header      `json:"header,omitempty"`
	Attempts     []caller.Attempt `json:"attempts"`
}

func main() {
	var o options
	if rest, err := flags.Parse(&o); err != nil || len(rest) > 0 {
		var flagErr *flags.Error
		if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
			return
		}
		if err == nil {
			fmt.Fprintf(os.Stderr, "unexpected arguments: %q\n", rest)
		}
		os.Exit(exitUsage)
	}
	code, err := o.run()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

// run sends the request and prints the result.
func (o *options) run() (int, error) {
	request, err := o.request()
	if err != nil {
		return exitUsage, err
	}
	output, err := o.output()
	if err != nil {
		return exitUsage, err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	c := &caller.Caller{
		Entries: strings.Split(o.Entries, ","),
		Account: table.AccountName(o.Account),
		Token:   o.Token,
	}
	defer func() { _ = c.Close() }()
	result := c.Do(ctx, request)
	r := &report{
		Outcome: result.Outcome, Reason: result.Reason, ID: result.ID, Attempts: result.Attempts,
		RetryAfterMs: result.RetryAfter.Milliseconds(),
	}
	if result.Response != nil {
		r.copyBody(result, output)
	}
	return r.print(o.JSON)
}

// copyBody copies the response body to output. If the body ends early, the outcome run becomes unknown.
func (r *report) copyBody(result *caller.Result, output io.Writer) {
	resp := result.Response
	defer resp.Body.Close()
	r.Status, r.Header = resp.StatusCode, resp.Header
	var err error
	if r.BodyBytes, err = io.Copy(output, resp.Body); err != nil && r.Outcome == caller.OutcomeRun {
		r.Outcome = caller.OutcomeUnknown
		r.Reason = "the answer ended early: " + err.Error()
	}
}

// print prints the result and returns the exit code.
func (r *report) print(asJSON bool) (int, error) {
	exitCodes := map[caller.Outcome]int{caller.OutcomeRun: exitRun, caller.OutcomeNotRun: exitNotRun}
	exit, ok := exitCodes[r.Outcome]
	if !ok {
		exit = exitUnknown
	}
	if asJSON {
		return exit, json.NewEncoder(os.Stdout).Encode(r)
	}
	for i, a := range r.Attempts {
		fmt.Fprintf(os.Stderr, "attempt %d: %s: %s, status %d, %.1f ms %s\n",
			i+1, a.Address, a.Outcome, a.Status, a.DurationMs, a.Error)
	}
	fmt.Fprintf(os.Stderr, "outcome: %s", r.Outcome)
	for _, part := range []struct{ name, value string }{{"id", r.ID}, {"reason", r.Reason}} {
		if part.value != "" {
			fmt.Fprintf(os.Stderr, ", %s: %s", part.name, part.value)
		}
	}
	if r.RetryAfterMs > 0 {
		fmt.Fprintf(os.Stderr, ", retry after %d ms", r.RetryAfterMs)
	}
	fmt.Fprintln(os.Stderr)
	return exit, nil
}

// request builds the request from the options.
func (o *options) request() (*caller.Request, error) {
	r := &caller.Request{
		Route: table.RouteName(o.Route), Method: o.Method, Path: o.Path, Header: make(http.Header),
		Idempotent: o.Idempotent, ID: o.ID,
		Deadline: time.Now().Add(time.Duration(o.TimeoutMs) * time.Millisecond),
	}
	for _, line := range o.Header {
		name, value, ok := strings.Cut(line, ":")
		if !ok {
			return nil, fmt.Errorf("header %q has no colon", line)
		}
		r.Header.Add(strings.TrimSpace(name), strings.TrimSpace(value))
	}
	if o.IDOut != "" {
		r.OnNewID = func(id string) error { return os.WriteFile(o.IDOut, []byte(id+"\n"), 0o600) }
	}
	return r, o.addBody(r)
}

// addBody sets the request's body.
func (o *options) addBody(r *caller.Request) error {
	switch o.Body {
	case "":
		return nil
	case "-":
		read := false
		r.ContentLength = -1
		r.GetBody = func() (io.ReadCloser, error) {
			if read {
				return nil, errors.New("standard input was read already")
			}
			read = true
			return os.Stdin, nil
		}
		return nil
	}
	info, err := os.Stat(o.Body)
	if err != nil {
		return err
	}
	r.ContentLength = info.Size()
	r.GetBody = func() (io.ReadCloser, error) { return os.Open(o.Body) }
	return nil
}

// output returns the writer for the response body.
func (o *options) output() (io.Writer, error) {
	switch {
	case o.Output != "":
		return os.Create(o.Output)
	case o.JSON:
		return io.Discard, nil
	}
	return os.Stdout, nil
}
