/*
 * Claims on one non-idempotent call: the call runs at most once, and an attempt
 * reported as "not run" never ran.
 *
 * ATTEMPTS attempts, each by a runner with a separate incarnation, claim the
 * call through either of the two owners of its slot, whose copies of the head
 * may be stale. A write may conflict, take effect and lose its answer, or be
 * applied late. A runner may cancel its attempt, or wait forever between any two
 * steps, which also models a crash. Other processes may consider it dead at any
 * time, look up the call, and settle it; an operator may report that the call
 * did not run.
 *
 * Each switch removes one mechanism; spin must then find a counterexample:
 *   NO_CAS           a write does not check the version of the head
 *   NO_GUARD         Dispatch does not check that the claim is still held
 *   NO_CLAIM         a call is sent although its claim was not confirmed
 *   NO_BIND          an outcome is applied to any claim that is current
 *   OTHERS_ABANDON   the claim of a runner considered dead is abandoned
 *   NOT_FOUND_FREES  a call that the service has no record of is abandoned
 *   DOUBT_LIFTED     "not held" also resolves a call in doubt
 *   PERSON_FREES     an operator's "not run" lets retries run the call
 *   LATE_RECORD      a runner records its claim after the write, not before
 *   FORGET_EARLY     a runner drops its record before the outcome is written
 * REDELIVER adds an owner that processes a claim again after the process that
 * requested it has left.
 */
/* check holds: CLAIM_BASE */
/* check holds: REDELIVER */
/* check fails: NO_CAS */
/* check fails: NO_GUARD */
/* check fails: NO_CLAIM */
/* check fails: NO_BIND ATTEMPTS=3 */
/* check fails: OTHERS_ABANDON */
/* check fails: NOT_FOUND_FREES */
/* check fails: DOUBT_LIFTED */
/* check fails: PERSON_FREES */
/* check fails: LATE_RECORD */
/* check fails: FORGET_EARLY */
#ifndef ATTEMPTS
#define ATTEMPTS 2
#endif
#define OWNERS   2
#define NONE     255

mtype = { ABSENT, OPEN, DONE, DOUBT, ABANDONED, NOTRUN };
mtype = { CLAIM, COMPLETE, ABANDON, NOTHELD, DOUBTS, RESOLVE, REFUSE };

/* The head's entry of the call in the store. */
mtype state = ABSENT;
byte  claim = NONE;

/* The copy of each owner. Instead of a version, stale shows that the head was
   written after the copy was read. A stale copy that is not final leads to a
   read whatever its content, so it is cleared to reduce the number of states. */
bool  stale[OWNERS];
mtype seen_state[OWNERS];
byte  seen_claim[OWNERS];

/* One write in flight. */
bool  held = false;
mtype held_state;
byte  held_claim;

/* What the runners have recorded and reported to callers. */
bool record[ATTEMPTS];   /* the process holds a record of the claim */
bool told_not_run[ATTEMPTS];

/* The service. */
byte runs = 0;
bool ran_by[ATTEMPTS];
#ifdef REDELIVER
bool asked[ATTEMPTS];     /* the claim was requested from an owner */
bool redelivered = false; /* an owner processed the claim again after its requester left */
#endif

/* Used only inside atomic steps, so they are not part of the state. */
hidden mtype nst;
hidden byte  ncl;
hidden byte  changed;
hidden mtype ignored_state;
hidden byte  ignored_claim;
hidden byte  i;

/* next computes the entry after an operation; changed reports whether the
   operation changes it. It mirrors core/tsclaim transit and settle. */
inline next(op, c, st, cl, nst, ncl, changed) {
	nst = st; ncl = cl; changed = false;
	if
	:: op == CLAIM ->
		if
		:: st == ABSENT || (st == ABANDONED && cl != c) -> nst = OPEN; ncl = c; changed = true
		:: else
		fi
#ifdef NO_BIND
	:: op != CLAIM && st != ABSENT ->
#else
	:: op != CLAIM && st != ABSENT && cl == c ->
#endif
		if
		:: (op == COMPLETE || op == RESOLVE) && (st == OPEN || st == DOUBT || st == NOTRUN) -> nst = DONE; changed = true
		:: op == ABANDON && (st == OPEN || st == DOUBT) -> nst = ABANDONED; changed = true
#ifdef DOUBT_LIFTED
		:: op == NOTHELD && (st == OPEN || st == DOUBT) -> nst = ABANDONED; changed = true
#else
		:: op == NOTHELD && st == OPEN -> nst = ABANDONED; changed = true
#endif
		:: op == DOUBTS && st == OPEN -> nst = DOUBT; changed = true
#ifdef PERSON_FREES
		:: op == REFUSE && st == DOUBT -> nst = ABANDONED; changed = true
#else
		:: op == REFUSE && st == DOUBT -> nst = NOTRUN; changed = true
#endif
		:: else
		fi
	:: else
	fi
}

/* write stores an entry in the head, which makes every copy stale. */
inline write(st, cl) {
	state = st; claim = cl;
#ifndef NO_CAS
	held = false; held_state = 0; held_claim = 0; /* it can no longer be applied */
#endif
	for (i : 0 .. OWNERS - 1) {
		stale[i] = true;
#ifndef NO_CAS
		if
		:: seen_state[i] != DONE -> seen_state[i] = ABSENT; seen_claim[i] = NONE
		:: else
		fi
#endif
	}
}

inline read(o) {
	stale[o] = false; seen_state[o] = state; seen_claim[o] = claim
}

