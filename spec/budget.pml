/*
 * The budget protocol of core/tsbudget: lots, lost answers, late writes,
 * pauses, closing, returns of lots, and edits of the prepaid amount over the two
 * keys of profile and ledger. README.md maps each step to the code.
 *
 * A process may stop between any two steps, for any time or forever, so pauses
 * and crashes need no separate steps. Every key is changed by compare-and-swap
 * on its version. The answer to a write may be lost, and the write may be
 * applied at any later time while the key still has the expected version. Every
 * write and every dispatch is followed by an assertion.
 *
 * Bounds of PART_LOTS: prepaid 3, two holders with a lot of 2 each (so that
 * only one fits until tokens are returned), one process that closes any open
 * lot, three lost or late writes in total.
 * Bounds of PART_EDITS: prepaid 2 initially, an operator who sets 1 and, in
 * RACE, a second operator who sets 3; in REPAIR, a holder that repairs incomplete
 * edits; a holder that draws up to three lots of 1 while the limit allows it; two
 * lost or late writes in total (one in RACE); at most six read-write turns for
 * each process that edits or repairs.
 */

/* check holds: PART_LOTS */
/* check holds: PART_EDITS RACE MAX_LOST=1 */
/* check holds: PART_EDITS REPAIR */
/* check fails: PART_LOTS NO_COMPARE */
/* check fails: PART_LOTS NO_ROOM_CHECK */
/* check fails: PART_LOTS SPEND_UNCONFIRMED */
/* check fails: PART_LOTS DELTA_RETURN */
/* check fails: PART_LOTS CLOSE_UNCHARGED */
/* check fails: PART_LOTS GIVE_BACK_UNMARKED */
/* check fails: PART_LOTS SAME_INCARNATION */
/* check fails: PART_LOTS SPEND_AFTER_RETURN */
/* check fails: PART_LOTS WITHDRAW_WITHOUT_WRITE */
/* check fails: PART_EDITS RACE NO_PENDING */
/* check fails: PART_EDITS RACE PENDING_KEEPS_ROOM */
/* check fails: PART_EDITS REPAIR CLEAR_AT_BASE MAX_LOST=1 TURNS=3 */
/* check fails: PART_EDITS RACE PROFILE_READ_FIRST */
/* check fails: PART_EDITS RACE RAISE_LEDGER_FIRST MAX_LOST=1 */
/* check fails: PART_EDITS RACE EDIT_WITHOUT_BASE MAX_LOST=1 */
/* check fails: PART_EDITS RACE LOWER_UNCHECKED */

#ifdef PART_LOTS
#define LOT 2
#define PREPAID 3
#define MAX_LOST 3
#define LOTS 2
#define WRITERS 3
#else
#define LOT 1
#define PREPAID 2
#ifndef MAX_LOST
#define MAX_LOST 2
#endif
#ifndef TURNS
#define TURNS 6
#endif
#define LOTS 3
#define WRITERS 4
#define REPAIRER 3
#endif

/* States of a lot. */
#define NONE 0
#define OPEN 1
#define CLOSED 2
#define ENDED 3

/* Outcomes of a write. */
#define OK 1
#define CONFLICT 2
#define UNKNOWN 3

/* Operations on the ledger; IDLE marks an empty slot for a late write. */
#define IDLE 0
#define DRAW 1
#define RETURN 2
#define CLOSE 3
#define TOUCH 4
#define PEND 5
#define CLEAR 6

/* The ledger. */
byte version = 1;
byte prepaid = PREPAID;
byte spent;
byte lot[LOTS];
bool pending;
byte pendingAmount, pendingBase;

/* The profile. */
byte profileVersion = 1;
byte profileAmount = PREPAID;

/* Tokens actually sent to backend servers. */
byte sent;

bool withdrawn[LOTS];
byte lost;

typedef Late { byte kind; byte wanted; byte which; byte x; byte y }
Late late[WRITERS];
Late lateProfile[WRITERS];

