package configuration

import (
	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/table"
)

// Paths and parameters of the service's HTTP interface. All requests are GET.
const (
	// PathIndex answers Index for the values whose names start with ParamPrefix.
	PathIndex = "/v1/index"
	// PathValues, followed by a name, answers the value's bytes with HeaderRevision.
	PathValues = "/v1/values/"
	// PathWatch answers Index as soon as a value under ParamPrefix has changed at a revision above
	// ParamAfter, or after ParamWait.
	PathWatch = "/v1/watch"
	// PathFleet answers FleetList.
	PathFleet = "/v1/fleet"

	ParamPrefix = "prefix"
	ParamAfter  = "after"
	// ParamWait is a duration in Go's notation, such as "10s".
	ParamWait = "wait"

	// HeaderRevision is the revision that last changed the value in the body.
	HeaderRevision = "Platform-Revision"
)

// MaxValueBytes is the largest value that the service holds.
const MaxValueBytes = 1 << 20

// maxIndexBytes and maxFleetBytes bound answers that are read into memory. The fleet list of 4,200
// entries takes about 700 KB.
const (
	maxIndexBytes = 1 << 20
	maxFleetBytes = 8 << 20
)

// Index lists values and the revisions that last changed them, all at one revision of the store.
type Index struct {
	// Revision is the store's revision at the time of the answer.
	Revision table.Revision `json:"revision"`
	Values   []IndexRow     `json:"values"`
}

// IndexRow is one value of an Index.
type IndexRow struct {
	Name     string         `json:"name"`
	Revision table.Revision `json:"revision"`
}

// EntryState is what the platform says of an entry VM.
type EntryState string

// States of an entry in the fleet list.
const (
	EntryLive    EntryState = "live"
	EntryLeaving EntryState = "leaving"
)

// FleetList is the platform's list of entries; it lags behind the fleet.
type FleetList struct {
	// Revision is the store's revision at the time of the answer.
	Revision table.Revision `json:"revision"`
	Entries  []FleetRow     `json:"entries"`
}

// FleetRow is one entry of a FleetList.
type FleetRow struct {
	ID fleet.EntryID `json:"id"`
	// PeerAddress and CallerAddress are IP addresses with ports.
	PeerAddress   string              `json:"peerAddress"`
	CallerAddress string              `json:"callerAddress"`
	FailureDomain table.FailureDomain `json:"failureDomain"`
	State         EntryState          `json:"state"`
}

// snapshotRevision returns the revision of the tables in an index. It is the highest revision of the
// values rather than the store's, because the store's also grows with changes elsewhere, and entries
// that read the same tables at different times must name them by the same revision. The store's is used
// when a table is missing: otherwise the deletion of a table would look like an older state.
func snapshotRevision(i Index) table.Revision {
	var highest table.Revision
	tables := 0
	for _, v := range i.Values {
		highest = max(highest, v.Revision)
		if v.Name == table.RoutesKey || v.Name == table.PoolsKey {
			tables++
		}
	}
	if tables < 2 {
		return i.Revision
	}
	return highest
}

// TablesRevision returns the revision at which entries accept the tables of this index, for comparing
// the platform with the entries.
func (i Index) TablesRevision() table.Revision { return snapshotRevision(i) }
