package table

import (
	"maps"
	"slices"
)

// Cell is a part of a pool that one entry owns.
type Cell struct {
	Pool  PoolName
	Index int
	// Targets are in the order of the table. If a pool has several cells, some may be empty.
	Targets []Target
	// Floor and QueueLimit are the cell's part of the pool's values, in proportion to its targets. They
	// are rounded up, so that their sum over the cells is at least the pool's value.
	Floor      int
	QueueLimit int
}

// CellCount returns the number of cells of a pool: one for each of its CellDomains, or ceil(targets /
// CellSize) if it has none, at least 1.
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

// CellIndex returns the index of the cell that holds a target of the pool. When the number of cells
// grows to n, rendezvous hashing moves only 1 in n targets. A target whose failure domain has no cell
// may be in any cell.
func CellIndex(p *Pool, t Target) int {
	key := hashNames(string(p.Name), string(t.ID))
	if !slices.Contains(p.CellDomains, t.FailureDomain) {
		return rendezvous(key, CellCount(p))
	}
	return rendezvousAmong(key, len(p.CellDomains), func(i int) bool { return p.CellDomains[i] == t.FailureDomain })
}

// Cells partitions a pool's targets into its cells. A cell holds CellSize targets on average.
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

// targetsPerDomainCell is the maximum mean number of targets, over all pools, in the cells with the same
// index. With 4 slots per target and 0.35 s per request they serve at most 1,460 requests per second,
// half of what one core can forward (docs/CAPACITY.md).
const targetsPerDomainCell = 128

// CellDomains divides the targets of all pools into cells by failure domain and returns the domain of each
// cell. It returns nil if there are so few targets that one entry can own them all.
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
