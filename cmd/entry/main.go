// Command entry is the entry daemon: it takes requests from callers and places them at targets.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"github.com/bilberrywood/bilberrywood/entry"
	"github.com/bilberrywood/bilberrywood/settings"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

type options struct {
	Settings string `long:"settings" description:"settings file (JSON with comments)" required:"yes"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(exitUsage)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "entry:", err)
		os.Exit(exitFailed)
	}
}

func run(o options) error {
	var s settings.Entry
	if err := settings.Read(o.Settings, &s); err != nil {
		return err
	}
	if o.Check {
		fmt.Println("settings are valid")
		return nil
	}
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return err
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	lines := &entry.LogLines{}
	log := zerolog.New(io.MultiWriter(os.Stdout, lines)).Level(level).With().Timestamp().Logger()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	e := &entry.Entry{Settings: s, Log: log, LogLines: lines}
	return e.Run(ctx)
}
