// Command bilberry is the operators' client. It checks tables and settings before they are published,
// shows what the entries of a fleet do, and audits what is in force. It changes nothing.
//
// Exit codes: 0 fine; 1 failed, or a problem, a difference, a mismatch or an entry that can't be reached
// was found; 2 usage.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/zeebo/errs"

	"github.com/bilberrywood/bilberrywood/operator"
)

// Exit codes.
const (
	exitOK = iota
	exitFailed
	exitUsage
)

// errNotOK ends a command that has printed a result that is not fine.
var errNotOK = errs.New("the result is not fine")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run runs one command and returns its exit code.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	a := &app{ctx: ctx, out: out}
	// A message that can't be written has no other place to go; the exit code still tells.
	printLine := func(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	p := flags.NewNamedParser("bilberry", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = description
	if err := a.addCommands(p); err != nil {
		printLine(errOut, "bilberry: %v", err)
		return exitFailed
	}
	_, err := p.ParseArgs(args)
	var flagErr *flags.Error
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errNotOK):
		return exitFailed
	case errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp:
		printLine(out, "%s", flagErr.Message)
		return exitOK
	case errors.As(err, &flagErr), operator.UsageError.Has(err):
		printLine(errOut, "bilberry: %v\nTry: bilberry --help", err)
		return exitUsage
	}
	printLine(errOut, "bilberry: %v", err)
	return exitFailed
}

// app is what all commands share.
type app struct {
	ctx context.Context
	out io.Writer

	JSON bool `long:"json" description:"print the result as JSON"`
}

// printResult prints a result and turns one that is not fine into errNotOK.
func (a *app) printResult(r operator.Result) error {
	if err := operator.Write(a.out, r, a.JSON); err != nil {
		return err
	}
	if !r.OK() {
		return errNotOK
	}
	return nil
}

// rejectArgs refuses arguments that a command does not take.
func rejectArgs(args []string) error {
	if len(args) > 0 {
		return operator.UsageError.New("unexpected arguments: %q", args)
	}
	return nil
}
