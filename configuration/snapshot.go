package configuration

import (
	"context"

	"github.com/bilberrywood/bilberrywood/table"
)

// maxSnapshotReads is how often a snapshot is read again because the tables changed meanwhile. Changes are
// seconds apart and a read takes milliseconds.
const maxSnapshotReads = 5

// snapshotReader reads snapshots of the tables. It must not be used concurrently.
type snapshotReader struct {
	client *Client
	// cache holds the last version read of each value, so that a change of one table costs
	// one value, and answers of stale replicas in between don't have to be read again.
	cache map[string]versionedValue
}

// versionedValue is a value with the revision that last changed it.
type versionedValue struct {
	revision table.Revision
	raw      []byte
}

// ReadSnapshot reads the tables as they existed together at one revision.
func (c *Client) ReadSnapshot(ctx context.Context) (table.Snapshot, Index, error) {
	index, err := c.Index(ctx, table.KeyPrefix)
	if err != nil {
		return table.Snapshot{}, Index{}, err
	}
	r := snapshotReader{client: c}
	return r.read(ctx, index)
}

// read reads the values that index names and then the index again. Only when the second index shows
// exactly the revisions of the values read did they exist together; otherwise one of them may be older
// than the other. The index returned is the second one.
func (r *snapshotReader) read(ctx context.Context, index Index) (table.Snapshot, Index, error) {
	for range maxSnapshotReads {
		values, err := r.values(ctx, index)
		if err != nil {
			return table.Snapshot{}, Index{}, err
		}
		confirmed, err := r.client.Index(ctx, table.KeyPrefix)
		if err != nil {
			return table.Snapshot{}, Index{}, err
		}
		if sameVersions(values, confirmed) {
			return snapshot(values, confirmed), confirmed, nil
		}
		if confirmed.Revision >= index.Revision {
			index = confirmed
		}
	}
	return table.Snapshot{}, Index{}, Error.New("tables changed during each of %d reads", maxSnapshotReads)
}

// values returns the values that index names, from the cache where it holds the same or a newer
// version.
func (r *snapshotReader) values(ctx context.Context, index Index) (map[string]versionedValue, error) {
	if r.cache == nil {
		r.cache = make(map[string]versionedValue)
	}
	values := make(map[string]versionedValue, len(index.Values))
	for _, row := range index.Values {
		v, ok := r.cache[row.Name]
		if !ok || v.revision < row.Revision {
			raw, revision, err := r.client.Value(ctx, row.Name)
			if err != nil {
				return nil, err
			}
			v = versionedValue{revision, raw}
			r.cache[row.Name] = v
		}
		values[row.Name] = v
	}
	return values, nil
}

// sameVersions reports whether index shows the same names and revisions as the values read.
func sameVersions(values map[string]versionedValue, index Index) bool {
	if len(values) != len(index.Values) {
		return false
	}
	for _, row := range index.Values {
		if v, ok := values[row.Name]; !ok || v.revision != row.Revision {
			return false
		}
	}
	return true
}

func snapshot(values map[string]versionedValue, index Index) table.Snapshot {
	raw := make(map[string][]byte, len(values))
	for name, v := range values {
		raw[name] = v.raw
	}
	return table.Snapshot{Revision: snapshotRevision(index), Values: raw}
}
