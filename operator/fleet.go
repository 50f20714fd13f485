package operator

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/bilberrywood/bilberrywood/entry"
	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/pool"
	"github.com/bilberrywood/bilberrywood/table"
)

// EntryRow is one entry on the page about the fleet.
type EntryRow struct {
	ForceRow
	FailureDomain table.FailureDomain `json:"failureDomain,omitempty"`
	// SeenBy counts the entries that answered and that count this one as live, itself left out. An entry
	// that can't be reached but is seen by others still serves; only its operators' address fails.
	SeenBy int `json:"seenBy"`
	// Reader says that the entry has read the platform within the last 10 s.
	Reader         bool `json:"reader"`
	RecentlyPaused bool `json:"selfDoubt"`
	// PlatformError is the last error of a reading entry; Stale counts ignored lower revisions.
	PlatformError string    `json:"platformError,omitempty"`
	PlatformSeen  time.Time `json:"platformSeen,omitzero"`
	Stale         uint64    `json:"stale"`
	UpSeconds     float64   `json:"upSeconds"`
}

// OwnerRow is one cell on the page about the fleet. A cell that two entries claim has two rows.
type OwnerRow struct {
	Pool table.PoolName `json:"pool"`
	Cell int            `json:"cell"`
	// Owner is empty if no entry that answered owns the cell.
	Owner     string `json:"owner,omitempty"`
	Ownership string `json:"standing,omitempty"`
	// Doubtful says that the owner ejects nothing at present.
	Doubtful bool `json:"doubtful"`
	Targets  int  `json:"targets"`
	// Serving counts the targets in ordinary use.
	Serving     int     `json:"serving"`
	Floor       int     `json:"floor"`
	Queued      int     `json:"queued"`
	InFlight    int     `json:"inFlight"`
	RetryTokens float64 `json:"retryTokens"`
	// Fingerprints counts suspected and refused poison requests.
	Fingerprints int `json:"fingerprints"`
}

// RefusalRow counts the refusals of one reason since the entries started.
type RefusalRow struct {
	Reason pool.Reason `json:"reason"`
	Total  int64       `json:"total"`
	// ByEntry leaves out entries that refused nothing for this reason.
	ByEntry map[string]int64 `json:"byEntry"`
}

// Overview is the page about the fleet.
type Overview struct {
	Entries []EntryRow `json:"entries"`
	// Same says that the same pair is in force on every entry that was asked.
	Same  bool       `json:"same"`
	Cells []OwnerRow `json:"cells"`
	// Targets are those not in ordinary use.
	Targets  []TargetRow  `json:"targets"`
	Refusals []RefusalRow `json:"refusals"`
	// NotAsked are entries that others count as live and that are not among the addresses.
	NotAsked []fleet.EntryID `json:"notAsked"`
	// TablesError says why the list of all pools could not be read; Cells may then lack pools.
	TablesError string `json:"tablesError,omitempty"`
}

// entryPage is everything that one entry is asked for the page about the fleet.
type entryPage struct {
	entryCells
	members []fleet.Member
	// metrics has the counters by name; metrics of other kinds have no count.
	metrics map[string]struct{ Count int64 }
}

func readPage(ctx context.Context, c *Client, a Address) (entryPage, error) {
	var out entryPage
	var err error
	if out.entryCells, err = readCells(ctx, c, a); err != nil {
		return out, err
	}
	if out.members, err = get[[]fleet.Member](ctx, c, a, "/v1/members", nil); err != nil {
		return out, err
	}
	out.metrics, err = get[map[string]struct{ Count int64 }](ctx, c, a, "/metrics", nil)
	return out, err
}

// FindFleet asks every entry and puts together the page about the fleet.
func FindFleet(ctx context.Context, c *Client) *Overview {
	answers := ask(ctx, c, func(ctx context.Context, a Address) (entryPage, error) { return readPage(ctx, c, a) })
	out := &Overview{Cells: []OwnerRow{}, Targets: []TargetRow{}, NotAsked: []fleet.EntryID{}}
	known := make(map[fleet.EntryID]bool)
	seen := make(map[string]int)
	for _, a := range answers {
		known[cmp.Or(a.Entry, a.value.status.Entry)] = true
		for _, m := range a.value.members {
			if m.Live && m.ID != a.value.status.Entry {
				seen[string(m.ID)]++
			}
		}
	}
	out.Same = true
	for _, a := range answers {
		row := entryRow(a)
		row.SeenBy = seen[row.Entry]
		out.Entries = append(out.Entries, row)
		first := out.Entries[0]
		out.Same = out.Same && row.Error == "" && row.Revision != 0 && row.Digest == first.Digest && row.Revision == first.Revision
		out.Targets = append(out.Targets, targetRows(a.value.entryCells)...)
		out.Cells = append(out.Cells, ownerRows(a.value.entryCells)...)
		out.NotAsked = append(out.NotAsked, notAsked(a.value.members, known)...)
	}
	sortTargets(out.Targets)
	out.Refusals = refusalRows(answers)
	out.addUnowned(ctx, c, answers)
	return out
}

