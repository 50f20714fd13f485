package operator

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/bilberrywood/bilberrywood/entry"
	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/pool"
	"github.com/bilberrywood/bilberrywood/table"
)

// Guards against mistaking a view of a part of the fleet for a view of all of it. Every result has to show an
// entry that refuses connections, never responds, or responds under another name.
func TestUnreachableIsShown(t *testing.T) {
	dir := t.TempDir()
	is.New(t).NoErr(writeFiles(dir, map[string]string{"routes.json": routesText, "pools.json": poolsText}))
	commands := map[string]func(context.Context, *Client) Result{
		"fleet":     func(ctx context.Context, c *Client) Result { return FetchOverview(ctx, c) },
		"force":     func(ctx context.Context, c *Client) Result { return ListActivePairs(ctx, c) },
		"ejections": func(ctx context.Context, c *Client) Result { return ListEjections(ctx, c) },
		"rejected":  func(ctx context.Context, c *Client) Result { return ListRejections(ctx, c) },
		"explain":   func(ctx context.Context, c *Client) Result { return Explain(ctx, c, ExplainRequest{Path: "/lookup"}) },
		"audit": func(ctx context.Context, c *Client) Result {
			r, err := Audit(ctx, c, dir+"/routes.json", dir+"/pools.json")
			if err != nil {
				return &AuditResult{}
			}
			return r
		},
	}
	faults := []struct{ name, address, reason string }{
		{"none", "e2@good2", ""},
		{"refuses", "e2@nobody", "connection refused"},
		{"hangs", "e2@hanging", "no answer in time"},
		{"other entry", "e2@other", "answers as entry e9"},
	}
	for command, run := range commands {
		for _, f := range faults {
			t.Run(command+"/"+f.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					n := fakeNetwork{"good": newFakeEntry("e1"), "good2": newFakeEntry("e2"), "hanging": {hang: true}, "other": newFakeEntry("e9")}
					r := run(t.Context(), n.client("e1@good", f.address))
					text := renderText(r)
					is.Equal(r.OK(), f.reason == "")
					is.True(strings.Contains(text, f.reason))
					is.Equal(strings.Contains(text, "UNREACHABLE"), f.reason != "")
					raw, err := json.Marshal(r)
					is.NoErr(err)
					is.True(strings.Contains(string(raw), f.reason)) // The JSON form shows it as well.
				})
			})
		}
	}
}

// Guards against reporting the same pair everywhere although an entry has other active tables, or none.
func TestListActivePairsComparesEntries(t *testing.T) {
	tests := []struct {
		name   string
		change func(*fakeEntry)
		same   bool
	}{
		{"same", func(*fakeEntry) {}, true},
		{"other revision", func(f *fakeEntry) { f.status.Revision = 6 }, false},
		{"other digest", func(f *fakeEntry) { f.status.Digest++ }, false},
		{"no tables", func(f *fakeEntry) { f.status.Revision, f.status.Digest = 0, 0 }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			n := fakeNetwork{"a": newFakeEntry("e1"), "b": newFakeEntry("e2")}
			test.change(n["b"])
			is.Equal(ListActivePairs(t.Context(), n.client("a", "b")).SamePair, test.same)
			is.Equal(FetchOverview(t.Context(), n.client("a", "b")).SamePair, test.same)
		})
	}
}

// Guards against an audit that reports a match although an entry has other active tables, and against one that
// reports a mismatch because of comments, which change no behavior.
func TestAudit(t *testing.T) {
	otherFloor := strings.Replace(poolsText, `"floor": 1`, `"floor": 0`, 1)
	tests := []struct {
		name   string
		change func(*fakeEntry)
		match  bool
		text   string
	}{
		{"same", func(*fakeEntry) {}, true, "MATCH (published"},
		{"comments", func(f *fakeEntry) { f.setPools(poolsText + "// as of today\n") }, true, "comments or layout differ"},
		{"other field", func(f *fakeEntry) { f.setPools(otherFloor) }, false, "e2: pool info: floor changed from 1 to 0"},
		{"invalid", func(f *fakeEntry) { f.setPools("{") }, false, "checks refuse"},
		{"false digest", func(f *fakeEntry) { f.pools = otherFloor }, false, "reports digest"},
		{"no tables", func(f *fakeEntry) { f.status.Revision = 0 }, false, "no tables are in force"},
		{"changing", func(f *fakeEntry) { f.flapping = true }, false, "changed while they were read"},
		{"not asked", func(f *fakeEntry) {
			f.members = []fleet.Member{{ID: "e1", Live: true}, {ID: "e3", Live: true}, {ID: "e4"}}
		}, false, "e3: live but not asked"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			dir := t.TempDir()
			is.NoErr(writeFiles(dir, map[string]string{"routes.json": routesText, "pools.json": poolsText}))
			n := fakeNetwork{"a": newFakeEntry("e1"), "b": newFakeEntry("e2")}
			test.change(n["b"])
			r, err := Audit(t.Context(), n.client("a", "b"), dir+"/routes.json", dir+"/pools.json")
			is.NoErr(err)
			is.Equal(r.OK(), test.match)
			text := renderText(r)
			is.True(strings.Contains(text, test.text))
			is.Equal(strings.Contains(text, "MISMATCH"), !test.match)
			is.Equal(strings.Contains(text, "layout differ"), test.name == "comments")
			is.True(!strings.Contains(text, "e4")) // An entry that is not live need not be queried.
		})
	}
}

