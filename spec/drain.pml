/*
 * Planned stop (design page, section 11): entry/stop.go, entry/addresses.go, fleet/membership.go.
 *
 * Entry L leaves. Entries P and Q respond to callers with addresses, and name L while they count it as
 * serving. Time passes in ticks without end; a tick is 1 s of the product. Each tick sends a heartbeat
 * from L to P, from L to Q and from Q to P. Any of them may be lost.
 *
 * P counts L as live in two cases. It heard L within SUSPECT. Or it heard Q within SUSPECT, and that
 * heartbeat reported that Q had heard L within SUSPECT.
 *
 * An address response is valid for VALID. A caller that has one may send a request to L. P and Q may
 * forward a request to L while they count it as the owner. Requests take any time. The caller counts the
 * validity from when it asked, so the latency of the response needs no allowance.
 *
 * Bounds: one response stored for each of P and Q, the newest one, since it is valid longest. At most 2
 * requests of callers and 2 forwarded ones are in flight. SUSPECT, GONE and the wait are those of the
 * product; VALID is 3 s instead of 15 s. Network latency is below a tick; GONE leaves 1 tick for it.
 *
 * Mapping: leave and wait = Entry.stop; P_COUNTS and Q_COUNTS = Membership.refreshPeer, findRelay and
 * View.Owner; answers = Entry.addresses; forwarded = Entry.Forward, counted by inFlightCount.
 *
 * Safety: when L ends, no request is in flight at it, no caller has a valid response that names it, and
 * no entry counts it as serving, so that none will name it or forward to it.
 *
 * Each macro in drain.faulty disables one rule. LEAVING_NOT_RELAYED leaves out Heartbeat.Leaving: an
 * entry that hears L only through others then does not learn that L leaves.
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

/* Ticks since P and Q heard L, and since P heard Q. SUSPECT + 1 stands for all longer times. */
byte heardByP, heardByQ, heardQ;
/* Whether Q reported that it hears L, in the last heartbeat that P received from Q. */
bool reported = true;
/* Whether P and Q know that L leaves. */
bool toldP, toldQ;
/* Ticks for which the newest responses of P and Q that name L remain valid. */
byte validP, validQ;
byte requests, forwardedRequests;

#define DIRECT(ticks) (ticks <= SUSPECT)
#define P_COUNTS (!toldP && (DIRECT(heardByP) || (DIRECT(heardQ) && reported)))
#define Q_COUNTS (!toldQ && DIRECT(heardByQ))

/*
 * An option of an "if" must not begin with this inline: its "else" would then apply to all options of that
 * "if". Such an option needs a guard of its own.
 */
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

/* The heartbeats of one tick. Q reports what it knew before this tick. */
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
