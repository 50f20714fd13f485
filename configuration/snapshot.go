package configuration

import (
	"context"

	"github.com/bilberrywood/bilberrywood/table"
)

// maxSnapshotReads is the maximum number of reads of a snapshot if the tables change during each of
// them. Changes are seconds apart and a read takes milliseconds.
const maxSnapshotReads = 5

// snapshotReader reads snapshots of the tables. It is not safe for concurrent use.
type snapshotReader struct {
	client *Client
	// cache holds the last version of each value. When one table changes, only its value is read again.
	// Responses of stale replicas do not cause further reads.
	cache map[string]versionedValue
}

// versionedValue is a value with the revision of its last change.
type versionedValue struct {
	revision table.Revision
	raw      []byte
}

// ReadSnapshot reads the tables as of one revision. The Index lists the values of the snapshot.
func (c *Client) ReadSnapshot(ctx context.Context) (table.Snapshot, Index, error) {
	index, err := c.Index(ctx, table.KeyPrefix)
	if err != nil {
		return table.Snapshot{}, Index{}, err
	}
	r := snapshotReader{client: c}
	return r.read(ctx, index)
}

// read reads the values in index and then reads the index again. The values existed at the same time
// only if the second index lists exactly their revisions. Otherwise one value may be older than the
// other, and they are read again. read returns the second index.
func (r *snapshotReader) read(ctx context.Context, index Index) (table.Snapshot, Index, error) {
	for range maxSnapshotReads {
		values, err := r.values(ctx, index)
		if err != nil {
			return table.Snapshot{}, Index{}, err
		}
		second, err := r.client.Index(ctx, table.KeyPrefix)
		if err != nil {
			return table.Snapshot{}, Index{}, err
		}
		if sameVersions(values, second) {
			return snapshot(values, second), second, nil
		}
		if second.Revision >= index.Revision {
			index = second
		}
	}
	return table.Snapshot{}, Index{}, Error.New("tables changed during each of %d reads", maxSnapshotReads)
}

// values returns the values in index. It takes them from the cache if the cache holds the same or a
// newer version.
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

// sameVersions reports whether index lists the same keys and revisions as values.
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
	for key, v := range values {
		raw[key] = v.raw
	}
	return table.Snapshot{Revision: snapshotRevision(index), Values: raw}
}
