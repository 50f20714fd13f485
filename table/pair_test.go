package table

import (
	"testing"

	"github.com/matryer/is"
)

// The example tables must stay valid; every local fleet and process test starts with them.
func TestExamples(t *testing.T) {
	tests := []struct {
		firm    string
		targets map[PoolName]int
	}{
		{"kiesbank", map[PoolName]int{"bescheid-info": 10, "mengen-buch": 20, "peilung-ablage": 6}},
		{"kruzes", map[PoolName]int{"kat-serviss": 12, "pas-serviss": 18, "mak-serviss": 6}},
	}
	for _, tt := range tests {
		t.Run(tt.firm, func(t *testing.T) {
			is := is.New(t)
			directory := "../examples/" + tt.firm + "/"
			pair, err := ReadFiles(directory+"routes.json", directory+"pools.json")
			is.NoErr(err)
			is.Equal(len(pair.Pools.Pools), len(tt.targets))
			for _, p := range pair.Pools.Pools {
				is.Equal(len(p.Targets), tt.targets[p.Name])
				is.Equal(CellCount(&p), 1)
				is.Equal(*p.Policy.RetryPercent, DefaultRetryPercent)
			}
			is.Equal(len(pair.Routes.Routes), len(tt.targets))
		})
	}
}
