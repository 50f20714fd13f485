package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/pool"
	"github.com/bilberrywood/bilberrywood/settings"
	"github.com/bilberrywood/bilberrywood/table"
)

const shardHost = "isartal.example"

// newShardedEntry returns an entry in donau-ost with a peer in vils-tal. Both pools have one cell in each of
// the two failure domains.
func newShardedEntry(t *testing.T) *Entry {
	t.Helper()
	is := is.New(t)
	e := &Entry{Log: zerolog.Nop(), Settings: settings.Entry{
		ID: "127.0.0.1:2", FailureDomain: "donau-ost", CallerAddress: "127.0.0.1:1", PeerAddress: "127.0.0.1:2",
		OperatorAddress: "127.0.0.1:3", TLS: settings.TLS{Unauthenticated: true}, SlowHeartbeatMs: 4000,
	}}
	is.NoErr(e.Settings.Check())
	e.prepare()
	e.sendHeartbeat = func(fleet.OutgoingHeartbeat) {}
	routes := table.Routes{}
	pools := table.Pools{FleetGroups: 1}
	for i, name := range []table.PoolName{"bescheid-info", "mengen-buch"} {
		p := table.Pool{
			Name: name, Slots: 1, MaxConnections: 1, Policy: table.Policy{FalseEjectionEveryHours: 24, SpellMs: 6000, RetryBurst: 45},
			CellDomains: []table.FailureDomain{"donau-ost", "vils-tal"},
		}
		for j := range 70 {
			p.Targets = append(p.Targets, table.Target{
				ID: table.TargetID(fmt.Sprintf("%s-%02d", name, j)), FailureDomain: p.CellDomains[j%2],
				Address: fmt.Sprintf("127.0.%d.%d:80", i+1, j+1),
			})
		}
		pools.Pools = append(pools.Pools, p)
		routes.Routes = append(routes.Routes, table.Route{
			Name: table.RouteName(name), Host: shardHost, PathPrefix: "/" + string(name), Pool: name, TimeoutMs: 1000,
		})
	}
	e.tables.offer("test", table.Snapshot{Revision: 1, Values: map[string][]byte{
		table.RoutesKey: mustJSON(routes), table.PoolsKey: mustJSON(pools),
	}})
	is.True(e.tables.current() != nil)
	e.setState(fleet.StateServing)
	t.Cleanup(func() {
		e.cells.close()
		_ = e.targetClient.Close()
	})
	return e
}

// receivePeerHeartbeat receives a heartbeat in which the peer reports the spare slots of its cell of a pool.
func (e *Entry) receivePeerHeartbeat(sequence uint64, name table.PoolName, spareSlots int) {
	e.fleet.receive(e.sinceStart(), fleet.Heartbeat{
		From: "127.0.0.1:12", Incarnation: 1, Sequence: sequence, State: fleet.StateServing, Full: true, Hub: true,
		FailureDomain: "vils-tal", PeerAddress: "127.0.0.1:12", CallerAddress: "127.0.0.1:11",
		ReceiverIncarnation: e.dedup.Incarnation,
		Claims:              []fleet.CellClaim{{Cell: fleet.CellKey{Pool: name, Index: 1}, SpareSlots: spareSlots}},
	})
	e.fleet.update(e.sinceStart(), func(*fleet.Membership) {})
}

// Guards against callers that are sent to another failure domain, and against an extra hop, while an entry and
// targets are in the same failure domain.
func TestCallersStayInTheirFailureDomain(t *testing.T) {
	is := is.New(t)
	e := newShardedEntry(t)
	e.receivePeerHeartbeat(1, "mengen-buch", 0)
	for domain, address := range map[string]string{"donau-ost": "127.0.0.1:1", "vils-tal": "127.0.0.1:11"} {
		l, ok := e.Locate(shardHost, domain)
		is.True(ok)
		is.Equal(l.Addresses, []string{address})
	}
	l, ok := e.Locate(shardHost, "rott-aue")
	is.True(ok)
	is.Equal(len(l.Addresses), 2)
	for range 20 {
		is.Equal(e.pickCell(e.tables.current(), "mengen-buch"), fleet.CellKey{Pool: "mengen-buch", Index: 0})
	}
}

// Guards against requests that wait in one failure domain while targets of another are idle: once 777 requests
// were refused in one failure domain and none in another. Requests must not spill over to a cell that is as full.
func TestFullCellSpillsOver(t *testing.T) {
	is := is.New(t)
	e := newShardedEntry(t)
	own := fleet.CellKey{Pool: "mengen-buch", Index: 0}
	other := fleet.CellKey{Pool: "mengen-buch", Index: 1}
	e.receivePeerHeartbeat(1, "mengen-buch", 20)
	active := e.tables.current()
	is.Equal(e.spillover(active, own), own) // slots are free
	cell, ok := e.cells.getOrCreate(own)
	is.True(ok)
	for range 35 {
		_, _, ok := cell.submit(pool.Request{Deadline: e.now() + pool.Time(time.Minute)})
		is.True(ok)
	}
	is.Equal(e.spillover(active, own), other)
	e.receivePeerHeartbeat(2, "mengen-buch", minSpillSlots-1)
	is.Equal(e.spillover(active, own), own)
}

// Guards against cells that each take the whole queue or all retries of their pool.
func TestCellsDividePoolLimits(t *testing.T) {
	is := is.New(t)
	e := newShardedEntry(t)
	p := e.tables.current().router.Pool("mengen-buch")
	queue, burst := 0, 0.0
	for index := range table.CellCount(p) {
		cell, ok := e.cells.getOrCreate(fleet.CellKey{Pool: p.Name, Index: index})
		is.True(ok)
		queue += cell.cell.Policy.QueueLimit
		burst += cell.cell.Policy.RetryBurst
	}
	is.Equal(queue, p.Policy.QueueLimit)
	is.True(burst <= p.Policy.RetryBurst)
}

// Guards against a data race between a tick, which reads the ownership of every cell of a pool, and new tables, which set
// it. The race detector reports it.
func TestTickDuringNewTables(t *testing.T) {
	is := is.New(t)
	e := newShardedEntry(t)
	active := e.tables.current()
	for index := range 2 {
		_, ok := e.cells.getOrCreate(fleet.CellKey{Pool: "mengen-buch", Index: index})
		is.True(ok)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 100 {
			e.cells.apply(active)
		}
	}()
	for range 100 {
		e.cells.tick(active, e.fleet.view())
	}
	<-done
}
