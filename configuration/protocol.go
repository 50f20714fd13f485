package configuration

import (
	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/table"
)

// Paths and parameters of the service's HTTP interface. All requests are GET.
const (
	// PathIndex returns an Index of the values whose keys start with ParamPrefix.
	PathIndex = "/v1/index"
	// PathValues, followed by a key, returns the bytes of the value, with HeaderRevision.
	PathValues = "/v1/values/"
	// PathWatch returns an Index as soon as a value under ParamPrefix has changed at a revision above
	// ParamAfter, but not later than after ParamWait.
	PathWatch = "/v1/watch"
	// PathFleet returns a FleetList.
	PathFleet = "/v1/fleet"

	ParamPrefix = "prefix"
	ParamAfter  = "after"
	// ParamWait is a duration in Go's notation, such as "10s".
	ParamWait = "wait"

	// HeaderRevision is the revision of the last change of the value in the body.
	HeaderRevision = "Platform-Revision"
)

// MaxValueBytes is the maximum size of a value in the service.
const MaxValueBytes = 1 << 20

// maxIndexBytes and maxFleetBytes are the maximum sizes of responses. The fleet list of 4,200 entries
// takes about 700 KB.
const (
	maxIndexBytes = 1 << 20
	maxFleetBytes = 8 << 20
)

// Index lists values with the revisions of their last changes, as of one revision of the store.
type Index struct {
	// Revision is the revision of the store at the time of the response.
	Revision table.Revision `json:"revision"`
	Values   []IndexRow     `json:"values"`
}

// IndexRow is one value of an Index.
type IndexRow struct {
	Name     string         `json:"name"`
	Revision table.Revision `json:"revision"`
}

// EntryState is the state of an entry according to the platform.
type EntryState string

// States of an entry in the fleet list.
const (
	EntryLive    EntryState = "live"
	EntryLeaving EntryState = "leaving"
)

// FleetList is the platform's list of entries. It lags behind the actual state of the fleet.
type FleetList struct {
	// Revision is the revision of the store at the time of the response.
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
// values. The revision of the store is not suitable: it also grows with changes of other values, but
// entries that read the same tables at different times must use the same revision for them. If a table
// is missing, the revision of the store is returned, because otherwise the deletion of a table would
// look like an older state.
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

// TablesRevision returns the revision of the tables in the index, as entries report it for the active
// pair.
func (i Index) TablesRevision() table.Revision { return snapshotRevision(i) }
