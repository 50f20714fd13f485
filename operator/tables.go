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

// CheckResult is the result of Check.
type CheckResult struct {
	Valid    bool           `json:"valid"`
	Problems table.Problems `json:"problems"`
	// The counts and the digest are 0 if the tables are invalid. Entries whose active tables come from these
	// files report the same digest.
	Routes  int    `json:"routes"`
	Pools   int    `json:"pools"`
	Targets int    `json:"targets"`
	Digest  Digest `json:"digest"`
}

// Check validates a routes and a pools table by the rules of the entries. The error is of class Error if a
// file can't be read.
func Check(routesPath, poolsPath string) (*CheckResult, error) {
	pair, err := table.ReadFiles(routesPath, poolsPath)
	var problems table.Problems
	if errors.As(err, &problems) {
		return &CheckResult{Problems: problems}, nil
	}
	if err != nil {
		return nil, Error.Wrap(err)
	}
	c := &CheckResult{
		Valid: true, Problems: table.Problems{}, Digest: Digest(pair.Digest),
		Routes: len(pair.Routes.Routes), Pools: len(pair.Pools.Pools),
	}
	for i := range pair.Pools.Pools {
		c.Targets += len(pair.Pools.Pools[i].Targets)
	}
	return c, nil
}

// OK implements Result.
func (c *CheckResult) OK() bool { return c.Valid }

// WriteText implements Result.
func (c *CheckResult) WriteText(w io.Writer) error {
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

// Diff compares two pairs of table files. If one of the pairs is invalid, the error lists its problems. Errors
// are of class Error.
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

// changesOf returns the result of table.Diff as a non-nil slice, so that no changes encode as [] in JSON.
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

// SettingsFileResult is the result of CheckSettings for one file.
type SettingsFileResult struct {
	File  string `json:"file"`
	Valid bool   `json:"valid"`
	// Reasons has a line for each rule that the settings break, or says why the file can't be read or decoded.
	Reasons []string `json:"reasons,omitempty"`
}

// SettingsResult is the result of CheckSettings.
type SettingsResult struct {
	Files []SettingsFileResult `json:"files"`
}

// CheckSettings validates settings files of entries without starting anything.
func CheckSettings(paths []string) *SettingsResult {
	out := &SettingsResult{}
	for _, path := range paths {
		f := SettingsFileResult{File: path, Valid: true}
		if err := checkSettings(path); err != nil {
			f.Valid = false
			f.Reasons = strings.Split(err.Error(), "\n")
		}
		out.Files = append(out.Files, f)
	}
	return out
}

// checkSettings validates what an entry validates before it starts: the settings and the log level, which
// the logger parses. It skips the certificates because they are on the entry's VM.
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
func (s *SettingsResult) OK() bool {
	for _, f := range s.Files {
		if !f.Valid {
			return false
		}
	}
	return true
}

// WriteText implements Result.
func (s *SettingsResult) WriteText(w io.Writer) error {
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
