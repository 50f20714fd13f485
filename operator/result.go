package operator

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package: the command could not do its work.
var Error = errs.Class("operator")

// UsageError is the class of errors in how a command was called.
var UsageError = errs.Class("usage")

// Result is what a command found. It is encoded as JSON as it stands.
type Result interface {
	// OK is false if something does not hold that the command checks: invalid tables, a difference,
	// an entry that can't be reached.
	OK() bool
	// WriteText writes the result for people.
	WriteText(w io.Writer) error
}

// Write writes the result as text or as JSON.
func Write(w io.Writer, r Result, asJSON bool) error {
	if !asJSON {
		return Error.Wrap(r.WriteText(w))
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return Error.Wrap(e.Encode(r))
}

// column is one column of a table of rows of type T.
type column[T any] struct {
	title string
	cell  func(T) string
}

// noCell stands for a value that is not known or does not apply.
const noCell = "-"

// writeTable writes the rows with aligned columns under their titles, and none if there are no rows.
func writeTable[T any](w io.Writer, rows []T, empty string, columns []column[T]) error {
	if len(rows) == 0 {
		_, err := fmt.Fprintln(w, empty)
		return err
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	line := make([]string, len(columns))
	for i, c := range columns {
		line[i] = c.title
	}
	// Writes to a tabwriter are buffered; an error shows at Flush.
	_, _ = fmt.Fprintln(t, strings.Join(line, "\t"))
	for _, row := range rows {
		for i, c := range columns {
			line[i] = c.cell(row)
			if line[i] == "" {
				line[i] = noCell
			}
		}
		_, _ = fmt.Fprintln(t, strings.Join(line, "\t"))
	}
	return t.Flush()
}

// section is a part of a page with a heading.
type section struct {
	title string
	write func(io.Writer) error
}

func writeSections(w io.Writer, sections []section) error {
	for i, s := range sections {
		if i > 0 {
			if _, err := fmt.Fprintln(w); err != nil {
				return err
			}
		}
		if _, err := fmt.Fprintln(w, s.title); err != nil {
			return err
		}
		if err := s.write(w); err != nil {
			return err
		}
	}
	return nil
}
