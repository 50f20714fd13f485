// Command rig2 runs the scripts of the second review: it starts the entries as separate processes, with stand-ins of the
// platform's store, of servers and of clients on loopback, and judges what these have seen.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// scenario returns whether the rule was broken, and how.
type scenario func(d *deployment, trouble bool) (broken bool, verdict string, err error)

var scenarios = map[string]scenario{}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 SCENARIO FOLDER")
		return exitFailed
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.file.Close()
	dir, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir)
	}
	d := &deployment{dir: dir, record: rec}
	defer d.close()
	if d.store, err = startStore("127.0.0.1"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	// A script that hangs must end by itself.
	time.AfterFunc(118*time.Second, func() {
		rec.line("could not run: the time is over")
		d.close()
		os.Exit(exitFailed)
	})
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("scenario %s, trouble %v", os.Args[1], trouble)
	broken, verdict, err := scenarios[os.Args[1]](d, trouble)
	switch {
	case err != nil:
		rec.line("could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitFailed
	case broken:
		rec.line("BROKEN: %s", verdict)
		fmt.Println("BROKEN:", verdict)
		return exitBroken
	}
	rec.line("held: %s", verdict)
	fmt.Println("held:", verdict)
	return exitHeld
}
