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

// TargetRow is a target that is not in service at one entry.
type TargetRow struct {
	Pool   table.PoolName   `json:"pool"`
	Cell   int              `json:"cell"`
	Target table.TargetID   `json:"target"`
	State  pool.TargetState `json:"state"`
	Reason pool.Reason      `json:"reason"`
	// EjectionBlockedBy says why a target with enough evidence is not ejected.
	EjectionBlockedBy pool.Reason `json:"blocked,omitempty"`
	// Entry is the entry that reports the target.
	Entry string `json:"entry"`
	// Ownership is the entry's ownership of the cell. Only an exclusive owner ejects targets.
	Ownership string `json:"standing"`
	// Evidence is compared with AvoidThreshold and EjectThreshold. All three are sums of log-likelihood ratios.
	Evidence       float64 `json:"evidence"`
	AvoidThreshold float64 `json:"avoid"`
	EjectThreshold float64 `json:"threshold"`
	// Samples counts the attempts that the evidence is based on.
	Samples      int     `json:"samples"`
	FailureRatio float64 `json:"failureRatio"`
	// Since and NextTrial are by the entry's clock. NextTrial is the zero time if no trial is scheduled.
	Since     time.Time `json:"since,omitzero"`
	NextTrial time.Time `json:"nextTrial,omitzero"`
}

// Ejections lists the targets that are not in service.
type Ejections struct {
	Targets     []TargetRow  `json:"targets"`
	Unreachable []EntryError `json:"unreachable"`
}

// entryCells holds the status of one entry and the reports of its cells.
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
	out.cells, err = getJSON[[]entry.CellStatus](ctx, c, a, "/v1/cells", nil)
	return out, err
}

// ListEjections queries every entry for the targets that are not in service. A target is listed once for
// each entry that reports it.
func ListEjections(ctx context.Context, c *Client) *Ejections {
	responses := queryAll(ctx, c, func(ctx context.Context, a Address) (entryCells, error) { return readCells(ctx, c, a) })
	out := &Ejections{Targets: []TargetRow{}, Unreachable: unreachableEntries(responses)}
	for _, a := range responses {
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

// targetRows returns a row for each target of the entry's cells that is not in state TargetServing.
func targetRows(e entryCells) []TargetRow {
	var out []TargetRow
	for _, c := range e.cells {
		for _, t := range c.Report.Targets {
			if t.State == pool.TargetServing {
				continue
			}
			out = append(out, TargetRow{
				Pool: c.Cell.Pool, Cell: c.Cell.Index, Target: t.ID, State: t.State, Reason: t.Reason,
				EjectionBlockedBy: t.EjectionBlockedBy, Entry: string(e.status.Entry), Ownership: c.Ownership, Evidence: t.Evidence,
				AvoidThreshold: t.AvoidThreshold, EjectThreshold: t.EjectThreshold, Samples: t.Samples, FailureRatio: t.FailureRatio,
				Since: e.wallTime(t.Since), NextTrial: e.optionalWallTime(t.NextTrial),
			})
		}
	}
	return out
}

// wallTime converts a time of a cell's report, which counts from the start of the entry, to the entry's clock.
func (e entryCells) wallTime(t pool.Time) time.Time { return e.status.Started.Add(time.Duration(t)) }

// optionalWallTime is wallTime with the zero time for 0.
func (e entryCells) optionalWallTime(t pool.Time) time.Time {
	if t == 0 {
		return time.Time{}
	}
	return e.wallTime(t)
}

// OK implements Result. The command does not fail because targets are out of service.
func (e *Ejections) OK() bool { return len(e.Unreachable) == 0 }

var targetColumns = []column[TargetRow]{
	{"POOL", func(r TargetRow) string { return string(r.Pool) }},
	{"TARGET", func(r TargetRow) string { return string(r.Target) }},
	{"STATE", func(r TargetRow) string { return string(r.State) }},
	{"REASON", func(r TargetRow) string {
		if r.EjectionBlockedBy == "" {
			return string(r.Reason)
		}
		return fmt.Sprintf("%s (not ejected: %s)", r.Reason, r.EjectionBlockedBy)
	}},
	{"EVIDENCE", func(r TargetRow) string { return decimalText(r.Evidence) }},
	{"AVOID AT", func(r TargetRow) string { return decimalText(r.AvoidThreshold) }},
	{"EJECT AT", func(r TargetRow) string { return decimalText(r.EjectThreshold) }},
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

// isOwned reports whether the entry that reports the cell owns it in its own view.
func isOwned(c entry.CellStatus) bool { return c.Ownership != "" && c.Ownership != notOwnerText }

// notOwnerText is the ownership that an entry reports for a cell that it does not own.
const notOwnerText = "notOwner"

// cellName returns the name of the pool, followed by the index of the cell unless it is 0.
func cellName(k fleet.CellKey) string {
	if k.Index == 0 {
		return string(k.Pool)
	}
	return strings.Join([]string{string(k.Pool), fmt.Sprint(k.Index)}, "/")
}
