package table

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
)

// ChangeKind says what happened to a row.
type ChangeKind string

// Kinds of change.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// RowKind is the kind of row that a change is about.
type RowKind string

// Kinds of row.
const (
	RouteRow  RowKind = "route"
	CallerRow RowKind = "account"
	PoolRow   RowKind = "pool"
	TargetRow RowKind = "target"
	// FleetRow stands for the fields of the pools table itself.
	FleetRow RowKind = "fleet"
)

// Change is one difference between two pairs.
type Change struct {
	Kind ChangeKind `json:"kind"`
	Row  RowKind    `json:"row"`
	// Pool is the pool of a target. It is empty for other rows.
	Pool PoolName `json:"pool,omitempty"`
	Name string   `json:"name"`
	// Field, Old and New are set only if Kind is Changed.
	Field string `json:"field,omitempty"`
	Old   string `json:"old,omitempty"`
	New   string `json:"new,omitempty"`
}

// String returns the change as one line.
func (c Change) String() string {
	name := c.Name
	if c.Pool != "" {
		name = string(c.Pool) + "/" + c.Name
	}
	if c.Kind != Changed {
		return fmt.Sprintf("%s %s %s", c.Row, name, c.Kind)
	}
	return fmt.Sprintf("%s %s: %s changed from %s to %s", c.Row, name, c.Field, c.Old, c.New)
}

// Diff returns the changes between two pairs, ordered by kind of row, pool, name and field. A nil pair
// counts as empty. Only the first digits of a token's digest are shown.
func Diff(from, to *Pair) []Change {
	before, after := tablesOf(from), tablesOf(to)
	var changes []Change
	if from != nil && to != nil && before.FleetGroups != after.FleetGroups {
		changes = append(changes, Change{
			Kind: Changed, Row: FleetRow, Field: "fleetGroups",
			Old: fmt.Sprint(before.FleetGroups), New: fmt.Sprint(after.FleetGroups),
		})
	}
	pools := rowDiff[Pool]{kind: PoolRow, fields: poolSchema, name: func(p *Pool) string { return string(p.Name) }}
	pools.diffNested = diffPool
	pools.listNested = listTargets
	routes := rowDiff[Route]{kind: RouteRow, fields: routeSchema, name: func(r *Route) string { return string(r.Name) }}
	accounts := rowDiff[AccountRow]{kind: CallerRow, fields: accountSchema, name: func(a *AccountRow) string { return string(a.Name) }}
	changes = append(changes, pools.diff(before.Pools.Pools, after.Pools.Pools)...)
	changes = append(changes, routes.diff(before.Routes.Routes, after.Routes.Routes)...)
	changes = append(changes, accounts.diff(before.Accounts, after.Accounts)...)
	slices.SortStableFunc(changes, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.Row, b.Row), cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Name, b.Name))
	})
	return changes
}

type tables struct {
	Routes
	Pools
}

func tablesOf(p *Pair) tables {
	if p == nil {
		return tables{}
	}
	return tables{*p.Routes, *p.Pools}
}

// rowDiff compares two lists of rows of type T by name.
type rowDiff[T any] struct {
	kind   RowKind
	pool   PoolName
	fields []field[T]
	name   func(*T) string
	// diffNested returns further changes inside a row that is in both lists, and listNested those inside
	// an added or removed row. Both may be nil.
	diffNested func(from, to *T) []Change
	listNested func(kind ChangeKind, row *T) []Change
}

func (d rowDiff[T]) diff(from, to []T) []Change {
	before := make(map[string]*T, len(from))
	for i := range from {
		before[d.name(&from[i])] = &from[i]
	}
	var changes []Change
	for i := range to {
		row := &to[i]
		name := d.name(row)
		old, ok := before[name]
		delete(before, name)
		if ok {
			changes = append(changes, d.fieldChanges(name, old, row)...)
			continue
		}
		changes = append(changes, d.rowChanges(Added, name, row)...)
	}
	for name, row := range before {
		changes = append(changes, d.rowChanges(Removed, name, row)...)
	}
	return changes
}

func (d rowDiff[T]) rowChanges(kind ChangeKind, name string, row *T) []Change {
	changes := []Change{{Kind: kind, Row: d.kind, Pool: d.pool, Name: name}}
	if d.listNested != nil {
		changes = append(changes, d.listNested(kind, row)...)
	}
	return changes
}

func (d rowDiff[T]) fieldChanges(name string, from, to *T) []Change {
	var changes []Change
	for _, f := range d.fields {
		if f.get == nil {
			continue
		}
		before, after := f.get(from), f.get(to)
		if reflect.DeepEqual(before, after) {
			continue
		}
		changes = append(changes, Change{
			Kind: Changed, Row: d.kind, Pool: d.pool, Name: name, Field: f.name,
			Old: fmt.Sprint(before), New: fmt.Sprint(after),
		})
	}
	if d.diffNested != nil {
		changes = append(changes, d.diffNested(from, to)...)
	}
	return changes
}

// diffPool returns the changes of a pool's policy and targets.
func diffPool(from, to *Pool) []Change {
	policy := rowDiff[Policy]{kind: PoolRow, fields: policySchema}
	changes := policy.fieldChanges(string(to.Name), &from.Policy, &to.Policy)
	return append(changes, targetDiff(to.Name).diff(from.Targets, to.Targets)...)
}

// listTargets returns a change for each target of a pool that was added or removed.
func listTargets(kind ChangeKind, p *Pool) []Change {
	if kind == Added {
		return targetDiff(p.Name).diff(nil, p.Targets)
	}
	return targetDiff(p.Name).diff(p.Targets, nil)
}

func targetDiff(pool PoolName) rowDiff[Target] {
	return rowDiff[Target]{
		kind: TargetRow, pool: pool, fields: targetSchema,
		name: func(t *Target) string { return string(t.ID) },
	}
}
