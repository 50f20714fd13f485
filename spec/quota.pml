/*
 * The credit of one account when processes are killed, frozen and split (docs/design/quotas.md).
 *
 * Each of three entries may own the account; of the entries that it hears, the lowest owns it. An owner that hears a
 * majority fills its bucket with one request a tick up to CAPACITY, and hands out all of it or nothing to any entry that
 * has it for the owner. Credit can be spent in the tick in which it was granted and in the next VALID ticks. In the
 * model heartbeats come every tick, and SUSPECT - RECENT ticks stand for the margin by which an owner learns of its
 * isolation before its peers. A cut works in both directions, so that no two owners hand out credit at the same time; the
 * product has a reserve for that. Spending without an owner is left out: each entry's part is a bucket of its own. Go: quota
 * (Ledger, Spender), fleet (LinkCounter).
 *
 * Safety: in no window of WINDOW ticks, begun at any time, more than BOUND requests run.
 *
 * Faulty variants, each of which breaks safety:
 *   NO_EXPIRY    credit stays valid
 *   FULL_START   a new owner, or a new process, starts with a full bucket
 *   NO_RESUME    a resumed process trusts its links and has filled its bucket meanwhile
 *   NO_MAJORITY  an owner needs no links with a majority
 */
#define ENTRIES 3
#define CAPACITY 3
#define WINDOW 4
#define VALID 1
#define BOUND (CAPACITY + WINDOW + VALID)
#define RECENT 1
#define SUSPECT 2
#define SETTLE 2   /* ticks for which a new or resumed process hands out nothing */
#define FAULTS 4

byte faultsLeft = FAULTS;
byte part[ENTRIES];        /* the part of the fleet in which an entry is */
bool frozen[ENTRIES];
byte silent0[ENTRIES], silent1[ENTRIES], silent2[ENTRIES];  /* ticks since entry i heard 0, 1, 2 */
byte level[ENTRIES];
bool owns[ENTRIES];
byte settle[ENTRIES];
byte held[ENTRIES];        /* credit that entry i holds */
byte age[ENTRIES];
byte ticks;                /* of the window; 0: not begun */
byte ran;

byte i, j, to, heard;

#define hears(a, b) (a == b || (part[a] == part[b] && !frozen[b]))
#define owner(a) ((a == 0 || silent0[a] <= SUSPECT) -> 0 : ((a == 1 || silent1[a] <= SUSPECT) -> 1 : 2))
#define up(x, most) ((x) < (most) -> (x) + 1 : (most))

inline restart(e) {
	silent0[e] = SUSPECT + 1; silent1[e] = SUSPECT + 1; silent2[e] = SUSPECT + 1;
	owns[e] = 0; level[e] = 0; settle[e] = SETTLE; held[e] = 0; age[e] = 0; frozen[e] = 0
}

inline resume(e) {
	frozen[e] = 0;
#ifndef NO_RESUME
	silent0[e] = SUSPECT + 1; silent1[e] = SUSPECT + 1; silent2[e] = SUSPECT + 1;
	owns[e] = 0; level[e] = 0; settle[e] = SETTLE
#else
	level[e] = CAPACITY
#endif
}

inline faults() {
	do
	:: faultsLeft > 0 -> faultsLeft--;
		if
		:: d_step { part[0] = 0; part[1] = 1; part[2] = 1 }
		:: d_step { part[0] = 0; part[1] = 1; part[2] = 2 }
		:: d_step { part[0] = 0; part[1] = 0; part[2] = 1 }
		:: d_step { part[0] = 0; part[1] = 0; part[2] = 0 }
		:: d_step { restart(0) }
		:: d_step { restart(0); restart(1); restart(2) }
		:: !frozen[0] -> frozen[0] = 1
		:: frozen[0] -> d_step { resume(0) }
		:: !frozen[1] -> frozen[1] = 1
		:: frozen[1] -> d_step { resume(1) }
		fi
	:: break
	od
}

/* All entries that run hear those of their part, then judge whether they own the account. */
inline judge() {
	d_step {
		for (i : 0 .. ENTRIES - 1) {
			if
			:: !frozen[i] ->
				silent0[i] = (hears(i, 0) -> 0 : up(silent0[i], SUSPECT + 1));
				silent1[i] = (hears(i, 1) -> 0 : up(silent1[i], SUSPECT + 1));
				silent2[i] = (hears(i, 2) -> 0 : up(silent2[i], SUSPECT + 1));
				heard = (silent0[i] <= RECENT) + (silent1[i] <= RECENT) + (silent2[i] <= RECENT);
#ifdef NO_MAJORITY
				heard = ENTRIES;
#endif
				if
				:: owner(i) == i && heard > ENTRIES / 2 && settle[i] == 0 ->
					if
#ifdef FULL_START
					:: !owns[i] -> level[i] = CAPACITY
#else
					:: !owns[i] -> level[i] = 0
#endif
					:: else -> level[i] = up(level[i], CAPACITY)
					fi;
					owns[i] = 1
				:: else -> owns[i] = 0; level[i] = 0
				fi;
				if
				:: settle[i] > 0 -> settle[i]--
				:: else
				fi
			:: else
			fi;
#ifndef NO_EXPIRY
			/* The clock by which credit expires does not stand still while a process is frozen. */
			if
			:: held[i] > 0 && age[i] >= VALID -> held[i] = 0; age[i] = 0
			:: held[i] > 0 -> age[i]++
			:: else
			fi;
#endif
		}
	}
}

inline spend(e) {
	if
	:: held[e] > 0 && !frozen[e] ->
		if
		:: d_step { ran = (ticks > 0 -> ran + held[e] : 0); held[e] = 0; age[e] = 0 }
		:: skip
		fi
	:: else
	fi
}

/* An owner hands out its whole credit to an entry that has none and reaches it, or keeps it. */
inline grant(e) {
	if
	:: owns[e] && !frozen[e] && level[e] > 0 ->
		if
		:: skip
		:: held[e] == 0 -> d_step { held[e] = level[e]; level[e] = 0; age[e] = 0 }
		:: held[2] == 0 && e != 2 && !frozen[2] && part[2] == part[e] && owner(2) == e ->
			d_step { held[2] = level[e]; level[e] = 0; age[2] = 0 }
		fi
	:: else
	fi
}

active proctype fleet() {
	d_step {
		for (i : 0 .. ENTRIES - 1) {
			silent0[i] = 0; silent1[i] = 0; silent2[i] = 0
		}
		owns[0] = 1; level[0] = CAPACITY; i = 0
	}
	do
	:: atomic {
		faults();
		judge();
		/* The window begins at any time. */
		if
		:: ticks == 0 && faultsLeft < FAULTS -> ticks = 1
		:: ticks > 0 -> ticks++
		:: ticks == 0
		fi;
		if
		:: ticks > WINDOW -> break
		:: else
		fi;
		spend(0); spend(1); spend(2);
		grant(0); grant(1); grant(2);
		spend(0); spend(1); spend(2);
		assert(ran <= BOUND);
		i = 0; heard = 0
	}
	od
}
