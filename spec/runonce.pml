/*
 * One run per id (design page, section 10): package notice, entry/bind.go, entry/place.go.
 *
 * One id, bound to incarnation 0 of entry 0 in epoch 0. Other ids do not influence it, but for a full
 * register, which may happen at any admission. Callers send copies of the request to both entries; a
 * copy that exists, also one that entry 1 forwards, is delivered at any later time and any number of
 * times or never, which covers loss, duplication, reordering, delay and partition. Every process may
 * stop between any two steps for as long as it likes, which covers pauses, also between the last check
 * and the write. Entry 0 crashes at any time and starts again as incarnation 1 with an empty register
 * and its epochs from 0. The owner of the cell is a third entry or entry 0 itself.
 *
 * Bounds: 2 handlers at entry 0, 2 incarnations, epochs 0..EPOCHS, 2 attempts for each admission.
 * Admission lasts 2 epochs as in the product; the memory is 3 epochs instead of 10.
 *
 * Mapping: admit = Register.Admit and Register.advance; finish = Register.Finish; handler = runBound,
 * runOnce, place and attempt; unbound = forwardToBound; owner = answerPeer with ForwardPlace.
 *
 * Safety: the id runs at most once, and never when "not run" was or will be told.
 *
 * Macros switch off one rule each: see runonce.faulty.
 */
#define EPOCHS 4
#define ADMIT 2
#ifdef SHORT_MEMORY
#define MEMORY 1
#else
#define MEMORY 3
#endif

mtype = { none, running, refused, ended };          /* what the register knows of the id */
mtype = { quiet, sent, ownerRan, ownerRefused };    /* the request that was forwarded to the owner */

mtype known = none;
bool closed;       /* the register was full in the id's epoch */
byte incarnation;
byte epoch;
mtype atOwner = quiet;

byte ran;
bool told;         /* "not run" was told for the id */

inline ranOnce() { ran++; assert(ran <= 1 && !told) }
inline tellNotRun() { told = true; assert(ran == 0) }

/* A run that the register has forgotten, or one of a former incarnation, leaves no trace. */
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

/* Serves a copy at entry 0, from a caller or from entry 1. It ends when its incarnation crashes. */
proctype handler() {
  byte mine, attempts;
end:
  do
  :: atomic {
      mine = incarnation;
      attempts = 0;
#ifndef INCARNATION_IGNORED
      if
      :: incarnation != 0 -> goto end   /* the id is not bound to this process: unknown */
      :: else
      fi;
#endif
      if
      :: known == running -> goto end   /* waits for the run that goes on */
      :: known == ended -> goto end  /* the kept answer, or unknown */
      :: known == refused -> tellNotRun(); goto end
      :: known == none && epoch >= 3 -> goto end   /* older than the memory: unknown */
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
    /* The checks have passed; the process may be paused here. */
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
    /* The bytes were lost on their way. */
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
    /* The answer came, or nothing came: the outcome is run or unknown. The owner may act later. */
    :: atomic { mine == incarnation -> goto answer }
    fi
  od
}

/* The owner of the cell runs what was forwarded to it, or refuses it. A stream is not repeated. */
proctype owner() {
end:
  do
  :: atomic { atOwner == sent -> ranOnce(); atOwner = ownerRan }
  :: atomic { atOwner == sent -> atOwner = ownerRefused }
  od
}

/* Entry 1 gets copies for an id that is not bound to it. */
proctype unbound() {
end:
  do
  :: false   /* forwards the copy, or says unknown: handlers take copies at any time anyway */
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
