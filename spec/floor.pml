/*
 * Ejection and the floor when the views of entries differ (design page, sections 8 and 9).
 *
 * Each of ENTRIES entries may own the only cell; entry 0 ranks highest. Only an exclusive owner ejects.
 * In the model, "sole" means exclusive. Links are cut and restored one way at a time, and entries are
 * paused at any time.
 *
 * Time passes in ticks without end. Within a tick every entry that is not paused first receives what was
 * sent in the last tick, or nothing if the link is cut. Then it determines its ownership and ejects as
 * much as the rules allow. All periods are smaller than in the product and keep their order:
 * SUSPECT + 1 < SETTLE, HANDOVER > SETTLE. Go: fleet (Membership.canBeExclusive, View.Ownership), pool
 * (Cell.blockingReason, Cell.enforceFloor).
 *
 * The fleet list may wrongly drop one of the entries, and each entry sees that at any time or never. It
 * does not drop both: each side of a partition would then learn from its list that the other is gone.
 *
 * Safety: the ejections of all entries that are not paused never leave fewer targets than FLOOR.
 *
 * Faulty variants, each of which breaks safety:
 *   KEEP_EJECTED      an entry that loses exclusive ownership keeps its targets ejected
 *   CONTESTED_EJECTS  a contested owner ejects too
 *   NO_HANDOVER       a new owner is exclusive at once
 *   NO_LINKS          exclusive ownership does not need two-way links with all entries
 *   NO_DOUBT          a resumed entry trusts its old ownership
 */
#define ENTRIES 2
#define TARGETS 4
#define FLOOR 2
#define SUSPECT 1   /* ticks without a heartbeat until a link is silent */
#define SETTLE 4    /* ticks for which the link must have been two-way */
#define HANDOVER 5  /* ticks until an owner may be exclusive */
#define FAULTS 5    /* total of cuts, restored links, pauses and resumptions, at any times */

#define ALL 15       /* all targets */
#define HALF 3       /* a set of as many targets as may be ejected */

byte faultsLeft = FAULTS;
bool cut[ENTRIES];        /* whether what entry i sends is lost */
bool sentHears[ENTRIES];  /* whether entry i reported in the last tick that it hears the other one */
bool sent[ENTRIES];
bool sentClaim[ENTRIES];
byte silent[ENTRIES];     /* ticks since entry i heard the other one, up to SUSPECT + 1 */
bool heardBy[ENTRIES];    /* the other one reported that it hears entry i */
bool claimed[ENTRIES];    /* the other one claimed the cell in its latest heartbeat */
byte owned[ENTRIES];      /* ticks for which entry i has been the owner, up to HANDOVER */
byte linked[ENTRIES];     /* ticks for which the link has been two-way, up to SETTLE */
byte ejected[ENTRIES];    /* bit set of targets */
byte paused[ENTRIES];     /* 1: paused */
bool late[ENTRIES];       /* entry i was paused since its last tick */
byte dropped;             /* 1 + the entry that the fleet list dropped; 0: none */
bool sees[ENTRIES];       /* entry i has read the list that drops one */

#define twoWay(i) (silent[i] <= SUSPECT && heardBy[i])
#define count(s) ((s & 1) + ((s >> 1) & 1) + ((s >> 2) & 1) + ((s >> 3) & 1))

byte me, other, lost;
bool owner, sole;

/* Faults between two ticks, as many as are left. */
inline faults() {
	do
	:: faultsLeft > 0 -> faultsLeft--;
		if
		:: cut[0] = !cut[0]
		:: cut[1] = !cut[1]
		:: dropped == 0 -> dropped = 1
		:: dropped == 0 -> dropped = 2
		:: dropped > 0 && !sees[0] -> sees[0] = 1
		:: dropped > 0 && !sees[1] -> sees[1] = 1
		:: paused[0] = !paused[0]; late[0] = 1
		:: paused[1] = !paused[1]; late[1] = 1
		fi
	:: break
	od
}

inline receive() {
	if
	:: sent[other] ->
		silent[me] = 0; heardBy[me] = sentHears[other]; claimed[me] = sentClaim[other]
	:: else ->
		if
		:: silent[me] <= SUSPECT -> silent[me]++
		:: else -> claimed[me] = 0  /* a claim that is not repeated expires */
		fi
	fi
}

/* An entry that was paused restarts its periods. Until its next tick it counts as contested at most. */
inline resume() {
	if
	:: late[me] ->
		late[me] = 0;
#ifndef NO_DOUBT
		owned[me] = 0; linked[me] = 0
#endif
	:: else
	fi
}

inline judge() {
	/* Entry 0 ranks above entry 1, which owns the cell only if it does not count entry 0 as live. */
	owner = (me == 0 || !twoWay(me));
	if
	:: owner && owned[me] < HANDOVER -> owned[me]++
	:: !owner -> owned[me] = 0
	:: else
	fi;
	if
	:: twoWay(me) && linked[me] < SETTLE -> linked[me]++
	:: !twoWay(me) -> linked[me] = 0
	:: else
	fi;
	sole = owner && !claimed[me];
#ifndef NO_HANDOVER
	sole = sole && owned[me] >= HANDOVER;
#endif
#ifndef NO_LINKS
	sole = sole && ((twoWay(me) && linked[me] >= SETTLE) || (sees[me] && dropped == other + 1 && silent[me] > SUSPECT));
	sole = sole && !(sees[me] && dropped == me + 1);
#endif
}

/* Ejects as many targets as the local floor allows. Only the two extreme choices are explored: disjoint sets. */
inline eject() {
	if
	:: sole ->
		if
		:: ejected[me] = ALL - HALF
		:: ejected[me] = HALF
		fi
	:: else ->
#ifdef CONTESTED_EJECTS
		if
		:: owner -> ejected[me] = ALL - HALF
		:: else -> ejected[me] = 0
		fi
#else
#ifndef KEEP_EJECTED
		ejected[me] = 0
#else
		skip
#endif
#endif
	fi
}

/* lost: the targets that entries which are not paused keep out of service. */
inline check() {
	lost = 0;
	if :: !paused[0] -> lost = lost | ejected[0] :: else fi;
	if :: !paused[1] -> lost = lost | ejected[1] :: else fi;
	assert(TARGETS - count(lost) >= FLOOR)
}

inline tick(i) {
	me = i; other = 1 - i;
	if
	:: !paused[me] ->
		resume();
		receive();
		judge();
		eject()
	:: else
	fi
}

inline send(i) {
	sent[i] = !paused[i] && !cut[i];
	sentHears[i] = silent[i] <= SUSPECT;
	sentClaim[i] = owned[i] > 0
}

init {
	/* At the start all periods have passed and entry 0 is the exclusive owner. */
	d_step {
		heardBy[0] = 1; heardBy[1] = 1;
		owned[0] = HANDOVER; linked[0] = SETTLE; linked[1] = SETTLE;
		sent[0] = 1; sent[1] = 1; sentHears[0] = 1; sentHears[1] = 1; sentClaim[0] = 1
	}
	do
	:: atomic {
		faults();
		tick(0);
		tick(1);
		d_step {
			send(0); send(1); check();
			owner = 0; sole = 0; lost = 0; me = 0; other = 0
		}
	}
	od
}
