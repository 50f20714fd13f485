package operator

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/bilberrywood/bilberrywood/entry"
	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/pool"
	"github.com/bilberrywood/bilberrywood/table"
)

// TargetRow is a target that an entry does not use as usual.
type TargetRow struct {
	Pool   table.PoolName   `json:"pool"`
	Cell   int              `json:"cell"`
	Target table.TargetID   `json:"target"`
	State  pool.TargetState `json:"state"`
	Reason pool.Reason      `json:"reason"`
	// Blocked says why a target with enough evidence is not ejected.
	Blocked pool.Reason `json:"blocked,omitempty"`
	// Entry is who sees the target so. Standing is its standing for the cell: only a sole owner ejects.
	Entry     string `json:"entry"`
	Ownership string `json:"standing"`
	// Evidence is compared with Avoid and Threshold; all are sums of log-likelihood ratios.
	Evidence  float64 `json:"evidence"`
	Avoid     float64 `json:"avoid"`
	Threshold float64 `json:"threshold"`
	// Samples counts the attempts that the evidence is drawn from.
	Samples      int     `json:"samples"`
	FailureRatio float64 `json:"failureRatio"`
	// Since and NextTrial are by the entry's clock; NextTrial is the zero time if none is due.
	Since     time.Time `json:"since,omitzero"`
	NextTrial time.Time `json:"nextTrial,omitzero"`
}

// Ejections are the targets that are not in ordinary use.
type Ejections struct {
	Targets     []TargetRow  `json:"targets"`
	Unreachable []EntryError `json:"unreachable"`
}

// entryCells is what one entry says of itself and of its cells.
type entryCells struct {
	status entry.Status
	cells  []entry.CellStatus
}

func readCells(ctx context.Context, c *Client, a Address) (entryCells, error) {
	var out entryCells
	var err error
	if out.status, err = readStatus(ctx, c, a); err != nil {
		return out, err
	}
	out.cells, err = get[[]entry.CellStatus](ctx, c, a, "/v1/cells", nil)
	return out, err
}

// FindEjections asks every entry for the targets that it does not use as usual. A target is named once
// for each entry that places requests at it.
func FindEjections(ctx context.Context, c *Client) *Ejections {
	answers := ask(ctx, c, func(ctx context.Context, a Address) (entryCells, error) { return readCells(ctx, c, a) })
	out := &Ejections{Targets: []TargetRow{}, Unreachable: unreachable(answers)}
	for _, a := range answers {
		if a.err == nil {
			out.Targets = append(out.Targets, targetRows(a.value)...)
		}
	}
	sortTargets(out.Targets)
	return out
}

func sortTargets(rows []TargetRow) {
	slices.SortFunc(rows, func(a, b TargetRow) int {
		return slices.Compare(
			[]string{string(a.Pool), string(a.Target), a.Entry},
			[]string{string(b.Pool), string(b.Target), b.Entry})
	})
}

// targetRows returns the rows of an entry's targets that are not serving.
func targetRows(e entryCells) []TargetRow {
	var out []TargetRow
	for _, c := range e.cells {
		for _, t := range c.Report.Targets {
			if t.State == pool.TargetServing {
				continue
			}
			out = append(out, TargetRow{
				Pool: c.Cell.Pool, Cell: c.Cell.Index, Target: t.ID, State: t.State, Reason: t.Reason,
				Blocked: t.EjectionBlockedBy, Entry: string(e.status.Entry), Ownership: c.Ownership, Evidence: t.Evidence,
				Avoid: t.AvoidThreshold, Threshold: t.EjectThreshold, Samples: t.Samples, FailureRatio: t.FailureRatio,
				Since: e.at(t.Since), NextTrial: e.due(t.NextTrial),
			})
		}
	}
	return out
}

// at turns a time of an entry's report into a point in time by the entry's clock.
func (e entryCells) at(t pool.Time) time.Time { return e.status.Started.Add(time.Duration(t)) }

// due is at for times that are 0 if there is none.
func (e entryCells) due(t pool.Time) time.Time {
	if t == 0 {
		return time.Time{}
	}
	return e.at(t)
}

// OK implements Result. Targets out of use are no failure of the command.
func (e *Ejections) OK() bool { return len(e.Unreachable) == 0 }

var targetColumns = []column[TargetRow]{
	{"POOL", func(r TargetRow) string { return string(r.Pool) }},
	{"TARGET", func(r TargetRow) string { return string(r.Target) }},
	{"STATE", func(r TargetRow) string { return string(r.State) }},
	{"REASON", func(r TargetRow) string {
		if r.Blocked == "" {
			return string(r.Reason)
		}
		return fmt.Sprintf("%s (not ejected: %s)", r.Reason, r.Blocked)
	}},
	{"EVIDENCE", func(r TargetRow) string { return decimalText(r.Evidence) }},
	{"AVOID AT", func(r TargetRow) string { return decimalText(r.Avoid) }},
	{"EJECT AT", func(r TargetRow) string { return decimalText(r.Threshold) }},
	{"SAMPLES", func(r TargetRow) string { return fmt.Sprint(r.Samples) }},
	{"SEEN BY", func(r TargetRow) string { return r.Entry + " (" + r.Ownership + ")" }},
	{"SINCE", func(r TargetRow) string { return timeText(r.Since) }},
	{"NEXT TRIAL", func(r TargetRow) string { return timeText(r.NextTrial) }},
}

// WriteText implements Result.
func (e *Ejections) WriteText(w io.Writer) error {
	if err := writeTable(w, e.Targets, "all targets are in service at the entries that answered", targetColumns); err != nil {
		return err
	}
	return writeUnreachable(w, e.Unreachable)
}

// owned says that the entry owns the cell in its own view.
func owned(c entry.CellStatus) bool { return c.Ownership != "" && c.Ownership != notOwnerName }

// notOwnerName is how entries write the standing of an entry that does not own a cell.
const notOwnerName = "notOwner"

// cellName returns the pool, with the number of the cell if it is not the first.
func cellName(k fleet.CellKey) string {
	if k.Index == 0 {
		return string(k.Pool)
	}
	return strings.Join([]string{string(k.Pool), fmt.Sprint(k.Index)}, "/")
}
