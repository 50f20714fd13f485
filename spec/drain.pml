/*
 * Planned stop (design page, section 11): entry/stop.go, entry/addresses.go, fleet/membership.go.
 *
 * Entry L leaves. Entries P and Q answer callers and name L while they count it as serving. Time passes
 * in ticks without end; a tick is 1 s of the product. In each tick a heartbeat goes from L to P, from L
 * to Q and from Q to P; each of them may be lost, in any pattern. P counts L as live when it heard L
 * within SUSPECT, or else when it heard Q within SUSPECT and Q then reported that it had heard L within
 * SUSPECT. An address answer holds for VALID; with one of them a caller may send a request to L, and P
 * and Q may forward one to L while they count it as its owner. Requests take any time. The caller counts
 * the validity from when it asked, so the answer's own travel needs no allowance.
 *
 * Bounds: one answer kept for each of P and Q (the newest one, since it holds longest), at most 2
 * requests of callers and 2 forwarded ones in flight. SUSPECT, GONE and the wait are those of the
 * product; VALID is 3 s instead of 15 s. Travel times are below a tick; GONE leaves 1 tick for them.
 *
 * Mapping: leave and wait = Entry.stop; countsServing = Membership.refreshPeer, relayTo and
 * View.Owner; answer = Entry.addresses; forwarded = Entry.Forward, counted by requestCount.
 *
 * Safety: when L ends, no request is in flight at it, no caller has a valid answer that names it, and
 * nobody counts it as serving, so that nobody will name it or forward to it.
 *
 * Macros switch off one rule each: see drain.faulty. LEAVING_NOT_RELAYED is how package fleet behaves
 * so far: an entry that hears L only through others does not learn that L leaves (docs/PROOFS.md).
 */
#define SUSPECT 2
#define VALID 3
#define GONE 5

#ifdef NO_VALIDITY
#define WAIT GONE
#else
#ifdef NO_GONE
#define WAIT VALID
#else
#define WAIT (GONE + VALID)
#endif
#endif

bool leaving;
byte waited;
bool over;

/* Ticks since P and Q heard L, and since P heard Q; SUSPECT + 1 stands for all longer times. */
byte heardByP, heardByQ, heardQ;
/* What Q reported in the heartbeat that P heard last: that it hears L. */
bool reported = true;
/* P and Q know that L leaves. */
bool toldP, toldQ;
/* Ticks for which the newest answers of P and Q that name L still hold. */
byte validP, validQ;
byte requests, forwardedRequests;

#define DIRECT(ticks) (ticks <= SUSPECT)
#define P_COUNTS (!toldP && (DIRECT(heardByP) || (DIRECT(heardQ) && reported)))
#define Q_COUNTS (!toldQ && DIRECT(heardByQ))

/* Options that begin with this need a guard of their own: an "else" belongs to all options of its "if". */
inline age(ticks) {
  if
  :: ticks <= SUSPECT -> ticks++
  :: else
  fi
}

inline lower(ticks) {
  if
  :: ticks > 0 -> ticks--
  :: else
  fi
}

/* Heartbeats of one tick. Q's report is what it knew before this tick. */
inline heartbeats() {
  if
  :: heardQ = 0;
    reported = DIRECT(heardByQ);
#ifndef LEAVING_NOT_RELAYED
    toldP = toldP || toldQ
#endif
  :: true -> age(heardQ)
  fi;
  if
  :: !over -> heardByP = 0; toldP = toldP || leaving
  :: true -> age(heardByP)
  fi;
  if
  :: !over -> heardByQ = 0; toldQ = toldQ || leaving
  :: true -> age(heardByQ)
  fi
}

inline answers() {
  if
  :: P_COUNTS -> validP = VALID
  :: true
  fi;
  if
  :: Q_COUNTS -> validQ = VALID
  :: true
  fi
}

inline work() {
  if
  :: (validP > 0 || validQ > 0) && requests < 2 -> requests++
  :: requests > 0 -> requests--
  :: true
  fi;
  if
  :: (P_COUNTS || Q_COUNTS) && forwardedRequests < 2 -> forwardedRequests++
  :: forwardedRequests > 0 -> forwardedRequests--
  :: true
  fi
}

#ifdef FORWARDED_NOT_COUNTED
#define IN_FLIGHT (requests)
#else
#ifdef CALLERS_NOT_COUNTED
#define IN_FLIGHT (forwardedRequests)
#else
#define IN_FLIGHT (requests + forwardedRequests)
#endif
#endif

inline stop() {
  if
  :: !leaving -> leaving = true
  :: true
  fi;
  if
  :: leaving && waited >= WAIT && IN_FLIGHT == 0 ->
    assert(requests == 0 && forwardedRequests == 0);
    assert(validP == 0 && validQ == 0);
    assert(!P_COUNTS && !Q_COUNTS);
    over = true
  :: leaving && waited < WAIT -> waited++
  :: else
  fi
}

init {
  do
  :: atomic {
      !over ->
      heartbeats();
      lower(validP);
      lower(validQ);
      stop();
      if
      :: !over -> answers(); work()
      :: else
      fi
    }
  :: over -> break
  od
}