func entryRow(a asked[entryPage]) EntryRow {
	s := a.value.status
	row := EntryRow{ForceRow: forceRow(asked[entry.Status]{Address: a.Address, value: s, err: a.err})}
	if a.err != nil {
		return row
	}
	row.FailureDomain, row.Reader, row.RecentlyPaused, row.UpSeconds = s.FailureDomain, s.Reader, s.RecentlyPaused, s.UpSeconds
	row.Stale, row.PlatformSeen = s.Platform.Stale, s.Platform.LastResponse
	if s.Platform.Active {
		row.PlatformError = s.Platform.LastError
	}
	return row
}

// ownerRows returns the cells that the entry owns in its own view.
func ownerRows(e entryCells) []OwnerRow {
	var out []OwnerRow
	for _, c := range e.cells {
		if !owned(c) {
			continue
		}
		row := OwnerRow{
			Pool: c.Cell.Pool, Cell: c.Cell.Index, Owner: string(e.status.Entry), Ownership: c.Ownership,
			Doubtful: c.Report.DetectionSuspended, Targets: len(c.Report.Targets), Floor: c.Report.Floor,
			Queued: c.Report.Queued, InFlight: c.Report.InFlight, RetryTokens: c.Report.RetryTokens,
			Fingerprints: c.Report.Fingerprints,
		}
		for _, t := range c.Report.Targets {
			if t.State == pool.TargetServing {
				row.Serving++
			}
		}
		out = append(out, row)
	}
	return out
}

// addUnowned adds the cells of the tables in force that no entry that answered owns.
func (o *Overview) addUnowned(ctx context.Context, c *Client, answers []asked[entryPage]) {
	owned := make(map[fleet.CellKey]bool)
	for _, r := range o.Cells {
		owned[fleet.CellKey{Pool: r.Pool, Index: r.Cell}] = true
	}
	pair, err := highestPair(ctx, c, answers)
	if err != nil {
		o.TablesError = reason(err)
	}
	if pair != nil {
		for i := range pair.Pools.Pools {
			for _, cell := range table.Cells(&pair.Pools.Pools[i]) {
				if !owned[fleet.CellKey{Pool: cell.Pool, Index: cell.Index}] {
					o.Cells = append(o.Cells, OwnerRow{
						Pool: cell.Pool, Cell: cell.Index, Targets: len(cell.Targets), Floor: cell.Floor,
					})
				}
			}
		}
	}
	slices.SortFunc(o.Cells, func(a, b OwnerRow) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Cell, b.Cell), cmp.Compare(a.Owner, b.Owner))
	})
}

// highestPair reads the tables in force from the entry with the highest revision.
func highestPair(ctx context.Context, c *Client, answers []asked[entryPage]) (*table.Pair, error) {
	at := -1
	for i, a := range answers {
		if a.err == nil && a.value.status.Revision > 0 && (at < 0 || a.value.status.Revision > answers[at].value.status.Revision) {
			at = i
		}
	}
	if at < 0 {
		return nil, errors.New("no entry that answered has tables in force")
	}
	one := *c
	one.Addresses = []Address{answers[at].Address}
	a := ask(ctx, &one, func(ctx context.Context, a Address) (*table.Pair, error) { return readPair(ctx, c, a) })
	return a[0].value, a[0].err
}

// refusedPrefix is the prefix of the names of the counters of refusals.
const refusedPrefix = "refused."

func refusalRows(answers []asked[entryPage]) []RefusalRow {
	byReason := make(map[string]*RefusalRow)
	for _, a := range answers {
		for name, m := range a.value.metrics {
			reason, ok := strings.CutPrefix(name, refusedPrefix)
			if !ok {
				continue
			}
			if byReason[reason] == nil {
				byReason[reason] = &RefusalRow{Reason: pool.Reason(reason), ByEntry: make(map[string]int64)}
			}
			byReason[reason].Total += m.Count
			byReason[reason].ByEntry[string(a.value.status.Entry)] += m.Count
		}
	}
	out := []RefusalRow{}
	for _, r := range byReason {
		out = append(out, *r)
	}
	slices.SortFunc(out, func(a, b RefusalRow) int {
		return cmp.Or(cmp.Compare(b.Total, a.Total), cmp.Compare(a.Reason, b.Reason))
	})
	return out
}

// OK implements Result.
func (o *Overview) OK() bool { return o.Same && len(o.NotAsked) == 0 }

