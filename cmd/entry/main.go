// Command entry is the daemon of an entry: it accepts requests from callers and sends them to targets.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"github.com/bilberrywood/bilberrywood/entry"
	"github.com/bilberrywood/bilberrywood/platform"
	"github.com/bilberrywood/bilberrywood/settings"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

type options struct {
	Settings string `long:"settings" description:"settings file (JSON with comments)"`
	Platform bool   `long:"platform" description:"serve the users' platform; the settings file is then named by an environment variable unless --settings is given"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

func main() {
	// A hangup that arrives during the start waits until the entry can reload its settings.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(exitUsage)
	}
	if err := run(o, hangups); err != nil {
		fmt.Fprintln(os.Stderr, "entry:", err)
		os.Exit(exitFailed)
	}
}

func run(o options, hangups <-chan os.Signal) error {
	path := o.Settings
	if path == "" && o.Platform {
		path = os.Getenv(platform.SettingsFileEnv)
	}
	if path == "" {
		return errors.New("no settings file; use --settings")
	}
	var s settings.Entry
	if err := settings.Read(path, &s); err != nil {
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
	var dropped atomic.Int64
	// The buffered writer keeps a slow reader of standard output from blocking requests.
	countDropped := func(lines int) { dropped.Add(int64(lines)) }
	output := diode.NewWriter(os.Stdout, logBufferLines, 0, countDropped)
	defer func() { _ = output.Close() }()
	limited := entry.NewLogLimiter(output, s.LogBytesPerSecond, countDropped)
	log := zerolog.New(io.MultiWriter(limited, lines)).Level(level).With().Timestamp().Logger()
	log.Info().Str("event", "started").Str("entry", string(s.ID)).Str("node", s.Node).
		Str("failureDomain", string(s.FailureDomain)).Str("settings", path).Msg("entry starts")
	go reportDropped(log, &dropped)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if limit := s.VM.HeapLimit(); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	e := &entry.Entry{Settings: s, Log: log, LogLines: lines}
	if o.Platform {
		platform.Attach(e)
	}
	go func() {
		for range hangups {
			reload(e, path)
		}
	}()
	return e.Run(ctx)
}

// logBufferLines is how many log lines are buffered for the reader of standard output. When the buffer is full,
// new lines replace the oldest. At 350 bytes per line it takes about 1.4 MB.
const logBufferLines = 4096

// droppedReportInterval is the interval of the log lines that report dropped ones.
const droppedReportInterval = 5 * time.Second

// reportDropped logs the number of lines dropped since the last report, at each interval in which there were
// any. It does not return.
func reportDropped(log zerolog.Logger, dropped *atomic.Int64) {
	for range time.Tick(droppedReportInterval) {
		if n := dropped.Swap(0); n > 0 {
			log.Warn().Str("event", "logLinesDropped").Int64("lines", n).Msg("log lines were dropped because they were too many, or their reader was slow")
		}
	}
}

// reload reads the settings file again. If the file is invalid, the current settings stay in effect.
func reload(e *entry.Entry, path string) {
	var s settings.Entry
	if err := settings.Read(path, &s); err != nil {
		e.Log.Error().Str("event", "settingsRejected").Err(err).Msg("settings file rejected; the current settings stay in effect")
		return
	}
	e.Reload(s)
}