#ifdef PART_LOTS
#define open ((lot[0] == OPEN) + (lot[1] == OPEN))
#else
#define open ((lot[0] == OPEN) + (lot[1] == OPEN) + (lot[2] == OPEN))
#endif
#define charged (spent + LOT * open)

#ifdef PENDING_KEEPS_ROOM
#define limit prepaid
#else
#define limit ((pending && pendingAmount < prepaid) -> pendingAmount : prepaid)
#endif

/* seal asserts after every write that the charges are within the prepaid amounts of
   ledger and profile, and that every token sent is charged. */
inline seal() {
	assert(charged <= prepaid);
	assert(charged <= profileAmount);
	assert(sent <= charged)
}

/* apply applies an operation to the ledger, as mutation.go and edit.go do. */
inline apply(op, at, a, b) {
	if
	:: op == DRAW ->
		assert(!withdrawn[at]);
		if
		:: lot[at] == NONE -> lot[at] = OPEN
		:: else
		fi
	:: op == RETURN ->
		if
		:: lot[at] == OPEN -> lot[at] = ENDED; spent = spent + a
		:: lot[at] == CLOSED ->
			spent = spent - (LOT - a);
#ifndef GIVE_BACK_UNMARKED
			lot[at] = ENDED
#endif
		:: else ->
#ifdef DELTA_RETURN
			spent = (spent >= LOT - a -> spent - (LOT - a) : 0)
#else
			skip
#endif
		fi
	:: op == CLOSE ->
		if
		:: lot[at] == OPEN ->
			lot[at] = CLOSED;
#ifndef CLOSE_UNCHARGED
			spent = spent + LOT
#endif
		:: else
		fi
	:: op == TOUCH -> skip
	:: op == PEND -> pending = true; pendingAmount = a; pendingBase = b
	:: op == CLEAR -> pending = false; pendingAmount = 0; pendingBase = 0; prepaid = a
	fi;
	version++;
	seal()
}

/* write is the compare-and-swap of writer w on the ledger. */
inline write(w, op, at, a, b, want, res) {
	atomic {
		if
		:: version != want -> res = CONFLICT
		:: version == want -> apply(op, at, a, b); res = OK
		:: version == want && lost < MAX_LOST -> lost++; apply(op, at, a, b); res = UNKNOWN
		:: lost < MAX_LOST && late[w].kind == IDLE ->
			lost++;
			late[w].kind = op; late[w].wanted = want; late[w].which = at; late[w].x = a; late[w].y = b;
			res = UNKNOWN
		fi
	}
}

/* writeProfile is the compare-and-swap of writer w on the profile. */
inline writeProfile(w, a, want, res) {
	atomic {
		if
		:: profileVersion != want -> res = CONFLICT
		:: profileVersion == want -> profileAmount = a; profileVersion++; seal(); res = OK
		:: profileVersion == want && lost < MAX_LOST -> lost++; profileAmount = a; profileVersion++; seal(); res = UNKNOWN
		:: lost < MAX_LOST && lateProfile[w].kind == IDLE ->
			lost++;
			lateProfile[w].kind = PEND; lateProfile[w].wanted = want; lateProfile[w].x = a;
			res = UNKNOWN
		fi
	}
}

/* Network applies the late writes of writer w at any time. */
proctype Network(byte w) {
end:
	do
	:: atomic {
		late[w].kind != IDLE ->
		if
#ifndef NO_COMPARE
		:: late[w].wanted != version
		:: late[w].wanted == version ->
#else
		:: true ->
#endif
			apply(late[w].kind, late[w].which, late[w].x, late[w].y)
		fi;
		late[w].kind = IDLE; late[w].wanted = 0; late[w].which = 0; late[w].x = 0; late[w].y = 0
	   }
	:: atomic {
		lateProfile[w].kind != IDLE ->
		if
#ifndef EDIT_WITHOUT_BASE
		:: lateProfile[w].wanted != profileVersion
		:: lateProfile[w].wanted == profileVersion ->
#else
		:: true ->
#endif
			profileAmount = lateProfile[w].x; profileVersion++; seal()
		fi;
		lateProfile[w].kind = IDLE; lateProfile[w].wanted = 0; lateProfile[w].x = 0
	   }
	od
}

