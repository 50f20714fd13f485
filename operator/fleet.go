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

// EntryRow is one entry in the overview of the fleet.
type EntryRow struct {
	ActivePairRow
	FailureDomain table.FailureDomain `json:"failureDomain,omitempty"`
	// SeenLiveBy counts the other entries that responded and count this one as live. If it is above 0 for an
	// entry that can't be reached, the entry still serves and only its operators' endpoint fails.
	SeenLiveBy int `json:"seenBy"`
	// Reader says that the entry reads the platform and got a response within the readerFreshMs of its settings,
	// 10 s by default.
	Reader bool `json:"reader"`
	// RecentlyPaused says that the process of the entry was suspended or its tick was delayed a short time ago.
	RecentlyPaused bool `json:"selfDoubt"`
	// PlatformError is the error of the last call to the platform if that failed and the entry makes such calls.
	PlatformError string `json:"platformError,omitempty"`
	// PlatformLastResponse is when the platform last gave a usable response; the zero time means never.
	PlatformLastResponse time.Time `json:"platformSeen,omitzero"`
	// StaleResponses counts responses of the platform that were ignored because of their lower revision.
	StaleResponses uint64  `json:"stale"`
	UpSeconds      float64 `json:"upSeconds"`
}

// CellRow is one cell in the overview of the fleet. A cell that two entries claim has two rows.
type CellRow struct {
	Pool table.PoolName `json:"pool"`
	Cell int            `json:"cell"`
	// Owner is empty if no entry that responded owns the cell.
	Owner     string `json:"owner,omitempty"`
	Ownership string `json:"standing,omitempty"`
	// DetectionSuspended says that the owner has suspended outlier detection and ejects no target.
	DetectionSuspended bool `json:"doubtful"`
	Targets            int  `json:"targets"`
	// Serving counts the targets in state pool.TargetServing.
	Serving     int     `json:"serving"`
	Floor       int     `json:"floor"`
	Queued      int     `json:"queued"`
	InFlight    int     `json:"inFlight"`
	RetryTokens float64 `json:"retryTokens"`
	// PoisonFingerprints counts the fingerprints of suspected and refused poison requests.
	PoisonFingerprints int `json:"fingerprints"`
}

// RefusalRow counts the refusals for one reason since the entries started.
type RefusalRow struct {
	Reason pool.Reason `json:"reason"`
	Total  int64       `json:"total"`
	// ByEntry omits entries that refused nothing for this reason.
	ByEntry map[string]int64 `json:"byEntry"`
}

// Overview is the overview of the fleet.
type Overview struct {
	Entries []EntryRow `json:"entries"`
	// SamePair says that every entry of the addresses was reached and has the same active pair.
	SamePair bool      `json:"same"`
	Cells    []CellRow `json:"cells"`
	// Targets are those that are not in service.
	Targets  []TargetRow  `json:"targets"`
	Refusals []RefusalRow `json:"refusals"`
	// NotQueried lists entries that other entries count as live but that are not among the addresses.
	NotQueried []fleet.EntryID `json:"notAsked"`
	// TablesError says why the list of all pools could not be read. Cells then lacks the cells without an owner.
	TablesError string `json:"tablesError,omitempty"`
}

// entryDetails holds everything that the overview needs from one entry.
type entryDetails struct {
	entryCells
	members []fleet.Member
	// metrics holds the counts by name. The count of a metric that has none, such as a gauge, is 0.
	metrics map[string]struct{ Count int64 }
}

func readDetails(ctx context.Context, c *Client, a Address) (entryDetails, error) {
	var out entryDetails
	var err error
	if out.entryCells, err = readCells(ctx, c, a); err != nil {
		return out, err
	}
	if out.members, err = getJSON[[]fleet.Member](ctx, c, a, "/v1/members", nil); err != nil {
		return out, err
	}
	out.metrics, err = getJSON[map[string]struct{ Count int64 }](ctx, c, a, "/metrics", nil)
	return out, err
}

