package operator

import (
	"context"
	"fmt"
	"io"

	"github.com/bilberrywood/bilberrywood/table"
)

// RejectedPair is a pair that one or more entries did not accept.
type RejectedPair struct {
	Entry string `json:"entry"`
	table.Rejection
	// Digest replaces the number of the same name in Rejection, which many JSON readers would round.
	Digest Digest `json:"digest"`
}

// Rejections lists the pairs that entries did not accept since they started.
type Rejections struct {
	Pairs       []RejectedPair `json:"pairs"`
	Unreachable []EntryError   `json:"unreachable"`
}

// ListRejections queries every entry for the pairs that it did not accept.
func ListRejections(ctx context.Context, c *Client) *Rejections {
	responses := queryStatus(ctx, c)
	out := &Rejections{Pairs: []RejectedPair{}, Unreachable: unreachableEntries(responses)}
	for _, a := range responses {
		for _, r := range a.value.Rejections {
			out.Pairs = append(out.Pairs, RejectedPair{Entry: string(a.value.Entry), Rejection: r, Digest: Digest(r.Digest)})
		}
	}
	return out
}

// OK implements Result. The command does not fail because pairs were rejected in the past.
func (r *Rejections) OK() bool { return len(r.Unreachable) == 0 }

// WriteText implements Result.
func (r *Rejections) WriteText(w io.Writer) error {
	if len(r.Pairs) == 0 {
		if _, err := fmt.Fprintln(w, "no rejected tables"); err != nil {
			return err
		}
	}
	for _, p := range r.Pairs {
		_, err := fmt.Fprintf(w, "%s: revision %v from %s, digest %v, offered %d times from %s to %s\n",
			p.Entry, p.Revision, p.Source, p.Digest, p.Count, timeText(p.FirstSeen), timeText(p.LastSeen))
		if err != nil {
			return err
		}
		for _, problem := range p.Problems {
			if _, err := fmt.Fprintf(w, "  %v\n", problem); err != nil {
				return err
			}
		}
	}
	return writeUnreachable(w, r.Unreachable)
}
