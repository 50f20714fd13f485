// Command platform-standin runs a stand-in for the configuration service until it receives SIGTERM or
// SIGINT. On SIGHUP it reads its files again.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"github.com/bilberrywood/bilberrywood/standin"
	"github.com/bilberrywood/bilberrywood/table"
)

type options struct {
	Listen   string `long:"listen" default:"127.0.0.1:7000" description:"IP address and port of the service"`
	Control  string `long:"control" description:"IP address and port of the control endpoints; without it they are served by the service only"`
	Routes   string `long:"routes" description:"file with the routes table"`
	Pools    string `long:"pools" description:"file with the pools table"`
	Fleet    string `long:"fleet" description:"file with the fleet list"`
	Revision uint64 `long:"revision" description:"revision of the store before its files are loaded"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var flagErr *flags.Error
		if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
			return
		}
		os.Exit(1)
	}
	if err := run(&o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(o *options) error {
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	p := &standin.Platform{
		Listen: o.Listen, ControlListen: o.Control, FleetFile: o.Fleet,
		Revision: table.Revision(o.Revision), Files: make(map[string]string), Log: log,
	}
	for name, path := range map[string]string{table.RoutesKey: o.Routes, table.PoolsKey: o.Pools} {
		if path != "" {
			p.Files[name] = path
		}
	}
	if err := p.Start(); err != nil {
		return err
	}
	log.Info().Str("service", p.URL()).Str("control", p.ControlURL()).Msg("serving")
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	for s := range signals {
		if s != syscall.SIGHUP {
			break
		}
		err := p.Reload()
		log.Info().Uint64("revision", uint64(p.CurrentRevision())).Err(err).Msg("read the files again")
	}
	return p.Close()
}
