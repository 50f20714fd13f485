// Command local-fleet writes the certificates, settings files and fleet list of a fleet that runs on this
// machine, and prints the paths of the settings files.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/bilberrywood/bilberrywood/standin"
)

type options struct {
	Dir      string `long:"dir" description:"folder for the files" required:"yes"`
	Fleet    string `long:"fleet" description:"fleet list from which the entries are taken" required:"yes"`
	Count    int    `long:"count" description:"number of entries; 0 means all" default:"0"`
	Platform string `long:"platform" description:"base URL of the configuration service" required:"yes"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "local-fleet:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	list, err := standin.ReadFleetFile(o.Fleet, o.Count)
	if err != nil {
		return err
	}
	l := &standin.LocalFleet{Dir: o.Dir, Entries: list, Platform: o.Platform}
	if err := l.Write(); err != nil {
		return err
	}
	for _, r := range list {
		fmt.Println(l.SettingsPath(r.ID))
	}
	return nil
}