/* commit applies an operation through owner o: tsupdate over the owner's copy.
   If the operation changes nothing, the answer comes from a copy that was read
   during this commit or that is final. rst and rcl return the entry after the
   operation. ok is false if the owner abandoned the operation, which may then
   still be applied later. */
inline commit(op, c, o, ok, rst, rcl) {
	ok = false; fresh = false;
	do
	:: atomic {
		next(op, c, seen_state[o], seen_claim[o], nst, ncl, changed);
		if
		:: !changed && (fresh || seen_state[o] == DONE) -> ok = true; rst = nst; rcl = ncl; break
		:: !changed && !fresh && seen_state[o] != DONE -> skip /* read again */
		:: changed ->
			if
#ifdef NO_CAS
			:: true ->
#else
			:: !stale[o] ->
#endif
				write(nst, ncl);
				if
				:: ok = true; rst = nst; rcl = ncl; read(o); break
				:: skip /* the answer is lost: read again */
				fi
			:: !stale[o] && !held ->
				/* in flight: read again, or abandon the operation */
				held = true; held_state = nst; held_claim = ncl
			:: stale[o] -> skip /* conflict */
			fi
		fi
	   }
	   if
	   :: atomic { fresh = true; read(o) }
	   :: break /* abandons the operation */
	   fi
	od;
	atomic { o = 0; fresh = false }
}

/* refuse drops the record, which blocks the dispatch, and reports to the caller
   that the call was not run. */
inline refuse(c) {
	record[c] = false; told_not_run[c] = true; assert(!ran_by[c])
}

/* pick chooses one of the two owners. */
inline pick(o) { if :: o = 0 :: o = 1 fi }

proctype Runner(byte c) {
	byte o, cl; mtype st, op; bool ok, fresh;
	atomic {
#ifndef LATE_RECORD
		record[c] = true;
#endif
#ifdef REDELIVER
		asked[c] = true;
#endif
		pick(o)
	}
	commit(CLAIM, c, o, ok, st, cl);
	atomic {
#ifdef LATE_RECORD
		record[c] = true;
#endif
		if
		:: ok && st == OPEN && cl == c -> skip
		:: ok && st == DONE -> assert(runs == 1); record[c] = false; goto end
		:: ok && !(st == OPEN && cl == c) && st != DONE -> record[c] = false; goto end
#ifndef NO_CLAIM
		:: !ok -> refuse(c); goto end
#else
		:: !ok -> skip
#endif
		fi;
		st = 0; cl = 0
	};
	/* Dispatch: the guard check, then the send at any later time. Before the
	   guard another thread may cancel the call, because of a drain or because
	   the caller has left. */
	atomic {
		if
		:: skip
		:: refuse(c); op = ABANDON
		fi
	};
	atomic {
		if
		:: record[c] -> skip
#ifdef NO_GUARD
		:: !record[c] -> skip
#else
		:: !record[c] -> goto outcome
#endif
		fi
	};
	atomic {
		if
		:: runs++; ran_by[c] = true; assert(runs == 1); assert(!told_not_run[c]); op = COMPLETE
		:: runs++; ran_by[c] = true; assert(runs == 1); assert(!told_not_run[c]); op = DOUBTS
		:: op = DOUBTS /* lost in transit: the runner cannot determine whether it ran */
		:: refuse(c); op = ABANDON /* refused by the service */
		fi
	};
#ifdef FORGET_EARLY
	record[c] = false;
#endif
outcome:
	pick(o);
	commit(op, c, o, ok, ignored_state, ignored_claim);
	/* The record is kept until the outcome is written. */
	atomic {
		if
		:: ok -> record[c] = false
		:: !ok && op != ABANDON -> goto outcome
		:: !ok && op == ABANDON
		fi
	};
end:
	atomic { o = 0; cl = 0; st = 0; op = 0; ok = false; fresh = false }
}

/* Other is any other process or person that changes the entry: a retry that
   queries the runner, the resolver, an operator, and an owner that still
   processes a claim whose requester has left. */
proctype Other() {
	byte o, c; mtype op; bool ok, fresh;
	do
	:: atomic {
		if
		:: state == OPEN || state == DOUBT -> c = claim;
			if
			:: !record[c] -> op = NOTHELD /* the queried runner reports this */
			:: ran_by[c] -> op = RESOLVE /* found at the service */
#ifdef OTHERS_ABANDON
			:: op = ABANDON /* the runner is considered dead, rightly or not */
#else
			:: op = DOUBTS /* the runner is considered dead, rightly or not */
#endif
#ifdef NOT_FOUND_FREES
			:: runs == 0 && state == DOUBT -> op = ABANDON
#endif
			:: runs == 0 -> op = REFUSE
			fi
#ifdef REDELIVER
		:: asked[0] && !redelivered -> redelivered = true; op = CLAIM; c = 0
#endif
		fi;
		pick(o)
	   };
	   commit(op, c, o, ok, ignored_state, ignored_claim);
	   atomic { op = 0; c = 0; ok = false }
	:: break
	od
}

proctype Network() {
	do
	:: atomic { held ->
		nst = held_state; ncl = held_claim;
		held = false; held_state = 0; held_claim = 0;
		write(nst, ncl) }
	:: break
	od
}

init {
	atomic {
		for (i : 0 .. OWNERS - 1) { seen_state[i] = ABSENT; seen_claim[i] = NONE }
		for (i : 0 .. ATTEMPTS - 1) { run Runner(i) }
		run Other(); run Network();
		i = 0
	}
}
