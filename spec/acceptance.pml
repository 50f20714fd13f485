/*
 * Acceptance and distribution of the two tables among three nodes.
 *
 * The store changes one table at each revision, and a revision may be invalid. Readers (nodes 0 and 1)
 * read a snapshot in steps; a stale replica may respond to any step. Nodes fetch a higher pair from a
 * peer. Messages may be delayed. Node 0 or 2 may be partitioned and reconnected. Node 0 may be replaced.
 *
 * Safety, for each order of steps:
 *   - a node never returns to a lower revision;
 *   - an active pair is valid, and its tables existed together at its revision;
 *   - once a revision was active on all nodes, no node falls below it; this includes a replaced node
 *     that can reach a peer;
 *   - when all nodes are connected and no step is left, all nodes have the same pair, which is the
 *     newest one if that is valid.
 *
 * Each macro in acceptance.faulty disables one rule.
 */
#define N 3
#define READERS 2
#define REVISIONS 3

byte current = 1;
/* Versions of both tables at each revision, and whether the pair is valid. */
byte routesAt[REVISIONS + 1];
byte poolsAt[REVISIONS + 1];
bool valid[REVISIONS + 1];

/* The active pair at each node; revision 0 means none. */
byte revision[N];
byte routes[N];
byte pools[N];
bool serving[N];
/*
 * A node that joined while it could reach no peer. It relies on the platform, whose pair may be lower than one
 * that was active on all nodes, until it fetches a pair from a node that is not alone.
 */
bool alone[N];
bool cut[N];
/* The last revision of the store that a reader has read from an up-to-date replica. */
byte seen[READERS];

/* The highest revision that was active on all nodes. */
byte everywhere = 1;

/* A message of a peer. It may arrive at any time and more than once. */
byte lateRevision, lateRoutes, latePools;

/* How often each kind of fault may still happen. */
byte staleLeft = 2;
byte cutsLeft = 1;
byte replacementsLeft = 1;
byte messagesLeft = 1;

#ifdef ACCEPT_LOWER
#define REPLACES(r, i) (r != revision[i])
#else
#define REPLACES(r, i) (r > revision[i])
#endif

#define MAXIMUM(a, b) (a > b -> a : b)

#define ABOVE(i) (serving[i] && revision[i] > everywhere)

inline noteEverywhere() {
  do
  :: ABOVE(0) && ABOVE(1) && ABOVE(2) -> everywhere++
  :: else -> break
  od
}

#define EXISTED(r, rt, pl) (routesAt[r] == rt && poolsAt[r] == pl)

/* Nothing in a pair shows that its tables never existed together, so such a pair is assumed to pass validation. */
#ifdef ACCEPT_INVALID
#define PASSES(r, rt, pl) true
#else
#define PASSES(r, rt, pl) (!EXISTED(r, rt, pl) || valid[r])
#endif

inline offer(at, r, rt, pl) {
  if
  :: REPLACES(r, at) && PASSES(r, rt, pl) ->
    assert(r >= revision[at]);
    assert(EXISTED(r, rt, pl) && valid[r]);
    assert(!serving[at] || alone[at] || r >= everywhere);
    revision[at] = r;
    routes[at] = rt;
    pools[at] = pl;
    noteEverywhere()
  :: else
  fi
}

/*
 * The revision that the store returns to a step of a read: the newest one, or a lower one. Only node 0
 * meets stale replicas, and only node 0 is replaced. The same faults at node 1 would add nothing but the
 * same states with the nodes exchanged.
 */
inline choose(view) {
  if
  :: view = current
  :: i == 0 && staleLeft > 0 && current > 1 ->
    staleLeft--;
    view = 1;
    do
    :: view < current - 1 -> view++
    :: break
    od
  fi
}

proctype store() {
end:
  do
  :: atomic {
      current < REVISIONS ->
      routesAt[current + 1] = routesAt[current];
      poolsAt[current + 1] = poolsAt[current];
      if
      :: routesAt[current + 1] = current + 1
      :: poolsAt[current + 1] = current + 1
      fi;
      if
      :: valid[current + 1] = true
      :: valid[current + 1] = false
      fi;
      current++
    }
  od
}

