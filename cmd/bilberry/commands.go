package main

import (
	"context"
	"fmt"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/bilberrywood/bilberrywood/operator"
)

// addCommands adds the shared options and all commands to the parser.
func (a *app) addCommands(p *flags.Parser) error {
	if _, err := p.AddGroup("Options of every command", "", a); err != nil {
		return err
	}
	shared := baseCommand{app: a}
	commands := []struct {
		name string
		data any
	}{
		{"check", &checkCommand{baseCommand: shared}},
		{"diff", &diffCommand{baseCommand: shared}},
		{"settings", &settingsCommand{baseCommand: shared}},
		{"fleet", &fleetCommand{baseCommand: shared}},
		{"force", &forceCommand{baseCommand: shared}},
		{"explain", &explainCommand{baseCommand: shared}},
		{"ejections", &ejectionsCommand{baseCommand: shared}},
		{"rejected", &rejectedCommand{baseCommand: shared}},
		{"log", &logCommand{baseCommand: shared}},
		{"audit", &auditCommand{baseCommand: shared}},
		{"completion", &completionCommand{baseCommand: shared}},
	}
	for _, c := range commands {
		h := help[c.name]
		if _, err := p.AddCommand(c.name, h.short, h.long+exitHelp, c.data); err != nil {
			return err
		}
	}
	return nil
}

// baseCommand gives a command access to the app. Its field is not an option.
type baseCommand struct {
	app *app
}

// tableOptions holds the options that name one pair of tables.
type tableOptions struct {
	Routes flags.Filename `long:"routes" required:"true" description:"file with the routes table"`
	Pools  flags.Filename `long:"pools" required:"true" description:"file with the pools table"`
}

// entryOptions holds the options that select the entries to query.
type entryOptions struct {
	Entries     []string       `long:"entries" description:"operators' addresses of entries, separated by commas; may be repeated"`
	SettingsDir flags.Filename `long:"settings-dir" description:"folder with the entries' settings files, from which the operators' addresses are read"`
	TimeoutMs   int64          `long:"timeout-ms" default:"3000" description:"time for each entry to answer, in milliseconds"`
}

// client returns the client for the entries. Exactly one of --entries and --settings-dir must be given.
func (e *entryOptions) client() (*operator.Client, error) {
	var addresses []operator.Address
	var err error
	switch {
	case (len(e.Entries) > 0) == (e.SettingsDir != ""):
		return nil, operator.UsageError.New("give either --entries or --settings-dir")
	case e.TimeoutMs <= 0:
		return nil, operator.UsageError.New("--timeout-ms: %d is not above 0", e.TimeoutMs)
	case e.SettingsDir != "":
		addresses, err = operator.ReadAddresses(string(e.SettingsDir))
	default:
		addresses, err = operator.ParseAddresses(e.Entries)
	}
	return &operator.Client{Addresses: addresses, Timeout: time.Duration(e.TimeoutMs) * time.Millisecond}, err
}

// query runs a command that queries entries, and prints its result.
func (c baseCommand) query(e *entryOptions, args []string, fetch func(context.Context, *operator.Client) (operator.Result, error)) error {
	if err := rejectArgs(args); err != nil {
		return err
	}
	client, err := e.client()
	if err != nil {
		return err
	}
	r, err := fetch(c.app.ctx, client)
	if err != nil {
		return err
	}
	return c.app.printResult(r)
}

type checkCommand struct {
	baseCommand
	Tables tableOptions `group:"Tables"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute(args []string) error {
	if err := rejectArgs(args); err != nil {
		return err
	}
	r, err := operator.Check(string(c.Tables.Routes), string(c.Tables.Pools))
	if err != nil {
		return err
	}
	return c.app.printResult(r)
}

type diffCommand struct {
	baseCommand
	Tables   tableOptions   `group:"Tables"`
	ToRoutes flags.Filename `long:"to-routes" required:"true" description:"file with the other routes table"`
	ToPools  flags.Filename `long:"to-pools" required:"true" description:"file with the other pools table"`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute(args []string) error {
	if err := rejectArgs(args); err != nil {
		return err
	}
	r, err := operator.Diff(string(c.Tables.Routes), string(c.Tables.Pools), string(c.ToRoutes), string(c.ToPools))
	if err != nil {
		return err
	}
	return c.app.printResult(r)
}

type settingsCommand struct {
	baseCommand
	Files struct {
		Files []flags.Filename `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *settingsCommand) Execute([]string) error {
	paths := make([]string, len(c.Files.Files))
	for i, f := range c.Files.Files {
		paths[i] = string(f)
	}
	return c.app.printResult(operator.CheckSettings(paths))
}

