// Command bilberry is the operators' client. It checks tables and settings before they are published,
// shows the state of the entries of a fleet, and compares their active tables with the published ones. It
// changes nothing.
//
// Exit codes: 0 success; 1 failure, or the command found a problem, a difference, a mismatch or an entry that
// can't be reached; 2 usage error.
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

// errNotOK is returned by a command after it has printed a result whose OK method returns false.
var errNotOK = errs.New("the result is not OK")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run runs one command and returns its exit code.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	a := &app{ctx: ctx, out: out}
	// Write errors are ignored: there is no other output for them, and the exit code still reports the result.
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

// app holds what all commands share.
type app struct {
	ctx context.Context
	out io.Writer

	JSON bool `long:"json" description:"print the result as JSON"`
}

// printResult prints a result. It returns errNotOK if the result is not OK.
func (a *app) printResult(r operator.Result) error {
	if err := operator.Write(a.out, r, a.JSON); err != nil {
		return err
	}
	if !r.OK() {
		return errNotOK
	}
	return nil
}

// rejectArgs returns an error of class UsageError if there are positional arguments.
func rejectArgs(args []string) error {
	if len(args) > 0 {
		return operator.UsageError.New("unexpected arguments: %q", args)
	}
	return nil
}