var entryColumns = append(slices.Clone(columnsOf(forceColumns, func(r EntryRow) ForceRow { return r.ForceRow })),
	column[EntryRow]{"DOMAIN", func(r EntryRow) string { return string(r.FailureDomain) }},
	column[EntryRow]{"SEEN BY", func(r EntryRow) string { return strconv.Itoa(r.SeenBy) }},
	column[EntryRow]{"READER", answered(func(r EntryRow) string { return yesNo(r.Reader) })},
	column[EntryRow]{"DOUBTS ITSELF", answered(func(r EntryRow) string { return yesNo(r.RecentlyPaused) })},
	column[EntryRow]{"REJECTED", answered(func(r EntryRow) string { return strconv.Itoa(r.Rejected) })},
	column[EntryRow]{"PLATFORM", answered(platformText)},
	column[EntryRow]{"UP", answered(func(r EntryRow) string {
		return (time.Duration(r.UpSeconds) * time.Second).String()
	})},
)

// columnsOf turns columns of an embedded row into columns of the row that embeds it.
func columnsOf[T, U any](columns []column[U], of func(T) U) []column[T] {
	out := make([]column[T], len(columns))
	for i, c := range columns {
		out[i] = column[T]{c.title, func(row T) string { return c.cell(of(row)) }}
	}
	return out
}

// answered leaves the cell empty for entries that did not answer.
func answered(cell func(EntryRow) string) func(EntryRow) string {
	return func(r EntryRow) string {
		if r.Error != "" {
			return ""
		}
		return cell(r)
	}
}

func platformText(r EntryRow) string {
	text := "not read"
	switch {
	case r.PlatformError != "":
		text = "failing: " + r.PlatformError
	case r.Reader:
		text = "answering"
	}
	if r.Stale > 0 {
		text += fmt.Sprintf(", %d stale answers", r.Stale)
	}
	return text
}

var ownerColumns = []column[OwnerRow]{
	{"POOL", func(r OwnerRow) string { return cellName(fleet.CellKey{Pool: r.Pool, Index: r.Cell}) }},
	{"OWNER", func(r OwnerRow) string { return cmp.Or(r.Owner, "NONE THAT ANSWERED") }},
	{"STANDING", func(r OwnerRow) string {
		if r.Doubtful {
			return r.Ownership + ", doubtful"
		}
		return r.Ownership
	}},
	{"SERVING", ownedOnly(func(r OwnerRow) string { return fmt.Sprintf("%d of %d", r.Serving, r.Targets) })},
	{"FLOOR", func(r OwnerRow) string { return strconv.Itoa(r.Floor) }},
	{"QUEUED", ownedOnly(func(r OwnerRow) string { return strconv.Itoa(r.Queued) })},
	{"IN FLIGHT", ownedOnly(func(r OwnerRow) string { return strconv.Itoa(r.InFlight) })},
	{"RETRY TOKENS", ownedOnly(func(r OwnerRow) string { return decimalText(r.RetryTokens) })},
	{"POISON", ownedOnly(func(r OwnerRow) string { return strconv.Itoa(r.Fingerprints) })},
}

// ownedOnly leaves the cell empty for cells without an owner that answered.
func ownedOnly(cell func(OwnerRow) string) func(OwnerRow) string {
	return func(r OwnerRow) string {
		if r.Owner == "" {
			return ""
		}
		return cell(r)
	}
}

var refusalColumns = []column[RefusalRow]{
	{"REASON", func(r RefusalRow) string { return string(r.Reason) }},
	{"TOTAL", func(r RefusalRow) string { return strconv.FormatInt(r.Total, 10) }},
	{"BY ENTRY", func(r RefusalRow) string {
		var parts []string
		for name, n := range r.ByEntry {
			parts = append(parts, fmt.Sprintf("%s %d", name, n))
		}
		slices.Sort(parts)
		return strings.Join(parts, ", ")
	}},
}

// WriteText implements Result.
func (o *Overview) WriteText(w io.Writer) error {
	sections := []section{
		{"Entries", func(w io.Writer) error { return writeTable(w, o.Entries, "no entry was asked", entryColumns) }},
		{"Owners", func(w io.Writer) error { return writeTable(w, o.Cells, "no pools", ownerColumns) }},
		{"Targets not in service", func(w io.Writer) error {
			return writeTable(w, o.Targets, "none at the entries that answered", targetColumns)
		}},
		{"Refusals since the entries started", func(w io.Writer) error {
			return writeTable(w, o.Refusals, "none at the entries that answered", refusalColumns)
		}},
	}
	if err := writeSections(w, sections); err != nil {
		return err
	}
	warnings := []struct {
		holds bool
		text  string
	}{
		{!o.Same, "THE SAME PAIR IS NOT KNOWN TO BE IN FORCE ON EVERY ENTRY"},
		{len(o.NotAsked) > 0, "LIVE BUT NOT ASKED: " + joinIDs(o.NotAsked)},
		{o.TablesError != "", "POOLS WITHOUT AN OWNER ARE NOT LISTED: " + o.TablesError},
	}
	for _, warning := range warnings {
		if !warning.holds {
			continue
		}
		if _, err := fmt.Fprintln(w, "\n"+warning.text); err != nil {
			return err
		}
	}
	return nil
}
