package operator

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/rs/zerolog"

	"github.com/bilberrywood/bilberrywood/settings"
	"github.com/bilberrywood/bilberrywood/table"
)

// Checked is the result of a check of two tables.
type Checked struct {
	Valid    bool           `json:"valid"`
	Problems table.Problems `json:"problems"`
	// The sizes and the digest are those of valid tables. Entries report the same digest when these
	// files are in force.
	Routes  int    `json:"routes"`
	Pools   int    `json:"pools"`
	Targets int    `json:"targets"`
	Digest  Digest `json:"digest"`
}

// Check checks two tables by the rules that entries check them by. The error is of class Error if a file
// can't be read.
func Check(routesPath, poolsPath string) (*Checked, error) {
	pair, err := table.ReadFiles(routesPath, poolsPath)
	var problems table.Problems
	if errors.As(err, &problems) {
		return &Checked{Problems: problems}, nil
	}
	if err != nil {
		return nil, Error.Wrap(err)
	}
	c := &Checked{
		Valid: true, Problems: table.Problems{}, Digest: Digest(pair.Digest),
		Routes: len(pair.Routes.Routes), Pools: len(pair.Pools.Pools),
	}
	for i := range pair.Pools.Pools {
		c.Targets += len(pair.Pools.Pools[i].Targets)
	}
	return c, nil
}

// OK implements Result.
func (c *Checked) OK() bool { return c.Valid }

// WriteText implements Result.
func (c *Checked) WriteText(w io.Writer) error {
	if !c.Valid {
		_, err := fmt.Fprintln(w, c.Problems.Error())
		return err
	}
	_, err := fmt.Fprintf(w, "valid: %d routes, %d pools, %d targets; digest %v\n", c.Routes, c.Pools, c.Targets, c.Digest)
	return err
}

// Differences are the changes between two pairs of tables.
type Differences struct {
	Changes []table.Change `json:"changes"`
}

// Diff compares two pairs of files. Both pairs must be valid; the error holds every problem otherwise.
func Diff(routesPath, poolsPath, toRoutesPath, toPoolsPath string) (*Differences, error) {
	from, err := table.ReadFiles(routesPath, poolsPath)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	to, err := table.ReadFiles(toRoutesPath, toPoolsPath)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &Differences{Changes: changesOf(from, to)}, nil
}

// changesOf returns table.Diff as a list that is not nil, so that JSON shows an empty list.
func changesOf(from, to *table.Pair) []table.Change {
	return append([]table.Change{}, table.Diff(from, to)...)
}

// OK implements Result.
func (d *Differences) OK() bool { return len(d.Changes) == 0 }

// WriteText implements Result.
func (d *Differences) WriteText(w io.Writer) error {
	if len(d.Changes) == 0 {
		_, err := fmt.Fprintln(w, "no change")
		return err
	}
	for _, c := range d.Changes {
		if _, err := fmt.Fprintln(w, c); err != nil {
			return err
		}
	}
	return nil
}

// SettingsFile is the result of the check of one settings file.
type SettingsFile struct {
	File  string `json:"file"`
	Valid bool   `json:"valid"`
	// Reasons has a line for each rule that the settings break.
	Reasons []string `json:"reasons,omitempty"`
}

// SettingsFiles is the result of a check of settings files.
type SettingsFiles struct {
	Files []SettingsFile `json:"files"`
}

// CheckSettings checks settings files of entries without starting anything.
func CheckSettings(paths []string) *SettingsFiles {
	out := &SettingsFiles{}
	for _, path := range paths {
		f := SettingsFile{File: path, Valid: true}
		if err := checkSettings(path); err != nil {
			f.Valid = false
			f.Reasons = strings.Split(err.Error(), "\n")
		}
		out.Files = append(out.Files, f)
	}
	return out
}

// checkSettings checks what an entry checks before it starts: the rules of the settings and the log
// level, which the logger reads. The certificates are left out, because they are on the entry's VM.
func checkSettings(path string) error {
	var s settings.Entry
	if err := settings.Read(path, &s); err != nil {
		return err
	}
	if _, err := zerolog.ParseLevel(s.LogLevel); err != nil {
		return settings.Error.New("%s: logLevel: %v", path, err)
	}
	return nil
}

// OK implements Result.
func (s *SettingsFiles) OK() bool {
	for _, f := range s.Files {
		if !f.Valid {
			return false
		}
	}
	return true
}

// WriteText implements Result.
func (s *SettingsFiles) WriteText(w io.Writer) error {
	for _, f := range s.Files {
		text := f.File + ": valid"
		if !f.Valid {
			text = strings.Join(f.Reasons, "\n")
		}
		if _, err := fmt.Fprintln(w, text); err != nil {
			return err
		}
	}
	return nil
}
