package table

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// newRegistration returns a registration as a target reports it.
func newRegistration(id TargetID, address string, started, sequence int64, leaving bool) Registration {
	return Registration{
		Target: Target{ID: id, Address: address, FailureDomain: "riga-a", Slots: 2, Started: started, Leaving: leaving},
		Pool:   "pas-serviss", Sequence: sequence,
	}
}

// registryTargets returns the targets of the only pool by ID.
func registryTargets(t *testing.T, r *Registry) map[TargetID]Target {
	t.Helper()
	is := is.New(t)
	r.SetDefinition(Definition{
		Routes: Routes{Routes: []Route{{Name: "orders", PathPrefix: "/o", Pool: "pas-serviss", TimeoutMs: 2000}}},
		Pools: []Pool{{Name: "pas-serviss", MaxConnections: 390,
			Policy: Policy{FalseEjectionEveryHours: 24, SpellMs: 6000}}},
	})
	values, err := r.Values()
	is.NoErr(err)
	pair, err := NewPair(1, values)
	is.NoErr(err)
	out := make(map[TargetID]Target)
	for _, target := range pair.Pools.Pools[0].Targets {
		out[target.ID] = target
	}
	return out
}

// Guards against delayed reports that restore a target which is leaving or has left. Such a target got
// new requests up to 7.7 s after its drain had been acknowledged.
func TestRegistryIgnoresOldReports(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, tt := range []struct {
		name   string
		report func(*Registry)
		listed bool
		leaves bool
	}{
		{"first report", func(*Registry) {}, true, false},
		{"drain", func(r *Registry) { r.Register(newRegistration("a", "10.0.0.1:80", 5, 4, true)) }, true, true},
		{"older report after a drain", func(r *Registry) {
			r.Register(newRegistration("a", "10.0.0.1:80", 5, 4, true))
			r.Register(newRegistration("a", "10.0.0.1:80", 5, 2, false))
		}, true, true},
		{"later report after a drain", func(r *Registry) {
			r.Register(newRegistration("a", "10.0.0.1:80", 5, 4, true))
			r.Register(newRegistration("a", "10.0.0.1:80", 5, 6, false))
		}, true, true},
		{"new process after a drain", func(r *Registry) {
			r.Register(newRegistration("a", "10.0.0.1:80", 5, 4, true))
			r.Register(newRegistration("a", "10.0.0.1:80", 9, 1, false))
		}, true, false},
		{"report of the former process", func(r *Registry) {
			r.Register(newRegistration("a", "10.0.0.1:80", 9, 1, true))
			r.Register(newRegistration("a", "10.0.0.1:80", 5, 8, false))
		}, true, true},
		{"old report after the removal", func(r *Registry) {
			r.Deregister("a", now, now)
			r.Register(newRegistration("a", "10.0.0.1:80", 5, 2, false))
		}, false, false},
		{"new report after the removal", func(r *Registry) {
			r.Deregister("a", now, now)
			r.Register(newRegistration("a", "10.0.0.1:80", 5, 4, false))
		}, true, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := &Registry{FloorPercent: 70}
			r.Register(newRegistration("a", "10.0.0.1:80", 5, 3, false))
			tt.report(r)
			target, listed := registryTargets(t, r)["a"]
			is.Equal(listed, tt.listed)
			is.Equal(target.Leaving, tt.leaves)
		})
	}
}

// Guards against removing targets whose registrations expired only because the store was unreachable,
// and against keeping one that does not register again.
func TestRegistryKeepsExpiredTargets(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := &Registry{FloorPercent: 70, GracePeriod: 2 * time.Second}
	r.Register(newRegistration("alive", "10.0.0.1:80", 5, 3, false))
	r.Register(newRegistration("dead", "10.0.0.2:80", 5, 3, false))
	r.Register(newRegistration("leaving", "10.0.0.3:80", 5, 3, true))
	until := now.Add(r.GracePeriod)
	r.DeregisterMissing(map[TargetID]bool{}, now, until)
	kept := registryTargets(t, r)
	is.Equal(len(kept), 2) // The two that did not report that they were leaving.
	r.Register(newRegistration("alive", "10.0.0.1:80", 5, 4, false))
	r.Expire(until)
	_, alive := registryTargets(t, r)["alive"]
	_, dead := registryTargets(t, r)["dead"]
	is.True(alive)
	is.True(!dead)
}

// Guards against two targets with the same address, which would make the tables invalid for all pools.
func TestRegistryAddressReuse(t *testing.T) {
	is := is.New(t)
	r := &Registry{}
	old := newRegistration("old", "10.0.0.1:80", 5, 3, false)
	old.CreateRevision = 10
	reused := newRegistration("new", "10.0.0.1:80", 9, 1, false)
	reused.CreateRevision = 20
	r.Register(reused)
	r.Register(old)
	targets := registryTargets(t, r)
	is.Equal(len(targets), 1)
	is.Equal(targets["new"].Address, "10.0.0.1:80")
}
