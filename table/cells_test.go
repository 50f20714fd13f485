package table

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// Guards against cells with targets of another failure domain, and against targets without a cell.
func TestCellDomains(t *testing.T) {
	for _, c := range []struct {
		name    string
		counts  map[FailureDomain]int
		domains []FailureDomain
	}{
		{"few targets have one owner", map[FailureDomain]int{"donau-ost": 30, "vils-tal": 34}, nil},
		{"one cell for each failure domain", map[FailureDomain]int{"donau-ost": 30, "vils-tal": 35}, []FailureDomain{"donau-ost", "vils-tal"}},
		{
			"several cells for a large one",
			map[FailureDomain]int{"donau-ost": 131, "rott-aue": 123, "vils-tal": 118},
			[]FailureDomain{"donau-ost", "donau-ost", "rott-aue", "vils-tal"},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := &Pool{Name: "mengen-buch", Slots: 4}
			for d, n := range c.counts {
				for i := range n {
					p.Targets = append(p.Targets, Target{ID: TargetID(fmt.Sprintf("%s-%d", d, i)), FailureDomain: d})
				}
			}
			p.CellDomains = CellDomains(map[PoolName][]Target{p.Name: p.Targets})
			is.Equal(p.CellDomains, c.domains)
			assigned := 0
			for _, cell := range Cells(p) {
				assigned += len(cell.Targets)
				for _, target := range cell.Targets {
					is.True(len(c.domains) == 0 || c.domains[cell.Index] == target.FailureDomain)
				}
			}
			is.Equal(assigned, len(p.Targets))
		})
	}
}

// Guards against targets without a cell because their failure domain has no cell.
func TestCellIndexOfDomainWithoutCell(t *testing.T) {
	is := is.New(t)
	p := &Pool{Name: "mengen-buch", CellDomains: []FailureDomain{"donau-ost", "vils-tal"}}
	used := make(map[int]bool)
	for i := range 100 {
		index := CellIndex(p, Target{ID: TargetID(fmt.Sprint(i)), FailureDomain: "elsewhere"})
		is.True(index >= 0 && index < 2)
		used[index] = true
	}
	is.Equal(len(used), 2)
}
