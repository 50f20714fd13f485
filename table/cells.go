package table

import (
	"maps"
	"slices"
)

// Cell is a part of a pool that one entry owns.
type Cell struct {
	Pool  PoolName
	Index int
	// Targets keep the order of the table. A cell of a pool with several cells may be empty.
	Targets []Target
	// Floor and QueueLimit are the cell's share of the pool's, in proportion to its targets and
	// rounded up, so the shares add up to at least the pool's.
	Floor      int
	QueueLimit int
}

// CellCount returns the number of cells of a pool: one for each of its cell domains, or else
// ceil(targets / cell size), at least 1.
func CellCount(p *Pool) int {
	if n := len(p.CellDomains); n > 0 {
		return n
	}
	size := p.CellSize
	if size <= 0 {
		size = DefaultCellSize
	}
	return max(1, (len(p.Targets)+size-1)/size)
}

// CellIndex returns the index of the cell that holds a target of the pool. Rendezvous hashing moves only
// 1 in n targets when the number of cells becomes n. A target of a failure domain without a cell may be in any cell.
func CellIndex(p *Pool, t Target) int {
	key := hashNames(string(p.Name), string(t.ID))
	if !slices.Contains(p.CellDomains, t.FailureDomain) {
		return rendezvous(key, CellCount(p))
	}
	return rendezvousAmong(key, len(p.CellDomains), func(i int) bool { return p.CellDomains[i] == t.FailureDomain })
}

// Cells partitions a pool's targets into its cells. Cells hold the pool's cell size on average.
func Cells(p *Pool) []Cell {
	cells := make([]Cell, CellCount(p))
	for i := range cells {
		cells[i] = Cell{Pool: p.Name, Index: i}
	}
	for _, t := range p.Targets {
		c := &cells[CellIndex(p, t)]
		c.Targets = append(c.Targets, t)
	}
	for i := range cells {
		n := len(cells[i].Targets)
		cells[i].Floor = ceilProportion(p.Floor, n, len(p.Targets))
		cells[i].QueueLimit = ceilProportion(p.Policy.QueueLimit, n, len(p.Targets))
	}
	return cells
}

// targetsPerDomainCell is how many targets of all pools the cells of one index hold at most on average: with 4 slots in use
// for 0.35 s a request at most 1,460 requests a second, half of what a core passes on (docs/CAPACITY.md).
const targetsPerDomainCell = 128

// CellDomains divides the targets of several pools into cells by failure domain, for pools whose targets are too many
// for one entry; nil if one entry owns them all.
func CellDomains(pools map[PoolName][]Target) []FailureDomain {
	counts := make(map[FailureDomain]int)
	total := 0
	for _, targets := range pools {
		total += len(targets)
		for _, t := range targets {
			counts[t.FailureDomain]++
		}
	}
	if total <= DefaultCellSize {
		return nil
	}
	var domains []FailureDomain
	for _, d := range slices.Sorted(maps.Keys(counts)) {
		for range (counts[d] + targetsPerDomainCell - 1) / targetsPerDomainCell {
			domains = append(domains, d)
		}
	}
	return domains
}

// ceilProportion returns total*part/whole, rounded up.
func ceilProportion(total, part, whole int) int {
	if whole == 0 {
		return 0
	}
	return (total*part + whole - 1) / whole
}
