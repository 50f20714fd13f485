package operator

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"slices"
	"strings"

	"github.com/bilberrywood/bilberrywood/entry"
	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/table"
)

// ExplainRequest describes the request to be explained. The request is not run.
type ExplainRequest struct {
	Method  string
	Path    string
	Account string
	Token   string
}

// ExplainRow is what one entry would do with the request.
type ExplainRow struct {
	Entry string `json:"entry"`
	// Error is set if the entry could not be queried; the other fields but Entry are empty then.
	Error string `json:"error,omitempty"`
	entry.Explanation
}

// ExplainResult is the result of Explain.
type ExplainResult struct {
	// Consistent says that all entries were reached and decide alike: on the route, the pool, the revision,
	// the owners of the cells and the reason for a refusal.
	Consistent bool         `json:"same"`
	Entries    []ExplainRow `json:"entries"`
}

// Explain queries every entry for what it would do with the request.
func Explain(ctx context.Context, c *Client, q ExplainRequest) *ExplainResult {
	query := url.Values{"method": {q.Method}, "path": {q.Path}, "account": {q.Account}, "token": {q.Token}}
	responses := queryAll(ctx, c, func(ctx context.Context, a Address) (ExplainRow, error) {
		s, err := readStatus(ctx, c, a)
		if err != nil {
			return ExplainRow{}, err
		}
		x, err := getJSON[entry.Explanation](ctx, c, a, "/v1/explain", query)
		return ExplainRow{Entry: string(s.Entry), Explanation: x}, err
	})
	out := &ExplainResult{Consistent: true}
	for _, a := range responses {
		row := a.value
		if a.err != nil {
			row = ExplainRow{Entry: a.displayName(), Error: errorText(a.err)}
		}
		out.Entries = append(out.Entries, row)
		out.Consistent = out.Consistent && row.Error == "" && sameDecision(out.Entries[0], row)
	}
	return out
}

// sameDecision reports whether two entries decide alike. Their backups may differ.
func sameDecision(a, b ExplainRow) bool {
	sameOwner := func(a, b entry.CellOwner) bool { return a.Cell == b.Cell && a.Owner == b.Owner }
	return a.Route == b.Route && a.Pool == b.Pool && a.Refused == b.Refused && a.Revision == b.Revision &&
		slices.EqualFunc(a.Cells, b.Cells, sameOwner)
}

// OK implements Result.
func (x *ExplainResult) OK() bool { return x.Consistent }

// explainLine is a line of the text form: one cell in the view of one entry.
type explainLine struct {
	entry, route, pool, owner, backups string
	revision                           table.Revision
}

var explainColumns = []column[explainLine]{
	{"ASKED", func(l explainLine) string { return l.entry }},
	{"REVISION", func(l explainLine) string { return revisionText(l.revision) }},
	{"ROUTE", func(l explainLine) string { return l.route }},
	{"POOL", func(l explainLine) string { return l.pool }},
	{"OWNER", func(l explainLine) string { return l.owner }},
	{"BACKUPS", func(l explainLine) string { return l.backups }},
}

func (r ExplainRow) lines() []explainLine {
	switch {
	case r.Error != "":
		return []explainLine{{entry: r.Entry, route: "UNREACHABLE: " + r.Error}}
	case r.Refused != "":
		return []explainLine{{entry: r.Entry, revision: r.Revision, route: "REFUSED: " + r.Refused}}
	}
	var out []explainLine
	for _, c := range r.Cells {
		l := explainLine{
			entry: r.Entry, revision: r.Revision, route: string(r.Route), pool: cellName(c.Cell),
			owner: string(c.Owner), backups: joinIDs(c.Backups),
		}
		if l.owner == "" {
			l.owner = "none: placed by the asked entry"
		}
		out = append(out, l)
	}
	return out
}

func joinIDs(ids []fleet.EntryID) string {
	texts := make([]string, len(ids))
	for i, id := range ids {
		texts[i] = string(id)
	}
	return strings.Join(texts, ", ")
}

// WriteText implements Result.
func (x *ExplainResult) WriteText(w io.Writer) error {
	var lines []explainLine
	for _, r := range x.Entries {
		lines = append(lines, r.lines()...)
	}
	if err := writeTable(w, lines, "no entry was asked", explainColumns); err != nil {
		return err
	}
	if x.Consistent {
		return nil
	}
	_, err := fmt.Fprintln(w, "THE ENTRIES DO NOT AGREE, OR NOT ALL ANSWERED")
	return err
}
