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

// AuditRow compares what is in force on one entry with the published tables.
type AuditRow struct {
	ForceRow
	// Match says that every row and field in force equals the published one.
	Match bool `json:"match"`
	// SameText says that the text is the same too; comments and layout may differ in a match.
	SameText bool `json:"sameText"`
	// Reason says why there is no match other than by Changes.
	Reason string `json:"reason,omitempty"`
	// Changes lead from the published tables to those in force.
	Changes []table.Change `json:"changes"`
}

// Audited is the result of an audit.
type Audited struct {
	// Match says that every live entry was reached and has the published tables in force.
	Match   bool       `json:"match"`
	Digest  Digest     `json:"digest"`
	Entries []AuditRow `json:"entries"`
	// NotAsked are entries that others count as live and that are not among the addresses.
	NotAsked []fleet.EntryID `json:"notAsked"`
}

// auditTries is how often an entry is read again because other tables came into force meanwhile.
const auditTries = 3

// entryTables is what one entry says of itself and the tables that it serves by.
type entryTables struct {
	status  entry.Status
	members []fleet.Member
	// digest is that of the tables' text; 0 with none if no tables are in force.
	digest uint64
	none   bool
	// values are the tables' text; nil if it equals the published text, so that an audit of
	// thousands of entries neither keeps nor parses the same text for each.
	values map[string][]byte
}

// readValues reads the text of both tables in force.
func readValues(ctx context.Context, c *Client, a Address) (map[string][]byte, error) {
	values := make(map[string][]byte)
	for _, name := range []string{"routes", "pools"} {
		raw, err := c.read(ctx, a, "/v1/tables/"+name, nil)
		if err != nil {
			return nil, err
		}
		values[table.KeyPrefix+name] = raw
	}
	return values, nil
}

// readPair reads both tables of an entry and checks them.
func readPair(ctx context.Context, c *Client, a Address) (*table.Pair, error) {
	values, err := readValues(ctx, c, a)
	if err != nil {
		return nil, err
	}
	pair, err := table.NewPair(0, values)
	return pair, Error.Wrap(err)
}

// readTables reads the status before and after the tables, so that both belong together.
func readTables(ctx context.Context, c *Client, a Address, published uint64) (entryTables, error) {
	var out entryTables
	var err error
	if out.status, err = readStatus(ctx, c, a); err != nil {
		return out, err
	}
	if out.members, err = get[[]fleet.Member](ctx, c, a, "/v1/members", nil); err != nil {
		return out, err
	}
	for range auditTries {
		out.values, err = readValues(ctx, c, a)
		out.none = noTables(err)
		if err != nil && !out.none {
			return out, err
		}
		before := out.status
		if out.status, err = readStatus(ctx, c, a); err != nil {
			return out, err
		}
		if out.status.Revision == before.Revision && out.status.Incarnation == before.Incarnation {
			out.settle(published)
			return out, nil
		}
	}
	return out, Error.New("the tables in force changed while they were read")
}

func (t *entryTables) settle(published uint64) {
	if t.none {
		return
	}
	t.digest = table.Digest(t.values)
	if t.digest == published {
		t.values = nil
	}
}

// Audit compares the tables in force on every entry with the published files. The comparison is made
// on the rows that each entry serves, not on the digest that it reports.
func Audit(ctx context.Context, c *Client, routesPath, poolsPath string) (*Audited, error) {
	published, err := table.ReadFiles(routesPath, poolsPath)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	answers := ask(ctx, c, func(ctx context.Context, a Address) (entryTables, error) {
		return readTables(ctx, c, a, published.Digest)
	})
	out := &Audited{Match: true, Digest: Digest(published.Digest), NotAsked: []fleet.EntryID{}}
	known := make(map[fleet.EntryID]bool)
	for _, a := range answers {
		known[cmp.Or(a.Entry, a.value.status.Entry)] = true
	}
	for _, a := range answers {
		row := auditRow(published, a)
		out.Entries = append(out.Entries, row)
		out.NotAsked = append(out.NotAsked, notAsked(a.value.members, known)...)
		out.Match = out.Match && row.Match
	}
	out.Match = out.Match && len(out.Entries) > 0 && len(out.NotAsked) == 0
	return out, nil
}

func auditRow(published *table.Pair, a asked[entryTables]) AuditRow {
	row := AuditRow{
		ForceRow: forceRow(asked[entry.Status]{Address: a.Address, value: a.value.status, err: a.err}),
		Changes:  []table.Change{},
	}
	t := &a.value
	switch {
	case a.err != nil:
		row.Reason = "can't be reached"
	case t.none:
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

// compare compares the rows of tables whose text is not the published one.
func (r *AuditRow) compare(published *table.Pair, values map[string][]byte) {
	pair, err := table.NewPair(0, values)
	if err != nil {
		r.Reason = "serves by tables that this client's checks refuse: " + reason(err)
		return
	}
	r.Changes = changesOf(published, pair)
	r.Match = len(r.Changes) == 0
}

// OK implements Result.
func (a *Audited) OK() bool { return a.Match }

var auditColumns = append(columnsOf(forceColumns, func(r AuditRow) ForceRow { return r.ForceRow }),
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
func (a *Audited) WriteText(w io.Writer) error {
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
	for _, id := range a.NotAsked {
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