// FetchOverview queries every entry and builds the overview of the fleet.
func FetchOverview(ctx context.Context, c *Client) *Overview {
	responses := queryAll(ctx, c, func(ctx context.Context, a Address) (entryDetails, error) { return readDetails(ctx, c, a) })
	out := &Overview{Cells: []CellRow{}, Targets: []TargetRow{}, NotQueried: []fleet.EntryID{}}
	queried := make(map[fleet.EntryID]bool)
	seen := make(map[string]int)
	for _, a := range responses {
		queried[cmp.Or(a.Entry, a.value.status.Entry)] = true
		for _, m := range a.value.members {
			if m.Live && m.ID != a.value.status.Entry {
				seen[string(m.ID)]++
			}
		}
	}
	out.SamePair = true
	for _, a := range responses {
		row := entryRow(a)
		row.SeenLiveBy = seen[row.Entry]
		out.Entries = append(out.Entries, row)
		first := out.Entries[0]
		out.SamePair = out.SamePair && row.Error == "" && row.Revision != 0 && row.Digest == first.Digest && row.Revision == first.Revision
		out.Targets = append(out.Targets, targetRows(a.value.entryCells)...)
		out.Cells = append(out.Cells, cellRows(a.value.entryCells)...)
		out.NotQueried = append(out.NotQueried, liveNotQueried(a.value.members, queried)...)
	}
	sortTargets(out.Targets)
	out.Refusals = refusalRows(responses)
	out.addUnowned(ctx, c, responses)
	return out
}

func entryRow(a entryResponse[entryDetails]) EntryRow {
	s := a.value.status
	row := EntryRow{ActivePairRow: activePairRow(entryResponse[entry.Status]{Address: a.Address, value: s, err: a.err})}
	if a.err != nil {
		return row
	}
	row.FailureDomain, row.Reader, row.RecentlyPaused, row.UpSeconds = s.FailureDomain, s.Reader, s.RecentlyPaused, s.UpSeconds
	row.StaleResponses, row.PlatformLastResponse = s.Platform.Stale, s.Platform.LastResponse
	if s.Platform.Active {
		row.PlatformError = s.Platform.LastError
	}
	return row
}

// cellRows returns the cells that the entry owns in its own view.
func cellRows(e entryCells) []CellRow {
	var out []CellRow
	for _, c := range e.cells {
		if !isOwned(c) {
			continue
		}
		row := CellRow{
			Pool: c.Cell.Pool, Cell: c.Cell.Index, Owner: string(e.status.Entry), Ownership: c.Ownership,
			DetectionSuspended: c.Report.DetectionSuspended, Targets: len(c.Report.Targets), Floor: c.Report.Floor,
			Queued: c.Report.Queued, InFlight: c.Report.InFlight, RetryTokens: c.Report.RetryTokens,
			PoisonFingerprints: c.Report.Fingerprints,
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

// addUnowned adds the cells of the active tables that no responding entry owns.
func (o *Overview) addUnowned(ctx context.Context, c *Client, responses []entryResponse[entryDetails]) {
	owned := make(map[fleet.CellKey]bool)
	for _, r := range o.Cells {
		owned[fleet.CellKey{Pool: r.Pool, Index: r.Cell}] = true
	}
	pair, err := readNewestPair(ctx, c, responses)
	if err != nil {
		o.TablesError = errorText(err)
	}
	if pair != nil {
		for i := range pair.Pools.Pools {
			for _, cell := range table.Cells(&pair.Pools.Pools[i]) {
				if !owned[fleet.CellKey{Pool: cell.Pool, Index: cell.Index}] {
					o.Cells = append(o.Cells, CellRow{
						Pool: cell.Pool, Cell: cell.Index, Targets: len(cell.Targets), Floor: cell.Floor,
					})
				}
			}
		}
	}
	slices.SortFunc(o.Cells, func(a, b CellRow) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Cell, b.Cell), cmp.Compare(a.Owner, b.Owner))
	})
}

// readNewestPair reads the active pair of the entry with the highest revision.
func readNewestPair(ctx context.Context, c *Client, responses []entryResponse[entryDetails]) (*table.Pair, error) {
	newest := -1
	for i, a := range responses {
		if a.err == nil && a.value.status.Revision > 0 && (newest < 0 || a.value.status.Revision > responses[newest].value.status.Revision) {
			newest = i
		}
	}
	if newest < 0 {
		return nil, errors.New("no entry that answered has tables in force")
	}
	single := *c
	single.Addresses = []Address{responses[newest].Address}
	a := queryAll(ctx, &single, func(ctx context.Context, a Address) (*table.Pair, error) { return readPair(ctx, c, a) })
	return a[0].value, a[0].err
}

