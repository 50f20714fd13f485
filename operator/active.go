package operator

import (
	"context"
	"io"
	"time"

	"github.com/bilberrywood/bilberrywood/entry"
	"github.com/bilberrywood/bilberrywood/table"
)

// ActivePairRow is the active pair of tables of one entry.
type ActivePairRow struct {
	Entry string `json:"entry"`
	// Error is set if the entry could not be queried; the other fields but Entry are empty then.
	Error    string         `json:"error,omitempty"`
	State    string         `json:"state,omitempty"`
	Revision table.Revision `json:"revision"`
	Digest   Digest         `json:"digest"`
	// ActiveSince is when the entry accepted the pair, by the entry's clock.
	ActiveSince time.Time `json:"since,omitzero"`
	// Rejected counts the pairs that the entry did not accept; ListRejections returns them.
	Rejected int `json:"rejected"`
}

// ActivePairs lists the active pair of tables of every entry.
type ActivePairs struct {
	// SamePair says that every entry was reached and has the same active pair.
	SamePair bool            `json:"same"`
	Entries  []ActivePairRow `json:"entries"`
}

// ListActivePairs queries every entry for its active pair.
func ListActivePairs(ctx context.Context, c *Client) *ActivePairs {
	out := &ActivePairs{SamePair: true}
	for _, a := range queryStatus(ctx, c) {
		row := activePairRow(a)
		out.Entries = append(out.Entries, row)
		first := out.Entries[0]
		if row.Error != "" || row.Revision == 0 || row.Revision != first.Revision || row.Digest != first.Digest {
			out.SamePair = false
		}
	}
	return out
}

func queryStatus(ctx context.Context, c *Client) []entryResponse[entry.Status] {
	return queryAll(ctx, c, func(ctx context.Context, a Address) (entry.Status, error) {
		return readStatus(ctx, c, a)
	})
}

func activePairRow(a entryResponse[entry.Status]) ActivePairRow {
	if a.err != nil {
		return ActivePairRow{Entry: a.displayName(), Error: errorText(a.err)}
	}
	s := a.value
	return ActivePairRow{
		Entry: string(s.Entry), State: s.State, Revision: s.Revision, Digest: Digest(s.Digest),
		ActiveSince: s.InForceSince, Rejected: len(s.Rejections),
	}
}

// OK implements Result.
func (p *ActivePairs) OK() bool { return p.SamePair }

var activePairColumns = []column[ActivePairRow]{
	{"ENTRY", func(r ActivePairRow) string { return r.Entry }},
	{"STATE", func(r ActivePairRow) string {
		if r.Error != "" {
			return "UNREACHABLE: " + r.Error
		}
		return r.State
	}},
	{"REVISION", func(r ActivePairRow) string { return revisionText(r.Revision) }},
	{"DIGEST", func(r ActivePairRow) string {
		if r.Revision == 0 {
			return ""
		}
		return r.Digest.String()
	}},
	{"IN FORCE SINCE", func(r ActivePairRow) string { return timeText(r.ActiveSince) }},
}

// WriteText implements Result.
func (p *ActivePairs) WriteText(w io.Writer) error {
	if err := writeTable(w, p.Entries, "no entry was asked", activePairColumns); err != nil {
		return err
	}
	text := "the same pair is in force on every entry\n"
	if !p.SamePair {
		text = "NOT THE SAME ON EVERY ENTRY\n"
	}
	_, err := io.WriteString(w, text)
	return err
}
