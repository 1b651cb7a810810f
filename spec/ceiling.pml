/*
 * Ceilings of lots under leases: core/tsbudget/ceiling.go, commit.go.
 *
 * A holder uses a lot. It learns of leases taken by a writer of the ledgers and
 * declares a ceiling: how much of the lot it may use while such a lease lasts.
 * The declaration is stored in the holding with a sequence number. The holder
 * uses no more than the lowest ceiling that may be in effect, and may use the
 * complete lot once all leases that it declared for have certainly ended. It may
 * crash at any moment. The next process on the machine requests a takeover; the
 * writer then checks which leases are alive, and some time later ends the lot.
 * The charge is the declared ceiling, or the complete lot.
 *
 * A request may be lost, left unanswered, or executed late by a writer that was
 * frozen. Either leases do not expire while the store is unreachable, or the
 * time of day jumps back between the processes, but not both in one run.
 *
 * Asserted: the holder never uses more than is charged.
 */
/* check holds: BASE */
/* check fails: NO_TIME */
/* check fails: NO_LEASE */
/* check fails: NO_SEQUENCE */
/* check fails: EAGER */
/* check fails: EARLY */

#define LOT 3		/* tokens of the lot */
#define LENGTH 2	/* ticks of a lease */
#define LAST 5		/* ticks of a run */
#define SENDS 2		/* declarations of a run */
#define LEASES 2	/* leases of a run */

byte now = 0, leaseNow = 0;
bool down = false, paused = false;

/* The store: when each lease ends, and the entry VM's row. */
byte ends[LEASES], granted = 0;
byte rowSequence = 0, rowMost = 0, rowLease = 0, rowSince = 0;

/* A request that a frozen writer holds. */
bool isLate = false;
byte lateSequence, lateMost, lateLease, lateSince;

/* The holder. */
byte used = 0, bound = 0, until = 0, sequence = 0, lease = 0, learned = 0;
bool knows = false, dead = false, ended = false;

inline store(s, c, l, t) {
	if
#ifdef NO_SEQUENCE
	:: true ->
#else
	:: s >= rowSequence ->
#endif
		rowSequence = s; rowMost = c; rowLease = l; rowSince = t
	:: else -> skip
	fi
}

inline tick() {
	if
	:: now < LAST -> now++;
		if
		:: !down -> leaseNow++
		:: else -> paused = true
		fi
	:: else -> skip
	fi
}

/* learn grants a lease; the holder learns of it now or a tick later. */
inline learn() {
	atomic {
		lease = granted; ends[granted] = leaseNow + LENGTH; granted++;
		if
		:: tick()
		:: skip
		fi;
		learned = now; knows = true
	}
}

inline declare() {
	atomic {
		c = used;
		if
		:: c < LOT -> c++
		:: skip
		fi;
		sequence++;
		if
		:: now >= until -> bound = c
		:: else ->
			if
#ifdef EAGER
			:: true -> bound = c
#endif
			:: c < bound -> bound = c
			:: else -> skip
			fi
		fi;
		if
		:: learned + LENGTH > until -> until = learned + LENGTH
		:: else -> skip
		fi;
		if
		:: !down -> store(sequence, c, lease, learned); bound = c	/* answered */
		:: !down -> store(sequence, c, lease, learned)			/* unanswered */
		:: !isLate -> isLate = true; lateSequence = sequence; lateMost = c; lateLease = lease; lateSince = learned
		:: skip								/* lost */
		fi;
		c = 0
	}
}

active proctype Holder() {
	byte c;
	do
	:: dead -> break
	:: !dead && !down && granted < LEASES -> learn()
	:: !dead && knows && sequence < SENDS -> declare()
#ifdef EARLY
	:: atomic { !dead && used < LOT && (now + 1 >= until || used < bound) -> used++ }
#else
	:: atomic { !dead && used < LOT && (now >= until || used < bound) -> used++ }
#endif
	:: atomic { !dead -> dead = true; break }
	od
}

active proctype Network() {
	do
	:: atomic { isLate && !down && !ended -> store(lateSequence, lateMost, lateLease, lateSince); isLate = false }
	:: ended -> break
	od
}

active proctype Clock() {
	do
	:: atomic { now < LAST && !ended -> tick() }
	:: atomic { !ended && !paused && !down -> down = true }
	:: atomic { down -> down = false }
	:: atomic { ended || now >= LAST -> down = false; break }
	od
}

/* The next process on the machine, and the writer that serves it. */
active proctype Successor() {
	byte asked, charged;
	bool alive[LEASES];
	byte i;
	atomic {
		dead;
		asked = now;
		if
		:: !paused && !down -> asked = rowSince	/* the time of day jumped back */
		:: skip
		fi
	}
	atomic {
		!down;
		for (i : 0 .. LEASES - 1) {
			alive[i] = (i < granted && leaseNow < ends[i])
		}
	}
	atomic {
		!down;
		charged = LOT;
		if
#ifdef NO_TIME
		:: rowSequence > 0 && alive[rowLease] ->
#else
#ifdef NO_LEASE
		:: rowSequence > 0 && asked >= rowSince && asked < rowSince + LENGTH ->
#else
		:: rowSequence > 0 && alive[rowLease] && asked >= rowSince && asked < rowSince + LENGTH ->
#endif
#endif
			charged = rowMost
		:: else -> skip
		fi;
		ended = true;
		assert(used <= charged)
	}
}