// setPools makes another pools table the active one, and the reported digest the one of its text.
func (f *fakeEntry) setPools(text string) {
	f.pools = text
	f.status.Digest = table.Digest(map[string][]byte{table.RoutesKey: []byte(f.routes), table.PoolsKey: []byte(text)})
}

// Guards against an overview that omits a cell with no owner or one of two owners, and against refusals of an
// entry that are missing from the total.
func TestFleetOverview(t *testing.T) {
	tests := []struct {
		name   string
		first  string
		second string
		owners []string
	}{
		{"one", "sole", "notOwner", []string{"e1"}},
		{"two", "contested", "contested", []string{"e1", "e2"}},
		{"none", "notOwner", "notOwner", []string{""}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			n := fakeNetwork{"a": newFakeEntry("e1"), "b": newFakeEntry("e2")}
			n["a"].cells[0].Ownership, n["b"].cells[0].Ownership = test.first, test.second
			n["b"].metrics = `{"refused.noRoute": {"count": 3}, "refused.poison": {"count": 9}}`
			n["a"].members = []fleet.Member{{ID: "e1", Live: true}, {ID: "e2", Live: true}}
			r := FetchOverview(t.Context(), n.client("a", "b"))
			var owners []string
			for _, c := range r.Cells {
				owners = append(owners, c.Owner)
			}
			is.Equal(owners, test.owners)
			is.Equal(r.Refusals, []RefusalRow{
				{Reason: "poison", Total: 9, ByEntry: map[string]int64{"e2": 9}},
				{Reason: "noRoute", Total: 5, ByEntry: map[string]int64{"e1": 2, "e2": 3}},
			})
			is.Equal(r.Entries[0].SeenLiveBy, 0)
			is.Equal(r.Entries[1].SeenLiveBy, 1)
			is.Equal(strings.Contains(renderText(r), "NONE THAT ANSWERED"), test.name == "none")
		})
	}
}

// Guards against wrong conversion of the times in a cell's report, which count from the start of the entry, and
// against listing targets that are in service.
func TestEjections(t *testing.T) {
	is := is.New(t)
	n := fakeNetwork{"a": newFakeEntry("e1")}
	n["a"].cells = []entry.CellStatus{{Cell: fleet.CellKey{Pool: "info"}, Ownership: "sole", Report: pool.Report{
		Targets: []pool.TargetReport{
			{ID: "info-2", State: pool.TargetAvoided, Reason: pool.ReasonSlow, EjectionBlockedBy: pool.ReasonFloor, Since: pool.Time(time.Minute)},
			{ID: "info-1", State: pool.TargetEjected, Reason: pool.ReasonFailures, Evidence: 12, NextTrial: pool.Time(time.Hour)},
			{ID: "info-3", State: pool.TargetServing},
		},
	}}}
	r := ListEjections(t.Context(), n.client("a"))
	is.Equal(len(r.Targets), 2)
	is.Equal(r.Targets[0].NextTrial, started.Add(time.Hour))
	is.Equal(r.Targets[1].Since, started.Add(time.Minute))
	is.True(r.Targets[1].NextTrial.IsZero())
	is.True(strings.Contains(renderText(r), "slow (not ejected: floor)"))
}

// Guards against an explanation that hides differences between the decisions of entries.
func TestExplain(t *testing.T) {
	tests := []struct {
		name   string
		change func(*entry.Explanation)
		same   bool
		text   string
	}{
		{"same", func(*entry.Explanation) {}, true, "lookup"},
		{"other backups", func(x *entry.Explanation) { x.Cells[0].Backups = []fleet.EntryID{"e2"} }, true, "e2"},
		{"other owner", func(x *entry.Explanation) { x.Cells[0].Owner = "e2" }, false, "DO NOT AGREE"},
		{"other revision", func(x *entry.Explanation) { x.Revision++ }, false, "DO NOT AGREE"},
		{"no owner", func(x *entry.Explanation) { x.Cells[0].Owner = "" }, false, "none: placed by the asked entry"},
		{"refused", func(x *entry.Explanation) { *x = entry.Explanation{Refused: "no route", Revision: 7} }, false, "REFUSED: no route"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			n := fakeNetwork{"a": newFakeEntry("e1"), "b": newFakeEntry("e2")}
			test.change(&n["b"].explanation)
			r := Explain(t.Context(), n.client("a", "b"), ExplainRequest{Path: "/lookup"})
			is.Equal(r.OK(), test.same)
			is.True(strings.Contains(renderText(r), test.text))
		})
	}
}
