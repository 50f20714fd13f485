// Command target-standin runs stand-ins for targets on consecutive ports until it receives SIGTERM or
// SIGINT.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/bilberrywood/bilberrywood/standin"
)

type options struct {
	Listen      string  `long:"listen" default:"127.0.0.1:9000" description:"IP address and port of the first target"`
	Count       int     `long:"count" default:"1" description:"number of targets, on consecutive ports"`
	Name        string  `long:"name" default:"target" description:"prefix of the targets' ids; a number of two digits from 01 follows"`
	Slots       int     `long:"slots" default:"4" description:"requests that run at a time"`
	Queue       int     `long:"queue" default:"2" description:"requests that wait for a slot; more are shed"`
	ServiceMs   float64 `long:"service-ms" default:"50" description:"median service time in milliseconds"`
	Spread      float64 `long:"spread" default:"0" description:"sigma of the logarithm of the service time"`
	ColdStartMs int     `long:"cold-start-ms" default:"0" description:"time in which a started target is slower, in milliseconds"`
	ProbeMs     int     `long:"probe-ms" default:"0" description:"time that probe and load endpoints take, in milliseconds"`
	Seed        uint64  `long:"seed" default:"1" description:"seed of service times and random failures"`
	CrashExits  bool    `long:"crash-exits" description:"a crash ends the whole process with code 3"`
}

// exitCrash is the exit code after a simulated crash with --crash-exits.
const exitCrash = 3

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
	first, err := netip.ParseAddrPort(o.Listen)
	if err != nil {
		return standin.TargetError.Wrap(err)
	}
	for i := range o.Count {
		t := o.target(i, netip.AddrPortFrom(first.Addr(), first.Port()+uint16(i)))
		if err := t.Start(); err != nil {
			return err
		}
		defer t.Close() //nolint:errcheck // the process ends
		fmt.Printf("%s %s\n", t.ID, t.Address())
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	<-ctx.Done()
	return nil
}

// target returns the target with index i.
func (o *options) target(i int, address netip.AddrPort) *standin.Target {
	t := &standin.Target{
		Listen:           address.String(),
		ID:               fmt.Sprintf("%s-%02d", o.Name, i+1),
		Slots:            o.Slots,
		QueueLimit:       o.Queue,
		ServiceTime:      time.Duration(o.ServiceMs * float64(time.Millisecond)),
		ServiceTimeSigma: o.Spread,
		ColdStart:        time.Duration(o.ColdStartMs) * time.Millisecond,
		ProbeDelay:       time.Duration(o.ProbeMs) * time.Millisecond,
		Seed:             o.Seed + uint64(i),
	}
	if o.CrashExits {
		t.OnCrash = func() { os.Exit(exitCrash) }
	}
	return t
}