proctype reader(byte i) {
  byte view, rt, pl, r;
end:
  do
  :: atomic {
      serving[i] && (seen[i] < current || (i == 0 && staleLeft > 0)) ->
      choose(view);
      rt = routesAt[view];
      view = 0;
#ifdef PER_TABLE
      if
      :: rt > routes[i] ->
        routes[i] = rt;
        revision[i] = MAXIMUM(routes[i], pools[i]);
        assert(routesAt[revision[i]] == routes[i] && poolsAt[revision[i]] == pools[i])
      :: else
      fi
#endif
    }
    atomic { choose(view); pl = poolsAt[view]; view = 0 }
    atomic {
      choose(view);
      if
#ifdef NO_SECOND_INDEX
      :: true ->
#else
      :: routesAt[view] == rt && poolsAt[view] == pl ->
#endif
        r = MAXIMUM(rt, pl);
        if
        :: serving[i] -> offer(i, r, rt, pl)
        :: else
        fi;
        if
        :: view == current && serving[i] -> seen[i] = current
        :: else
        fi
#ifndef NO_SECOND_INDEX
      :: else
#endif
      fi;
      view = 0; rt = 0; pl = 0; r = 0
    }
  od
}

#define CONNECTED(i, j) (i != j && serving[j] && !cut[i] && !cut[j])
#define HIGHER(i, j) (CONNECTED(i, j) && revision[j] > revision[i])
#define REACHES_PEER(i) (CONNECTED(i, 0) || CONNECTED(i, 1) || CONNECTED(i, 2))

inline fetch(to, from) {
  r = revision[from];
  rt = routes[from];
  pl = pools[from];
  offer(to, r, rt, pl);
  r = 0; rt = 0; pl = 0;
  alone[to] = alone[to] && alone[from]
}

/* A node fetches higher pairs, receives delayed messages and joins after its replacement. */
proctype node(byte i) {
  byte view, rt, pl, r;
end:
  do
#ifndef NO_EXCHANGE
  :: atomic { serving[i] && HIGHER(i, 0) -> fetch(i, 0) }
  :: atomic { serving[i] && HIGHER(i, 1) -> fetch(i, 1) }
  :: atomic { serving[i] && HIGHER(i, 2) -> fetch(i, 2) }
#endif
  :: atomic {
      serving[i] && lateRevision > 0 && REPLACES(lateRevision, i) ->
      offer(i, lateRevision, lateRoutes, latePools)
    }
  :: atomic {
      !serving[i] ->
      if
      :: CONNECTED(i, 0) -> fetch(i, 0)
      :: CONNECTED(i, 1) -> fetch(i, 1)
      :: CONNECTED(i, 2) -> fetch(i, 2)
#ifdef JOIN_FROM_PLATFORM
      :: true ->
#else
      :: !REACHES_PEER(i) ->
#endif
        alone[i] = !REACHES_PEER(i);
        choose(view);
        rt = routesAt[view];
        pl = poolsAt[view];
        r = MAXIMUM(rt, pl);
        offer(i, r, rt, pl);
        view = 0; r = 0; rt = 0; pl = 0
      fi;
      serving[i] = revision[i] > 0;
      assert(!serving[i] || alone[i] || revision[i] >= everywhere)
    }
  od
}

inline send(i) {
  lateRevision = revision[i];
  lateRoutes = routes[i];
  latePools = pools[i]
}

inline replace(i) {
  serving[i] = false;
  alone[i] = false;
  revision[i] = 0;
  routes[i] = 0;
  pools[i] = 0;
  if
  :: i < READERS -> seen[i] = 0
  :: else
  fi
}

proctype faults() {
end:
  do
  :: atomic { cutsLeft > 0 -> cutsLeft--; if :: cut[0] = true :: cut[2] = true fi }
  :: atomic { cut[0] -> cut[0] = false }
  :: atomic { cut[2] -> cut[2] = false }
  :: atomic { messagesLeft > 0 -> messagesLeft--; if :: send(0) :: send(1) :: send(2) fi }
  :: atomic { replacementsLeft > 0 && serving[1] -> replacementsLeft--; replace(0) }
  od
}

#define SAME(i, j) (revision[i] == revision[j] && routes[i] == routes[j] && pools[i] == pools[j])

/* Runs when no other process can: all messages have arrived and all faults have ended. */
proctype quiet() {
  timeout ->
  assert(serving[0] && serving[1] && serving[2]);
  assert(SAME(0, 1) && SAME(1, 2));
  assert(!valid[current] || revision[0] == current)
}

init {
  byte i;
  atomic {
    routesAt[1] = 1;
    poolsAt[1] = 1;
    valid[1] = true;
    do
    :: i < N ->
      revision[i] = 1;
      routes[i] = 1;
      pools[i] = 1;
      serving[i] = true;
      i++
    :: else -> break
    od;
    seen[0] = 1;
    seen[1] = 1;
    run store();
    run reader(0);
    run reader(1);
    run node(0);
    run node(1);
    run node(2);
    run faults();
    run quiet()
  }
}