#ifdef PART_LOTS

/* Holder draws its lot, spends from it in memory, and returns the unused tokens.
   It may stop forever at any step: an enabled step need not be taken. */
proctype Holder(byte i) {
	byte want, res, used, reserved, asked, keep;
	bool drawn;

draw:
	atomic {
		want = version;
		if
		:: lot[i] == OPEN -> goto got
		:: lot[i] == CLOSED -> goto giveback
		:: lot[i] == ENDED -> goto done
#ifdef NO_ROOM_CHECK
		:: lot[i] == NONE
#else
		:: lot[i] == NONE && limit >= charged + LOT
		:: lot[i] == NONE && limit < charged + LOT ->
			if
			:: asked == 0 -> goto done
			:: asked != 0 -> goto withdraw
			fi
#endif
		fi
	};
	asked = want;
	write(i, DRAW, i, 0, 0, want, res);
	if
	:: res == OK -> goto got
	:: res == CONFLICT -> goto draw
	:: res == UNKNOWN -> 
#ifdef SPEND_UNCONFIRMED
		goto got
#else
		if
		:: goto draw
		:: goto withdraw
		fi
#endif
	fi;

withdraw:
	/* The draw is no longer needed: return the lot, or make sure that the draw
	   can never be applied. */
	atomic {
		want = version;
		if
		:: lot[i] == OPEN || lot[i] == CLOSED -> goto giveback
		:: lot[i] == ENDED -> goto done
#ifdef WITHDRAW_WITHOUT_WRITE
		:: lot[i] == NONE -> withdrawn[i] = true; goto done
#else
		:: lot[i] == NONE && want > asked -> withdrawn[i] = true; goto done
		:: lot[i] == NONE && want <= asked
#endif
		fi
	};
	write(i, TOUCH, i, 0, 0, want, res);
	goto withdraw;

got:
	do
	:: used + reserved < LOT ->
		reserved++;
		/* A pause between the check and the dispatch is a pause between
		   these two steps. */
		atomic { sent++; assert(sent <= charged) };
		if
		:: reserved--; used++	/* settled in full */
		:: atomic { reserved--; sent-- }	/* settled as unused */
		:: skip	/* suspended: remains charged */
		fi
	:: goto giveback
#ifdef SAME_INCARNATION
	:: used = 0; reserved = 0; goto got	/* crashed, and the next process takes over the lot */
#endif
	od;

giveback:
	/* Used, reserved and suspended tokens remain charged. */
	atomic {
		want = version;
		if
		:: lot[i] == OPEN || lot[i] == CLOSED
#ifdef DELTA_RETURN
		:: lot[i] == ENDED && res == UNKNOWN
		:: lot[i] == ENDED && res != UNKNOWN -> goto done
#else
		:: lot[i] == ENDED -> goto done
#endif
		:: lot[i] == NONE -> goto done
		fi
	};
	keep = used + reserved;
	write(i, RETURN, i, keep, 0, want, res);
	if
	:: res == OK -> goto done
	:: res != OK -> goto giveback
	fi;

done:
#ifdef SPEND_AFTER_RETURN
	if
	:: !drawn && used + reserved < LOT && lot[i] == ENDED ->
		drawn = true;
		atomic { sent++; assert(sent <= charged) }
	:: skip
	fi
#else
	skip
#endif
}

/* Closer closes open lots, including those of live holders. */
proctype Closer() {
	byte want, res, i;
	do
	:: i < LOTS ->
		atomic { want = version };
		if
		:: lot[i] == OPEN -> write(2, CLOSE, i, 0, 0, want, res)
		:: i++
		fi
	:: i == LOTS -> break
	od
}

init {
	atomic { run Network(0); run Network(1); run Network(2); run Holder(0); run Holder(1); run Closer() }
}

