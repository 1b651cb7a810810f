/*
 * Takeover of an entry VM: core/tsbudget/commit.go.
 *
 * Three processes run on one machine, one after the other. Each takes over the
 * entry VM from the process that it last read as the current one, draws a lot
 * and uses it. A takeover ends the lots of the previous process, with a charge
 * that covers what that process used, since it is dead. Requests of dead
 * processes may be executed late by a writer that was frozen.
 *
 * Asserted: no running process uses a lot that was ended.
 */
/* check holds: BASE */
/* check fails: FROM_ANY */
/* check fails: NO_STANDING */

#define PROCESSES 3
#define NONE 0		/* no process is registered */

byte standing = NONE;
byte running = 1;
bool lot[PROCESSES + 1];	/* recorded in the holding */
bool drew[PROCESSES + 1];	/* the process considers it held */
bool over = false;

/* A takeover and a report that ends a lot, both held by a frozen writer. */
bool lateTakeover = false, lateReport = false;
byte lateFrom, lateTo, reportOf;

inline takeover(from, to) {
	if
#ifdef FROM_ANY
	:: standing != to ->
		lot[standing] = false; standing = to
#else
	:: standing == from && standing != to ->
		lot[from] = false; standing = to
#endif
	:: else -> skip
	fi
}

inline report(p) {
	if
#ifdef NO_STANDING
	:: true -> lot[standing] = false
#else
	:: standing == p -> lot[p] = false
#endif
	:: else -> skip
	fi
}

active proctype Machine() {
	byte told;
	do
	:: atomic { standing != running -> told = standing }
	:: atomic { standing != running ->
		if
		:: takeover(told, running)
		:: !lateTakeover -> lateTakeover = true; lateFrom = told; lateTo = running
		:: skip
		fi }
	:: atomic { standing == running && !drew[running] -> lot[running] = true; drew[running] = true }
	:: atomic { drew[running] -> assert(lot[running]) }
	:: atomic { drew[running] && !lateReport -> lateReport = true; reportOf = running; running++; told = NONE;
		if
		:: running > PROCESSES -> over = true; break
		:: else -> skip
		fi }
	:: atomic { running < PROCESSES -> running++; told = NONE }
	od
}

active proctype Frozen() {
	do
	:: atomic { lateTakeover -> takeover(lateFrom, lateTo); lateTakeover = false; lateFrom = 0; lateTo = 0 }
	:: atomic { lateReport -> report(reportOf); lateReport = false; reportOf = 0 }
	:: over -> break
	od
}
