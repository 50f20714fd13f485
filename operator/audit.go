package operator

import (
	"cmp"
	"context"
	"fmt"
	"io"

	"github.com/bilberrywood/bilberrywood/entry"
	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/table"
)

// AuditRow compares the active tables of one entry with the published tables.
type AuditRow struct {
	ActivePairRow
	// Match says that every active row and field equals the published one.
	Match bool `json:"match"`
	// SameText says that the text is the same too. Comments and layout may differ in a match.
	SameText bool `json:"sameText"`
	// Reason says why there is no match if it is for another cause than Changes.
	Reason string `json:"reason,omitempty"`
	// Changes lead from the published tables to the active ones.
	Changes []table.Change `json:"changes"`
}

// AuditResult is the result of Audit.
type AuditResult struct {
	// Match says that every live entry was reached and that its active tables match the published ones.
	Match   bool       `json:"match"`
	Digest  Digest     `json:"digest"`
	Entries []AuditRow `json:"entries"`
	// NotQueried lists entries that other entries count as live but that are not among the addresses.
	NotQueried []fleet.EntryID `json:"notAsked"`
}

// maxTableReads bounds the attempts to read an entry's tables. An attempt is repeated if the active tables
// changed during it.
const maxTableReads = 3

// entryTables holds the status of one entry and its active tables.
type entryTables struct {
	status  entry.Status
	members []fleet.Member
	// digest is computed from the text of the tables. It is 0 if noTables is set.
	digest uint64
	// noTables says that the entry has no active tables.
	noTables bool
	// values holds the text of the tables by key. It is nil if the text equals the published one, so that an
	// audit of thousands of entries neither stores nor parses the same text for each.
	values map[string][]byte
}

// readValues reads the text of both active tables.
func readValues(ctx context.Context, c *Client, a Address) (map[string][]byte, error) {
	values := make(map[string][]byte)
	for _, name := range []string{"routes", "pools"} {
		raw, err := c.readAll(ctx, a, "/v1/tables/"+name, nil)
		if err != nil {
			return nil, err
		}
		values[table.KeyPrefix+name] = raw
	}
	return values, nil
}

// readPair reads both active tables of an entry and validates them.
func readPair(ctx context.Context, c *Client, a Address) (*table.Pair, error) {
	values, err := readValues(ctx, c, a)
	if err != nil {
		return nil, err
	}
	pair, err := table.NewPair(0, values)
	return pair, Error.Wrap(err)
}

// readTables reads the status and the active tables of an entry. It reads the status before and after the
// tables to make sure that both belong to the same revision.
func readTables(ctx context.Context, c *Client, a Address, published uint64) (entryTables, error) {
	var out entryTables
	var err error
	if out.status, err = readStatus(ctx, c, a); err != nil {
		return out, err
	}
	if out.members, err = getJSON[[]fleet.Member](ctx, c, a, "/v1/members", nil); err != nil {
		return out, err
	}
	for range maxTableReads {
		out.values, err = readValues(ctx, c, a)
		out.noTables = isNoTables(err)
		if err != nil && !out.noTables {
			return out, err
		}
		before := out.status
		if out.status, err = readStatus(ctx, c, a); err != nil {
			return out, err
		}
		if out.status.Revision == before.Revision && out.status.Incarnation == before.Incarnation {
			out.setDigest(published)
			return out, nil
		}
	}
	return out, Error.New("the tables in force changed while they were read")
}

// setDigest computes the digest, and drops the text if its digest is the published one.
func (t *entryTables) setDigest(published uint64) {
	if t.noTables {
		return
	}
	t.digest = table.Digest(t.values)
	if t.digest == published {
		t.values = nil
	}
}

// Audit compares the active tables of every entry with the published files. It compares the tables
// themselves, not the digest that the entry reports. The error is of class Error if the files are invalid
// or can't be read.
func Audit(ctx context.Context, c *Client, routesPath, poolsPath string) (*AuditResult, error) {
	published, err := table.ReadFiles(routesPath, poolsPath)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	responses := queryAll(ctx, c, func(ctx context.Context, a Address) (entryTables, error) {
		return readTables(ctx, c, a, published.Digest)
	})
	out := &AuditResult{Match: true, Digest: Digest(published.Digest), NotQueried: []fleet.EntryID{}}
	queried := make(map[fleet.EntryID]bool)
	for _, a := range responses {
		queried[cmp.Or(a.Entry, a.value.status.Entry)] = true
	}
	for _, a := range responses {
		row := auditRow(published, a)
		out.Entries = append(out.Entries, row)
		out.NotQueried = append(out.NotQueried, liveNotQueried(a.value.members, queried)...)
		out.Match = out.Match && row.Match
	}
	out.Match = out.Match && len(out.Entries) > 0 && len(out.NotQueried) == 0
	return out, nil
}

func auditRow(published *table.Pair, a entryResponse[entryTables]) AuditRow {
	row := AuditRow{
		ActivePairRow: activePairRow(entryResponse[entry.Status]{Address: a.Address, value: a.value.status, err: a.err}),
		Changes:       []table.Change{},
	}
	t := &a.value
	switch {
	case a.err != nil:
		row.Reason = "can't be reached"
	case t.noTables:
		row.Reason = "no tables are in force"
	case Digest(t.digest) != row.Digest:
		row.Reason = fmt.Sprintf("reports digest %v but serves by tables with digest %v", row.Digest, Digest(t.digest))
	case t.values == nil:
		row.Match, row.SameText = true, true
	default:
		row.compare(published, t.values)
	}
	return row
}

// compare compares tables whose text differs from the published one row by row.
func (r *AuditRow) compare(published *table.Pair, values map[string][]byte) {
	pair, err := table.NewPair(0, values)
	if err != nil {
		r.Reason = "serves by tables that this client's checks refuse: " + errorText(err)
		return
	}
	r.Changes = changesOf(published, pair)
	r.Match = len(r.Changes) == 0
}

// OK implements Result.
func (a *AuditResult) OK() bool { return a.Match }

var auditColumns = append(embeddedColumns(activePairColumns, func(r AuditRow) ActivePairRow { return r.ActivePairRow }),
	column[AuditRow]{"RESULT", func(r AuditRow) string {
		switch {
		case r.Reason != "":
			return "MISMATCH: " + r.Reason
		case !r.Match:
			return fmt.Sprintf("MISMATCH: %d differences", len(r.Changes))
		case !r.SameText:
			return "match; comments or layout differ"
		}
		return "match"
	}})

// WriteText implements Result.
func (a *AuditResult) WriteText(w io.Writer) error {
	if err := writeTable(w, a.Entries, "no entry was asked", auditColumns); err != nil {
		return err
	}
	for _, r := range a.Entries {
		for _, c := range r.Changes {
			if _, err := fmt.Fprintf(w, "%s: %v (published to in force)\n", r.Entry, c); err != nil {
				return err
			}
		}
	}
	for _, id := range a.NotQueried {
		if _, err := fmt.Fprintf(w, "%s: live but not asked\n", id); err != nil {
			return err
		}
	}
	text := "MATCH"
	if !a.Match {
		text = "MISMATCH"
	}
	_, err := fmt.Fprintf(w, "%s (published digest %v)\n", text, a.Digest)
	return err
}
