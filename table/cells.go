package table

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

// CellCount returns the number of cells of a pool: ceil(targets / cell size), at least 1.
func CellCount(p *Pool) int {
	size := p.CellSize
	if size <= 0 {
		size = DefaultCellSize
	}
	return max(1, (len(p.Targets)+size-1)/size)
}

// CellOf returns the index of the cell that holds a target of the pool. Rendezvous hashing moves only
// 1 in n targets when the number of cells becomes n.
func CellOf(p *Pool, id TargetID) int {
	return rendezvous(hashNames(string(p.Name), string(id)), CellCount(p))
}

// Cells partitions a pool's targets into its cells. Cells hold the pool's cell size on average.
func Cells(p *Pool) []Cell {
	cells := make([]Cell, CellCount(p))
	for i := range cells {
		cells[i] = Cell{Pool: p.Name, Index: i}
	}
	for _, t := range p.Targets {
		c := &cells[CellOf(p, t.ID)]
		c.Targets = append(c.Targets, t)
	}
	for i := range cells {
		n := len(cells[i].Targets)
		cells[i].Floor = share(p.Floor, n, len(p.Targets))
		cells[i].QueueLimit = share(p.Policy.QueueLimit, n, len(p.Targets))
	}
	return cells
}

// share returns total*part/whole, rounded up.
func share(total, part, whole int) int {
	if whole == 0 {
		return 0
	}
	return (total*part + whole - 1) / whole
}
