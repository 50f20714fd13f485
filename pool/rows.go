package pool

// rows is a table of entities of one kind. An entity is found by its key in constant time. The order of
// iteration is deterministic. Rows keep their address and are reused after removal.
type rows[K comparable, V any] struct {
	index map[K]*row[K, V]
	list  []*row[K, V]
	free  []*row[K, V]
}

// row is one entity with its key. Its address is valid until the row is removed.
type row[K comparable, V any] struct {
	key      K
	position int
	value    V
}

func (t *rows[K, V]) get(key K) *V {
	r := t.index[key]
	if r == nil {
		return nil
	}
	return &r.value
}

// add returns the row of the key, and whether it is new. A new row has its zero value.
func (t *rows[K, V]) add(key K) (*V, bool) {
	if r := t.index[key]; r != nil {
		return &r.value, false
	}
	if t.index == nil {
		t.index = make(map[K]*row[K, V])
	}
	var r *row[K, V]
	if n := len(t.free); n > 0 {
		r = t.free[n-1]
		t.free = t.free[:n-1]
	} else {
		r = new(row[K, V])
	}
	r.key = key
	r.position = len(t.list)
	t.list = append(t.list, r)
	t.index[key] = r
	return &r.value, true
}

// remove deletes the row of the key, if there is one. The last row takes its position.
func (t *rows[K, V]) remove(key K) {
	r := t.index[key]
	if r == nil {
		return
	}
	last := len(t.list) - 1
	moved := t.list[last]
	t.list[r.position] = moved
	moved.position = r.position
	t.list[last] = nil
	t.list = t.list[:last]
	delete(t.index, key)
	var zero row[K, V]
	*r = zero
	t.free = append(t.free, r)
}

func (t *rows[K, V]) len() int { return len(t.list) }

// at returns the row at a position from 0 to len()-1.
func (t *rows[K, V]) at(position int) *V { return &t.list[position].value }
