/*
 * Ceilings of lots under a lease: core/tsbudget/ceiling.go, io/tsholder/exchanger.go.
 *
 * A holder uses two lots; the second one is drawn later. It publishes how far
 * each may be used under a key with a lease of the store, keeps to that while
 * the key may be there, and uses all of its lots once the key has certainly
 * lapsed. It may draw the second lot and list it in one transaction. It may
 * die at any moment. The next process on the machine looks for
 * the key and, where it is there, ends the lots with the ceilings as charge.
 *
 * Writes may be lost, answered, unanswered, or carried out late while their
 * condition and their lease hold. Time is one counter that all read alike; the
 * holder learns of a lease some time after the store granted it.
 *
 * Asserted: what was used is never more than what is charged.
 *
 */
/* check holds: BASE */
/* check fails: EAGER */
/* check fails: EARLY */
/* check fails: UNLISTED */
/* check fails: RENEW */
/* check fails: NO_CONDITION */

#define LOT 2		/* tokens of each lot */
#define LENGTH 2	/* ticks of a lease */
#define LAST 5		/* ticks of a run */
#define SENDS 3		/* documents of a run */
#define NONE 7		/* no late write */

byte now = 0;

/* The store: the key's revision, ceilings and the end of its lease. */
byte revision = 0, ends = 0, stored[2];
bool present = false;

/* The late write: its condition, ceilings and the end of its lease. */
byte lateWant = NONE, late[2], lateEnds;
bool lateKeep = false;

/* The holder. */
byte used[2], bound[2], until = 0, sends = 0;
bool drawn = false, dead = false, ended = false;

#define LAPSED (present && now >= ends)
#define LIFTED (now >= until)
#ifdef EARLY
#define FREE (now + 1 >= until)
#else
#define FREE LIFTED
#endif

inline expire() {
	if
	:: LAPSED -> present = false; revision++
	:: else -> skip
	fi
}

/* store carries out a write if its condition and its lease hold. */
inline store(want, c0, c1, e, done) {
	expire();
	done = false;
	if
#ifdef NO_CONDITION
	:: now < e ->
#else
	:: want == revision && now < e ->
#endif
		present = true; revision++; stored[0] = c0; stored[1] = c1; ends = e; done = true
	:: else -> skip
	fi
}

inline lower(i, c) {
	if
	:: c < bound[i] -> bound[i] = c
	:: else -> skip
	fi
}

/* publish takes a lease, which the answer tells a little later, and sends the
 * ceilings. */
inline publish() {
	atomic {
		expire();
		want = revision;
		e = now + LENGTH;
#ifdef RENEW
		if
		:: present && !lateKeep ->
			/* The last lease is renewed; without an answer this may happen late. */
			e = ends;
			if
			:: ends = now + LENGTH; e = ends
			:: lateKeep = true
			fi
		:: else -> skip
		fi;
#endif
		lapse = e;
		if
		:: now < LAST -> now++; lapse = e + 1
		:: skip
		fi
	}
	atomic {
		c0 = used[0]; c1 = 0;
		if
		:: c0 < LOT -> c0++
		:: else -> skip
		fi;
		if
		:: drawn -> c1 = used[1];
			if
			:: c1 < LOT -> c1++
			:: else -> skip
			fi
		:: !drawn -> c1 = 1; joint = true	/* the transaction draws the second lot, too */
		:: !drawn -> skip
		fi;
		/* Sending */
		if
		:: LIFTED -> bound[0] = c0; bound[1] = c1
		:: else -> lower(0, c0); lower(1, c1)
		fi;
#ifdef EAGER
		bound[0] = c0; bound[1] = c1;
#endif
		if
		:: lapse > until -> until = lapse
		:: else -> skip
		fi;
		sends++;
		if
		:: skip; store(want, c0, c1, e, done);
			if
			:: done -> bound[0] = c0; bound[1] = c1;	/* Sent */
				drawn = drawn || joint
			:: else -> skip
			fi
		:: skip; store(want, c0, c1, e, done)		/* unanswered */
		:: lateWant == NONE -> lateWant = want; late[0] = c0; late[1] = c1; lateEnds = e
		:: skip						/* lost */
		fi;
		c0 = 0; c1 = 0; want = 0; e = 0; lapse = 0; done = false; joint = false
	}
}

inline use(i) {
	atomic {
		if
		:: used[i] < LOT && (FREE || used[i] < bound[i]) -> used[i]++
#ifdef UNLISTED
		:: i == 1 && drawn && used[i] < LOT -> used[i]++
#endif
		:: else -> skip
		fi
	}
}

active proctype Holder() {
	byte want, e, lapse, c0, c1;
	bool done, joint;
	do
	:: dead -> break
	:: !dead && sends < SENDS -> publish()
	:: !dead -> use(0)
	:: !dead && drawn -> use(1)
	:: !dead && !drawn -> drawn = true
	:: !dead -> atomic { dead = true; break }
	od
}

/* The network carries out what came late. */
active proctype Network() {
	bool done;
	do
	:: atomic { lateWant != NONE -> store(lateWant, late[0], late[1], lateEnds, done); lateWant = NONE; done = false }
	:: atomic { lateKeep -> expire();
		if
		:: present -> ends = now + LENGTH
		:: else -> skip
		fi;
		lateKeep = false }
	:: ended -> break
	od
}

active proctype Clock() {
	do
	:: atomic { now < LAST && !ended -> now++ }
	:: ended || now >= LAST -> break
	od
}

/* The next process on the machine. */
active proctype Successor() {
	byte charged0, charged1;
	atomic {
		dead;
		expire();
		charged0 = LOT; charged1 = LOT;
		if
		:: present -> charged0 = stored[0]; charged1 = stored[1]
		:: else -> skip
		fi;
		ended = true;
		assert(used[0] <= charged0);
		assert(used[1] <= charged1)
	}
}