#else

/* Drawer draws lots while the limit allows it. */
proctype Drawer() {
	byte want, res, n;
	do
	:: n < 3 ->
		atomic {
			want = version;
			if
			:: lot[n] != NONE -> n++; goto more
			:: lot[n] == NONE && limit >= charged + LOT
			:: lot[n] == NONE && limit < charged + LOT -> goto out
			fi
		};
		write(0, DRAW, n, 0, 0, want, res);
more:
		skip
	:: n == 3 -> break
	:: break
	od;
out:
	skip
}

/* read reads the ledger first and the profile second. */
inline read() {
#ifdef PROFILE_READ_FIRST
	atomic { v = profileVersion; a = profileAmount };
#endif
	atomic { want = version; p = pending; pa = pendingAmount; pb = pendingBase; pre = prepaid; out = charged };
#ifndef PROFILE_READ_FIRST
	atomic { v = profileVersion; a = profileAmount }
#else
	skip
#endif
}

/* repairStep models PlanRepair; it sets done when no repair is left. */
inline repairStep(w) {
	if
#ifdef CLEAR_AT_BASE
	/* The repairer cancels the edit without making sure that its profile write
	   can no longer be applied. */
	:: p && pb == v && w == REPAIRER -> next = a; write(w, CLEAR, 0, next, 0, want, res)
	:: p && pb == v && w != REPAIRER -> writeProfile(w, pa, v, res)
#else
	:: p && pb == v -> writeProfile(w, pa, v, res)
#endif
	:: p && pb != v -> next = (a >= out -> a : pre); write(w, CLEAR, 0, next, 0, want, res)
	:: !p && a != pre && a >= out -> next = a; write(w, CLEAR, 0, next, 0, want, res)
	:: else -> done = true
	fi
}

/* forget clears the values read, which reduces the number of states. */
inline forget() {
	atomic { want = 0; p = false; pa = 0; pb = 0; pre = 0; out = 0; v = 0; a = 0; res = 0; next = 0 }
}

/* Operator sets the amount, as PlanEdit does. It may terminate at any step. */
proctype Operator(byte w; byte amount) {
	byte want, pa, pb, pre, out, v, a, res, next, base;
	byte turns;
	bool p, done;
	base = profileVersion;
	do
	:: !done && turns < TURNS ->
		turns++;
		read();
		if
		:: v != base -> repairStep(w)
		:: v == base && p -> repairStep(w)
		:: v == base && !p && amount < a ->
#ifdef NO_PENDING
			writeProfile(w, amount, v, res)
#else
			if
#ifdef LOWER_UNCHECKED
			:: true -> write(w, PEND, 0, amount, base, want, res)
#else
			:: amount < out -> done = true	/* refused: the answer has the lowest allowed amount */
			:: amount >= out -> write(w, PEND, 0, amount, base, want, res)
#endif
			fi
#endif
		:: v == base && !p && amount >= a ->
#ifdef RAISE_LEDGER_FIRST
			if
			:: pre < amount -> write(w, CLEAR, 0, amount, 0, want, res)
			:: pre >= amount -> writeProfile(w, amount, v, res)
			fi
#else
			writeProfile(w, amount, v, res)
#endif
		fi;
		forget()
	:: done || turns == TURNS -> break
	:: break	/* terminated */
	od
}

/* Repairer is any holder that finds an incomplete edit. */
proctype Repairer(byte w) {
	byte want, pa, pb, pre, out, v, a, res, next;
	byte turns;
	bool p, done;
	do
	:: !done && turns < TURNS -> turns++; read(); repairStep(w); forget()
	:: done || turns == TURNS -> break
	:: break
	od
}

init {
	atomic { run Network(0); run Network(1); run Network(2); run Network(3);
		run Drawer(); run Operator(1, 1);
#ifdef RACE
		run Operator(2, 3)
#else
		run Repairer(REPAIRER)
#endif
	}
}

#endif
