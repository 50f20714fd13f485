// Command measure runs the experiments and prints their results as one JSON object per line.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/jessevdk/go-flags"

	"github.com/bilberrywood/bilberrywood/measure"
)

// Exit codes.
const (
	exitMissed = 1
	exitUsage  = 2
)

type options struct {
	Only    string  `long:"only" value-name:"NAME" description:"run one experiment"`
	Seed    uint64  `long:"seed" default:"1" description:"seed of all runs"`
	SVG     string  `long:"svg" value-name:"FILE" description:"draw the curves to this file"`
	Runs    int     `long:"runs" default:"30" description:"runs behind each quantile"`
	Workers int     `long:"workers" default:"6" description:"runs at the same time"`
	Noise   float64 `long:"noise-share" default:"0.05" description:"simulated share of each day of healthy noise"`
}

// gcPercent trades memory for speed: the live heap of a run is small, but every request allocates.
const gcPercent = 800

func main() {
	debug.SetGCPercent(gcPercent)
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var f *flags.Error
		if errors.As(err, &f) && f.Type == flags.ErrHelp {
			return
		}
		os.Exit(exitUsage)
	}
	missed, err := run(o)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	}
	if missed > 0 {
		fmt.Fprintf(os.Stderr, "%d figures miss their bounds\n", missed)
		os.Exit(exitMissed)
	}
}

// run prints all results and returns how many miss their bounds.
func run(o options) (missed int, err error) {
	out := bufio.NewWriter(os.Stdout)
	emit := measure.Print(out)
	err = measure.Run(measure.Options{
		Seed: o.Seed, Workers: o.Workers, Runs: o.Runs, NoiseFraction: o.Noise, Only: o.Only, SVG: o.SVG,
	}, func(r measure.Result) error {
		if r.Failed() {
			missed++
		}
		return emit(r)
	})
	return missed, errors.Join(err, out.Flush())
}
