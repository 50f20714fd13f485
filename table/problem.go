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

// Problem is one reason why a pair of tables is rejected.
type Problem struct {
	// File is the key of the value, such as "tables/routes", or the path of the file.
	File string `json:"file"`
	// Line and Column count from 1. They are 0 if the problem concerns the whole value.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Pointer is the JSON pointer of the invalid part, such as "/pools/3/floor".
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

// Problems are all the reasons why a pair of tables is rejected, ordered by file and position. When used
// as an error it is never empty.
type Problems []Problem

// Error returns one line per problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns ps as an error, or nil if ps is empty.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}

// maxProblems bounds the length of a report: a table of 1 MB could otherwise produce 100,000 lines.
const maxProblems = 1000

// sorted orders ps by file and position and truncates it to maxProblems.
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
