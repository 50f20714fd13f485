package pool

// fairQueue holds values in one lane per key and serves the lanes in turn, so that one key's backlog
// does not delay another's. All operations take constant time whatever the number of keys; lanes exist
// only while they hold values.
type fairQueue[K comparable, V any] struct {
	lanes map[K]*lane[K, V]
	// cursor is the lane that is served next; nil when the queue is empty.
	cursor *lane[K, V]
	free   []*lane[K, V]
	size   int
}

// lane is the first-in-first-out list of one key, and a member of the ring of lanes.
type lane[K comparable, V any] struct {
	key            K
	next, previous *lane[K, V]
	head, tail     *queueNode[K, V]
}

// queueNode links a value into a lane; lane is nil while the value is not queued.
type queueNode[K comparable, V any] struct {
	value          V
	lane           *lane[K, V]
	next, previous *queueNode[K, V]
}

func (q *fairQueue[K, V]) laneOf(key K) *lane[K, V] {
	if l := q.lanes[key]; l != nil {
		return l
	}
	if q.lanes == nil {
		q.lanes = make(map[K]*lane[K, V])
	}
	var l *lane[K, V]
	if n := len(q.free); n > 0 {
		l = q.free[n-1]
		q.free = q.free[:n-1]
	} else {
		l = new(lane[K, V])
	}
	l.key = key
	q.lanes[key] = l
	if q.cursor == nil {
		l.next, l.previous = l, l
		q.cursor = l
		return l
	}
	// A new lane is served after all lanes that are already waiting.
	l.next, l.previous = q.cursor, q.cursor.previous
	l.previous.next = l
	q.cursor.previous = l
	return l
}

// push puts the node into the lane of the key, before the nodes at its end that it precedes.
func (q *fairQueue[K, V]) push(key K, n *queueNode[K, V], precedes func(a, b V) bool) {
	l := q.laneOf(key)
	before := l.tail
	for before != nil && precedes(n.value, before.value) {
		before = before.previous
	}
	q.size++
	n.lane, n.previous = l, before
	if before == nil {
		n.next, l.head = l.head, n
	} else {
		n.next, before.next = before.next, n
	}
	if n.next == nil {
		l.tail = n
	} else {
		n.next.previous = n
	}
}

// pushFront puts the node before the others in the lane of the key.
func (q *fairQueue[K, V]) pushFront(key K, n *queueNode[K, V]) {
	l := q.laneOf(key)
	n.lane, n.next, n.previous = l, l.head, nil
	if l.head == nil {
		l.tail = n
	} else {
		l.head.previous = n
	}
	l.head = n
	q.size++
}

// remove takes the node out; it does nothing if the node is not queued.
func (q *fairQueue[K, V]) remove(n *queueNode[K, V]) {
	l := n.lane
	if l == nil {
		return
	}
	if n.previous == nil {
		l.head = n.next
	} else {
		n.previous.next = n.next
	}
	if n.next == nil {
		l.tail = n.previous
	} else {
		n.next.previous = n.previous
	}
	n.lane, n.next, n.previous = nil, nil, nil
	q.size--
	if l.head == nil {
		q.dropLane(l)
	}
}

func (q *fairQueue[K, V]) dropLane(l *lane[K, V]) {
	delete(q.lanes, l.key)
	if l.next == l {
		q.cursor = nil
	} else {
		l.previous.next, l.next.previous = l.next, l.previous
		if q.cursor == l {
			q.cursor = l.next
		}
	}
	*l = lane[K, V]{}
	q.free = append(q.free, l)
}

// first returns the node that is served next, or nil.
func (q *fairQueue[K, V]) first() *queueNode[K, V] {
	if q.cursor == nil {
		return nil
	}
	return q.cursor.head
}

// take removes the node that first returned and moves on to the next lane.
func (q *fairQueue[K, V]) take() *queueNode[K, V] {
	n := q.first()
	if n == nil {
		return nil
	}
	q.cursor = q.cursor.next
	q.remove(n)
	return n
}

// newest returns the last node of the lane that is served last, or nil.
func (q *fairQueue[K, V]) newest() *queueNode[K, V] {
	if q.cursor == nil {
		return nil
	}
	return q.cursor.previous.tail
}

// each calls visit for every queued value; visit may remove the value that it is given.
func (q *fairQueue[K, V]) each(visit func(V)) {
	if q.cursor == nil {
		return
	}
	last := q.cursor.previous
	for l := q.cursor; ; {
		next := l.next
		done := l == last
		for n := l.head; n != nil; {
			following := n.next
			visit(n.value)
			n = following
		}
		if done {
			return
		}
		l = next
	}
}
