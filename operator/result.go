package operator

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/zeebo/errs"
)

// Error is the class of the errors that keep a command from completing.
var Error = errs.Class("operator")

// UsageError is the class of errors in the arguments of a command.
var UsageError = errs.Class("usage")

// Result is the result of a command. Its JSON form is the encoding of the type that implements it.
type Result interface {
	// OK is false if a check of the command failed, for example because tables are invalid or differ, or
	// because an entry can't be reached.
	OK() bool
	// WriteText writes the result as human-readable text.
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
	value func(T) string
}

// missingValue is printed in place of a value that is unknown or does not apply.
const missingValue = "-"

// writeTable writes the rows in aligned columns with titles. Without rows it writes emptyText instead.
func writeTable[T any](w io.Writer, rows []T, emptyText string, columns []column[T]) error {
	if len(rows) == 0 {
		_, err := fmt.Fprintln(w, emptyText)
		return err
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	line := make([]string, len(columns))
	for i, c := range columns {
		line[i] = c.title
	}
	// The tabwriter buffers its writes; Flush returns their errors.
	_, _ = fmt.Fprintln(t, strings.Join(line, "\t"))
	for _, row := range rows {
		for i, c := range columns {
			line[i] = c.value(row)
			if line[i] == "" {
				line[i] = missingValue
			}
		}
		_, _ = fmt.Fprintln(t, strings.Join(line, "\t"))
	}
	return t.Flush()
}

// section is a part of a text with a heading.
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