// refusedPrefix starts the names of the metrics that count refusals; the reason follows.
const refusedPrefix = "refused."

func refusalRows(responses []entryResponse[entryDetails]) []RefusalRow {
	byReason := make(map[string]*RefusalRow)
	for _, a := range responses {
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
func (o *Overview) OK() bool { return o.SamePair && len(o.NotQueried) == 0 }

var entryColumns = append(slices.Clone(embeddedColumns(activePairColumns, func(r EntryRow) ActivePairRow { return r.ActivePairRow })),
	column[EntryRow]{"DOMAIN", func(r EntryRow) string { return string(r.FailureDomain) }},
	column[EntryRow]{"SEEN BY", func(r EntryRow) string { return strconv.Itoa(r.SeenLiveBy) }},
	column[EntryRow]{"READER", ifReachable(func(r EntryRow) string { return yesNo(r.Reader) })},
	column[EntryRow]{"DOUBTS ITSELF", ifReachable(func(r EntryRow) string { return yesNo(r.RecentlyPaused) })},
	column[EntryRow]{"REJECTED", ifReachable(func(r EntryRow) string { return strconv.Itoa(r.Rejected) })},
	column[EntryRow]{"PLATFORM", ifReachable(platformText)},
	column[EntryRow]{"UP", ifReachable(func(r EntryRow) string {
		return (time.Duration(r.UpSeconds) * time.Second).String()
	})},
)

// embeddedColumns converts the columns of an embedded row to columns of the row that embeds it.
func embeddedColumns[T, U any](columns []column[U], embedded func(T) U) []column[T] {
	out := make([]column[T], len(columns))
	for i, c := range columns {
		out[i] = column[T]{c.title, func(row T) string { return c.value(embedded(row)) }}
	}
	return out
}

// ifReachable returns the function with an empty result for entries that could not be queried.
func ifReachable(value func(EntryRow) string) func(EntryRow) string {
	return func(r EntryRow) string {
		if r.Error != "" {
			return ""
		}
		return value(r)
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
	if r.StaleResponses > 0 {
		text += fmt.Sprintf(", %d stale answers", r.StaleResponses)
	}
	return text
}

var cellColumns = []column[CellRow]{
	{"POOL", func(r CellRow) string { return cellName(fleet.CellKey{Pool: r.Pool, Index: r.Cell}) }},
	{"OWNER", func(r CellRow) string { return cmp.Or(r.Owner, "NONE THAT ANSWERED") }},
	{"STANDING", func(r CellRow) string {
		if r.DetectionSuspended {
			return r.Ownership + ", doubtful"
		}
		return r.Ownership
	}},
	{"SERVING", ifOwned(func(r CellRow) string { return fmt.Sprintf("%d of %d", r.Serving, r.Targets) })},
	{"FLOOR", func(r CellRow) string { return strconv.Itoa(r.Floor) }},
	{"QUEUED", ifOwned(func(r CellRow) string { return strconv.Itoa(r.Queued) })},
	{"IN FLIGHT", ifOwned(func(r CellRow) string { return strconv.Itoa(r.InFlight) })},
	{"RETRY TOKENS", ifOwned(func(r CellRow) string { return decimalText(r.RetryTokens) })},
	{"POISON", ifOwned(func(r CellRow) string { return strconv.Itoa(r.PoisonFingerprints) })},
}

// ifOwned returns the function with an empty result for cells that no responding entry owns.
func ifOwned(value func(CellRow) string) func(CellRow) string {
	return func(r CellRow) string {
		if r.Owner == "" {
			return ""
		}
		return value(r)
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
		{"Owners", func(w io.Writer) error { return writeTable(w, o.Cells, "no pools", cellColumns) }},
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
		{!o.SamePair, "THE SAME PAIR IS NOT KNOWN TO BE IN FORCE ON EVERY ENTRY"},
		{len(o.NotQueried) > 0, "LIVE BUT NOT ASKED: " + joinIDs(o.NotQueried)},
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
