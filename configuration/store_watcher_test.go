package configuration

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/bilberrywood/bilberrywood/table"
)

// scriptedStore responds to each call with the next step of a script. After the last step it waits for
// the context.
type scriptedStore struct {
	steps []step
	lists int
}

type step struct {
	changes Changes
	err     error
	// after is the delay of the response.
	after time.Duration
}

func (s *scriptedStore) next(ctx context.Context) (Changes, error) {
	if len(s.steps) == 0 {
		<-ctx.Done()
		return Changes{}, ctx.Err()
	}
	first := s.steps[0]
	s.steps = s.steps[1:]
	time.Sleep(first.after)
	return first.changes, first.err
}

func (s *scriptedStore) List(ctx context.Context) (Changes, error) {
	s.lists++
	return s.next(ctx)
}

func (s *scriptedStore) Watch(ctx context.Context, _ table.Revision, _ time.Duration) (Changes, error) {
	return s.next(ctx)
}

var errUnreachable = errors.New("store is unreachable")

// change returns a registration, or a removal if sequence is 0.
func change(id table.TargetID, sequence int64) Change {
	if sequence == 0 {
		return Change{Deregistered: id}
	}
	return Change{Registration: &table.Registration{
		Target:   table.Target{ID: id, Address: "10.0.0." + string(id) + ":80", FailureDomain: "riga-a", Slots: 2},
		Pool:     "pas-serviss",
		Sequence: sequence,
	}}
}

// eraRevision returns the revision of a store that was restored.
func eraRevision(era, number uint64) table.Revision {
	r, err := table.NewRevision(era, number)
	if err != nil {
		panic(err)
	}
	return r
}

func definition(version int64) Change {
	return Change{Definition: &table.Definition{
		Routes: table.Routes{Version: version, Routes: []table.Route{{Name: "r", PathPrefix: "/o", Pool: "pas-serviss", TimeoutMs: 1000}}},
		Pools:  []table.Pool{{Name: "pas-serviss", Policy: table.Policy{FalseEjectionEveryHours: 24}}},
	}}
}

// runScript runs a script. It returns the snapshots, each as the IDs of its targets, the number of
// listings, and the log.
func runScript(t *testing.T, steps []step, readByPeers bool) (targets []string, lists int, log string) {
	t.Helper()
	is := is.New(t)
	var lines bytes.Buffer
	store := &scriptedStore{steps: steps}
	w := &StoreWatcher{
		ReadByPeers: func() bool { return readByPeers },
		Store:       store, Registry: table.Registry{GracePeriod: 2 * time.Second}, Log: zerolog.New(&lines),
		OnSnapshot: func(s table.Snapshot) {
			pair, err := table.NewPair(s.Revision, s.Values)
			is.NoErr(err)
			var names []string
			for _, target := range pair.Pools.Pools[0].Targets {
				names = append(names, string(target.ID))
			}
			targets = append(targets, strings.Join(names, " "))
		},
	}
	w.SetActive(true)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	w.Run(ctx)
	return targets, store.lists, lines.String()
}

// Guards against a store watcher that stops when the store has compacted its changes, that removes
// targets because the store was unreachable, or that drops the active tables because of a value that
// can't be decoded.
func TestStoreWatcher(t *testing.T) {
	start := step{changes: Changes{Revision: 5, Changes: []Change{definition(1), change("1", 1), change("2", 1)}}}
	for _, tt := range []struct {
		name  string
		steps []step
		want  []string
		lists int
		log   string
		// readByPeers says that other entries can read the store all the time.
		readByPeers bool
	}{
		{"changes in order", []step{
			start, {changes: Changes{Revision: 6, Changes: []Change{change("2", 0)}}},
		}, []string{"1 2", "1"}, 1, "", false},
		{"nothing new", []step{
			start, {changes: Changes{Revision: 6, Changes: []Change{change("2", 2)}}},
		}, []string{"1 2"}, 1, "", false},
		{"changes compacted", []step{
			start, {err: ErrCompacted}, {changes: Changes{Revision: 9, Changes: []Change{definition(1), change("2", 4)}}},
		}, []string{"1 2", "2"}, 2, "", false},
		{"expired while the store was unreachable", []step{
			start, {err: errUnreachable, after: 3 * time.Second}, {err: errUnreachable, after: time.Second},
			{changes: Changes{Revision: 9, Changes: []Change{change("1", 0), change("2", 0)}}},
			{changes: Changes{Revision: 10, Changes: []Change{change("1", 5)}}},
			{changes: Changes{Revision: 11}, after: 3 * time.Second},
		}, []string{"1 2", "1"}, 1, "storeLost", false},
		{"removed while the store was unreachable for this entry only", []step{
			start, {err: errUnreachable, after: 3 * time.Second}, {err: errUnreachable, after: time.Second},
			{changes: Changes{Revision: 9, Changes: []Change{change("2", 0)}}},
		}, []string{"1 2", "1"}, 1, "storeLost", true},
		{"missing in the copy that the store was restored from", []step{
			start, {changes: Changes{Revision: eraRevision(1, 4), Changes: []Change{definition(1), change("1", 2)}}},
			{changes: Changes{Revision: eraRevision(1, 4), Changes: []Change{definition(1), change("1", 2)}}},
			{changes: Changes{Revision: eraRevision(1, 5), Changes: []Change{change("2", 2)}}},
			{changes: Changes{Revision: eraRevision(1, 6)}, after: 3 * time.Second},
		}, []string{"1 2", "1 2"}, 2, "storeRestored", false},
		{"gone when the store was restored", []step{
			start, {changes: Changes{Revision: eraRevision(1, 9)}},
			{changes: Changes{Revision: eraRevision(1, 9), Changes: []Change{definition(1), change("1", 2)}}},
			{changes: Changes{Revision: eraRevision(1, 10)}, after: 3 * time.Second},
		}, []string{"1 2", "1 2", "1"}, 2, "storeRestored", false},
		{"restored twice, with a delayed response from between", []step{
			start, {changes: Changes{Revision: eraRevision(1, 3)}},
			{changes: Changes{Revision: eraRevision(2, 2), Changes: []Change{definition(1), change("1", 2), change("2", 2)}}},
			{changes: Changes{Revision: eraRevision(1, 4), Changes: []Change{change("1", 0)}}},
			{changes: Changes{Revision: eraRevision(2, 3), Changes: []Change{change("2", 0)}}},
			{changes: Changes{Revision: eraRevision(2, 4)}, after: 3 * time.Second},
		}, []string{"1 2", "1 2", "1"}, 2, "storeRestored", false},
		{"a value that can't be decoded", []step{
			start, {changes: Changes{Revision: 6, Changes: []Change{{Key: "op/x", Err: errUnreachable}, change("3", 1)}}},
		}, []string{"1 2", "1 2 3"}, 1, "storeValueIgnored", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				targets, lists, log := runScript(t, tt.steps, tt.readByPeers)
				is.Equal(targets, tt.want)
				is.Equal(lists, tt.lists)
				is.True(strings.Contains(log, tt.log))
			})
		})
	}
}
