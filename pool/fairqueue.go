package pool

// fairQueue holds values in one flow per key and serves the flows in turn, so that the backlog of one key does
// not delay the others. All operations take constant time whatever the number of keys. Flows exist only while
// they hold values.
type fairQueue[K comparable, V any] struct {
	flows map[K]*flow[K, V]
	// cursor is the flow that is served next; nil if the queue is empty.
	cursor *flow[K, V]
	free   []*flow[K, V]
	size   int
}

// flow is the first-in-first-out list of one key, and an element of the ring of flows.
type flow[K comparable, V any] struct {
	key            K
	next, previous *flow[K, V]
	head, tail     *queueNode[K, V]
}

// queueNode links a value into a flow; flow is nil while the value is not queued.
type queueNode[K comparable, V any] struct {
	value          V
	flow           *flow[K, V]
	next, previous *queueNode[K, V]
}

func (q *fairQueue[K, V]) flowFor(key K) *flow[K, V] {
	if f := q.flows[key]; f != nil {
		return f
	}
	if q.flows == nil {
		q.flows = make(map[K]*flow[K, V])
	}
	var f *flow[K, V]
	if n := len(q.free); n > 0 {
		f = q.free[n-1]
		q.free = q.free[:n-1]
	} else {
		f = new(flow[K, V])
	}
	f.key = key
	q.flows[key] = f
	if q.cursor == nil {
		f.next, f.previous = f, f
		q.cursor = f
		return f
	}
	// A new flow is served after all flows that are already waiting.
	f.next, f.previous = q.cursor, q.cursor.previous
	f.previous.next = f
	q.cursor.previous = f
	return f
}

// push adds the node to the flow of the key, ahead of the nodes at its end that it precedes.
func (q *fairQueue[K, V]) push(key K, n *queueNode[K, V], precedes func(a, b V) bool) {
	f := q.flowFor(key)
	predecessor := f.tail
	for predecessor != nil && precedes(n.value, predecessor.value) {
		predecessor = predecessor.previous
	}
	q.size++
	n.flow, n.previous = f, predecessor
	if predecessor == nil {
		n.next, f.head = f.head, n
	} else {
		n.next, predecessor.next = predecessor.next, n
	}
	if n.next == nil {
		f.tail = n
	} else {
		n.next.previous = n
	}
}

// pushFront puts the node at the front of the flow of the key.
func (q *fairQueue[K, V]) pushFront(key K, n *queueNode[K, V]) {
	f := q.flowFor(key)
	n.flow, n.next, n.previous = f, f.head, nil
	if f.head == nil {
		f.tail = n
	} else {
		f.head.previous = n
	}
	f.head = n
	q.size++
}

// remove removes the node; it does nothing if the node is not queued.
func (q *fairQueue[K, V]) remove(n *queueNode[K, V]) {
	f := n.flow
	if f == nil {
		return
	}
	if n.previous == nil {
		f.head = n.next
	} else {
		n.previous.next = n.next
	}
	if n.next == nil {
		f.tail = n.previous
	} else {
		n.next.previous = n.previous
	}
	n.flow, n.next, n.previous = nil, nil, nil
	q.size--
	if f.head == nil {
		q.removeFlow(f)
	}
}

func (q *fairQueue[K, V]) removeFlow(f *flow[K, V]) {
	delete(q.flows, f.key)
	if f.next == f {
		q.cursor = nil
	} else {
		f.previous.next, f.next.previous = f.next, f.previous
		if q.cursor == f {
			q.cursor = f.next
		}
	}
	*f = flow[K, V]{}
	q.free = append(q.free, f)
}

// first returns the node that is served next, or nil.
func (q *fairQueue[K, V]) first() *queueNode[K, V] {
	if q.cursor == nil {
		return nil
	}
	return q.cursor.head
}

// pop removes the node that first returns, and moves on to the next flow.
func (q *fairQueue[K, V]) pop() *queueNode[K, V] {
	n := q.first()
	if n == nil {
		return nil
	}
	q.cursor = q.cursor.next
	q.remove(n)
	return n
}

// newest returns the last node of the flow that is served last, or nil.
func (q *fairQueue[K, V]) newest() *queueNode[K, V] {
	if q.cursor == nil {
		return nil
	}
	return q.cursor.previous.tail
}

// each calls visit for every queued value; visit may remove the value that it is called with.
func (q *fairQueue[K, V]) each(visit func(V)) {
	if q.cursor == nil {
		return
	}
	lastFlow := q.cursor.previous
	for f := q.cursor; ; {
		nextFlow := f.next
		done := f == lastFlow
		for n := f.head; n != nil; {
			nextNode := n.next
			visit(n.value)
			n = nextNode
		}
		if done {
			return
		}
		f = nextFlow
	}
}
