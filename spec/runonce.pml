/*
 * At most one run per request ID (design page, section 10): package notice, entry/bind.go, entry/place.go.
 *
 * There is one ID, bound to incarnation 0 of entry 0 in epoch 0. Other IDs influence it only by filling
 * the deduplicator, which may happen at any admission. Callers send copies of the request to both
 * entries. A copy, also one that entry 1 forwards, is delivered at any later time, any number of times or
 * never; this covers loss, duplication, reordering, delay and partition. Every process may stop between
 * any two steps for any time; this covers pauses, also between the last check and the write. Entry 0
 * crashes at any time and starts again as incarnation 1, with an empty deduplicator and epochs from 0.
 * The owner of the cell is a third entry or entry 0 itself.
 *
 * Bounds: 2 handlers at entry 0, 2 incarnations, epochs 0..EPOCHS, 2 attempts for each admission.
 * Admission lasts 2 epochs as in the product. IDs are remembered for 3 epochs instead of 10.
 *
 * Mapping: admit = Deduplicator.Admit and Deduplicator.advanceEpoch; finish = Deduplicator.Finish;
 * handler = runBound, runOnce, place and attempt; unbound = forwardToBound; owner = handlePeerRequest with
 * ForwardPlace.
 *
 * Safety: the ID runs at most once. If "not run" is reported at any time, it never runs.
 *
 * Each macro in runonce.faulty disables one rule.
 */
#define EPOCHS 4
#define ADMIT 2
#ifdef SHORT_MEMORY
#define MEMORY 1
#else
#define MEMORY 3
#endif

mtype = { none, running, refused, ended };          /* state of the ID in the deduplicator */
mtype = { quiet, sent, ownerRan, ownerRefused };    /* the request that was forwarded to the owner */

mtype known = none;
bool closed;       /* the deduplicator was full in the epoch of the ID */
byte incarnation;
byte epoch;
mtype atOwner = quiet;

byte ran;
bool told;         /* "not run" was reported for the ID */

inline ranOnce() { ran++; assert(ran <= 1 && !told) }
inline tellNotRun() { told = true; assert(ran == 0) }

/* A run that the deduplicator has forgotten, or a run of a former incarnation, changes no state. */
inline finish(outcome) {
  if
  :: known == running && incarnation == mine -> known = outcome
  :: else
  fi
}

#ifdef NOT_BURNT
#define AFTER_REFUSAL none
#else
#define AFTER_REFUSAL refused
#endif

/* Handles a copy at entry 0, from a caller or from entry 1. It ends when its incarnation crashes. */
proctype handler() {
  byte mine, attempts;
end:
  do
  :: atomic {
      mine = incarnation;
      attempts = 0;
#ifndef INCARNATION_IGNORED
      if
      :: incarnation != 0 -> goto end   /* the ID is not bound to this process: unknown */
      :: else
      fi;
#endif
      if
      :: known == running -> goto end   /* waits for the run in progress */
      :: known == ended -> goto end  /* the stored response, or unknown */
      :: known == refused -> tellNotRun(); goto end
      :: known == none && epoch >= 3 -> goto end   /* older than the remembered epochs: unknown */
      :: known == none && ((epoch >= ADMIT && epoch < 3) || closed) -> tellNotRun(); goto end
      :: known == none && epoch < ADMIT && !closed ->
#ifndef FULL_NOT_CLOSED
        closed = true;
#endif
        tellNotRun();
        goto end
      :: known == none && epoch < ADMIT && !closed -> known = running
      fi
    }
attempt:
    if
    :: atomic { mine != incarnation -> goto end }
    /* Refused before any byte left: queue full, deadline, paused, no path to the owner. */
    :: atomic { mine == incarnation -> finish(AFTER_REFUSAL); tellNotRun(); goto end }
    :: atomic { mine == incarnation && attempts < 2 -> attempts++; goto write }
    :: atomic { mine == incarnation && attempts < 2 && atOwner == quiet -> attempts++; atOwner = sent; goto remote }
    fi;
write:
    /* All checks have passed. The process may be paused here. */
#ifdef DEADLINE_NOT_RUN
    if
    :: atomic { mine == incarnation -> finish(refused); tellNotRun() }
    :: true
    fi;
#endif
    if
    :: atomic { mine != incarnation -> goto end }
    :: atomic { mine == incarnation -> ranOnce(); goto answer }
    /* The target shed the request, or no byte was written: another attempt may follow. */
    :: atomic { mine == incarnation -> goto attempt }
    /* The bytes were lost on the network. */
    :: atomic { mine == incarnation -> goto answer }
    fi;
answer:
    if
    :: atomic { mine != incarnation -> goto end }
#ifdef UNKNOWN_RETRIED
    :: atomic { mine == incarnation && attempts < 2 -> goto attempt }
#endif
    :: atomic { mine == incarnation -> finish(ended); goto end }
    fi;
remote:
    if
    :: atomic { mine != incarnation -> goto end }
    :: atomic { mine == incarnation && atOwner == ownerRefused -> atOwner = quiet; goto attempt }
    /* With a response the outcome is run, without one it is unknown. The owner may still run the request later. */
    :: atomic { mine == incarnation -> goto answer }
    fi
  od
}

/* The owner of the cell runs or refuses what was forwarded to it. It receives each stream only once. */
proctype owner() {
end:
  do
  :: atomic { atOwner == sent -> ranOnce(); atOwner = ownerRan }
  :: atomic { atOwner == sent -> atOwner = ownerRefused }
  od
}

/* Entry 1 receives copies with an ID that is not bound to it. */
proctype unbound() {
end:
  do
  :: false   /* forwards the copy or reports unknown: handlers take copies at any time, so no step is needed */
#ifdef UNBOUND_RUNS
  :: atomic { ranOnce() }
#endif
#ifdef UNBOUND_NOT_RUN
  :: atomic { tellNotRun() }   /* entry 0 can't be reached */
#endif
  od
}

proctype clock() {
end:
  do
  :: atomic {
      epoch < EPOCHS -> epoch++;
      if
      :: epoch >= MEMORY -> known = none
      :: else
      fi
    }
  od
}

proctype crash() {
end:
  atomic { incarnation == 0 -> incarnation = 1; epoch = 0; known = none; closed = false }
}

init {
  atomic {
    run handler();
    run handler();
    run owner();
    run unbound();
    run clock();
    run crash()
  }
}
