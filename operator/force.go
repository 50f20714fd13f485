package operator

import (
	"context"
	"io"
	"time"

	"github.com/bilberrywood/bilberrywood/entry"
	"github.com/bilberrywood/bilberrywood/table"
)

// ForceRow says what is in force on one entry.
type ForceRow struct {
	Entry string `json:"entry"`
	// Error is set if the entry could not be asked; the other fields are empty then.
	Error    string         `json:"error,omitempty"`
	State    string         `json:"state,omitempty"`
	Revision table.Revision `json:"revision"`
	Digest   Digest         `json:"digest"`
	// Since is when the entry accepted the pair, by the entry's clock.
	Since time.Time `json:"since,omitzero"`
	// Rejected counts the pairs that the entry did not accept; see Rejected.
	Rejected int `json:"rejected"`
}

// Force says what is in force on every entry.
type Force struct {
	// Same says that every entry was reached and has the same pair in force.
	Same    bool       `json:"same"`
	Entries []ForceRow `json:"entries"`
}

// InForce asks every entry which pair is in force.
func InForce(ctx context.Context, c *Client) *Force {
	out := &Force{Same: true}
	for _, a := range askStatus(ctx, c) {
		row := forceRow(a)
		out.Entries = append(out.Entries, row)
		first := out.Entries[0]
		if row.Error != "" || row.Revision == 0 || row.Revision != first.Revision || row.Digest != first.Digest {
			out.Same = false
		}
	}
	return out
}

func askStatus(ctx context.Context, c *Client) []asked[entry.Status] {
	return ask(ctx, c, func(ctx context.Context, a Address) (entry.Status, error) {
		return readStatus(ctx, c, a)
	})
}

func forceRow(a asked[entry.Status]) ForceRow {
	if a.err != nil {
		return ForceRow{Entry: a.name(), Error: reason(a.err)}
	}
	s := a.value
	return ForceRow{
		Entry: string(s.Entry), State: s.State, Revision: s.Revision, Digest: Digest(s.Digest),
		Since: s.InForceSince, Rejected: len(s.Rejections),
	}
}

// OK implements Result.
func (f *Force) OK() bool { return f.Same }

var forceColumns = []column[ForceRow]{
	{"ENTRY", func(r ForceRow) string { return r.Entry }},
	{"STATE", func(r ForceRow) string {
		if r.Error != "" {
			return "UNREACHABLE: " + r.Error
		}
		return r.State
	}},
	{"REVISION", func(r ForceRow) string { return revisionText(r.Revision) }},
	{"DIGEST", func(r ForceRow) string {
		if r.Revision == 0 {
			return ""
		}
		return r.Digest.String()
	}},
	{"IN FORCE SINCE", func(r ForceRow) string { return timeText(r.Since) }},
}

// WriteText implements Result.
func (f *Force) WriteText(w io.Writer) error {
	if err := writeTable(w, f.Entries, "no entry was asked", forceColumns); err != nil {
		return err
	}
	text := "the same pair is in force on every entry\n"
	if !f.Same {
		text = "NOT THE SAME ON EVERY ENTRY\n"
	}
	_, err := io.WriteString(w, text)
	return err
}
