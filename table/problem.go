package table

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package other than Problems and Refusal.
var Error = errs.Class("table")

// Problem is one reason why a pair of tables is refused.
type Problem struct {
	// File is the name of the value, such as "tables/routes", or the path of the file read.
	File string `json:"file"`
	// Line and Column count from 1; 0 means that the whole value is meant.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Pointer is the JSON pointer of the offending part, such as "/pools/3/floor".
	Pointer string `json:"pointer,omitempty"`
	Reason  string `json:"reason"`
}

// Error returns "file:line:column: reason".
func (p Problem) Error() string {
	if p.Line == 0 {
		return p.File + ": " + p.Reason
	}
	return fmt.Sprintf("%s:%d:%d: %s", p.File, p.Line, p.Column, p.Reason)
}

// Problems are all the reasons why a pair of tables is refused, ordered by file and position. As an
// error it is never empty.
type Problems []Problem

// Error returns one line per problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns ps as an error, or nil if there is no problem.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}

// maxProblems bounds a report: a table of 1 MB could otherwise produce a hundred thousand lines.
const maxProblems = 1000

// sorted orders ps by file and position and cuts the list at maxProblems.
func (ps Problems) sorted() Problems {
	slices.SortStableFunc(ps, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	if len(ps) <= maxProblems {
		return ps
	}
	more := len(ps) - maxProblems
	last := Problem{File: ps[maxProblems].File, Reason: fmt.Sprintf("%d more problems are not listed", more)}
	return append(ps[:maxProblems:maxProblems], last)
}