type fleetCommand struct {
	baseCommand
	Entries entryOptions `group:"Entries to ask"`
}

// Execute implements flags.Commander.
func (c *fleetCommand) Execute(args []string) error {
	return c.query(&c.Entries, args, func(ctx context.Context, client *operator.Client) (operator.Result, error) {
		return operator.FetchOverview(ctx, client), nil
	})
}

type forceCommand struct {
	baseCommand
	Entries entryOptions `group:"Entries to ask"`
}

// Execute implements flags.Commander.
func (c *forceCommand) Execute(args []string) error {
	return c.query(&c.Entries, args, func(ctx context.Context, client *operator.Client) (operator.Result, error) {
		return operator.ListActivePairs(ctx, client), nil
	})
}

type explainCommand struct {
	baseCommand
	Entries entryOptions `group:"Entries to ask"`
	Path    string       `long:"path" required:"true" description:"path of the request, without the query"`
	Method  string       `long:"method" default:"GET" description:"HTTP method"`
	Account string       `long:"account" description:"name of the account"`
	Token   string       `long:"token" description:"token of the account" env:"BILBERRYWOOD_TOKEN"`
	Entry   string       `long:"entry" description:"ask only the entry with this id or operators' address"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute(args []string) error {
	return c.query(&c.Entries, args, func(ctx context.Context, client *operator.Client) (operator.Result, error) {
		if c.Entry != "" {
			if err := client.SelectEntry(ctx, c.Entry); err != nil {
				return nil, err
			}
		}
		q := operator.ExplainRequest{Method: c.Method, Path: c.Path, Account: c.Account, Token: c.Token}
		return operator.Explain(ctx, client, q), nil
	})
}

type ejectionsCommand struct {
	baseCommand
	Entries entryOptions `group:"Entries to ask"`
}

// Execute implements flags.Commander.
func (c *ejectionsCommand) Execute(args []string) error {
	return c.query(&c.Entries, args, func(ctx context.Context, client *operator.Client) (operator.Result, error) {
		return operator.ListEjections(ctx, client), nil
	})
}

type rejectedCommand struct {
	baseCommand
	Entries entryOptions `group:"Entries to ask"`
}

// Execute implements flags.Commander.
func (c *rejectedCommand) Execute(args []string) error {
	return c.query(&c.Entries, args, func(ctx context.Context, client *operator.Client) (operator.Result, error) {
		return operator.ListRejections(ctx, client), nil
	})
}

type logCommand struct {
	baseCommand
	Entries entryOptions `group:"Entries to ask"`
	Follow  bool         `long:"follow" description:"go on with new lines until Ctrl-C"`
	Event   string       `long:"event" description:"show only lines of this event, such as placementDecision"`
}

// Execute implements flags.Commander.
func (c *logCommand) Execute(args []string) error {
	if err := rejectArgs(args); err != nil {
		return err
	}
	client, err := c.Entries.client()
	if err != nil {
		return err
	}
	o := operator.LogOptions{Follow: c.Follow, Event: c.Event, JSON: c.app.JSON}
	failed, err := operator.Log(c.app.ctx, client, c.app.out, o)
	if err == nil && len(failed) > 0 {
		err = errNotOK
	}
	return err
}

type auditCommand struct {
	baseCommand
	Entries entryOptions `group:"Entries to ask"`
	Tables  tableOptions `group:"Published tables"`
}

// Execute implements flags.Commander.
func (c *auditCommand) Execute(args []string) error {
	return c.query(&c.Entries, args, func(ctx context.Context, client *operator.Client) (operator.Result, error) {
		return operator.Audit(ctx, client, string(c.Tables.Routes), string(c.Tables.Pools))
	})
}

type completionCommand struct{ baseCommand }

// Execute implements flags.Commander.
func (c *completionCommand) Execute(args []string) error {
	if err := rejectArgs(args); err != nil {
		return err
	}
	_, err := fmt.Fprint(c.app.out, completionScript)
	return err
}
