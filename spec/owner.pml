/*
 * The protocol on the users' platform: claims and records in the store, fencing
 * tokens and leases at the workers, for one task, two nodes and two workers.
 *
 * Checked: the task never runs in two places at once, and never starts after an
 * end as done was acknowledged to its worker.
 *
 * Abstractions: a claim, an append and a hold are atomic; a start is a message
 * that can be carried out late or never. A lease is a flag that falls when it
 * lapses, which ends the run; "the lease is surely over" is that it has fallen
 * and no start is under way. An end whose lease lapses before it is stored does
 * not count. Variants, each of which must fail:
 *   NO_TOKEN        workers carry out starts with a lower token
 *   NO_EPOCH        the store takes records of a replaced owner
 *   START_FIRST     a start is sent before its placement is stored
 *   NO_LEASE_WAIT   a run on a worker that is not reached is given up at once
 *   FORGET_FIRST    a worker is told to forget an end before it is stored
 *   NO_STOP         a start without an answer is given up without a stop
 */
#define WORKERS 2
#define NONE 3
#define MAXRUN 3
#define MAXTOKEN 3

/* The store: the newest claim, and the newest state record of the task. */
byte token = 0;
byte placed = NONE;
byte placedBy = 0;
byte lastRun = 0;
bool done = false;

/* The workers: highest token, run (0 for none), highest run that ended or was
 * stopped, run that ended as done and is listed, lease. */
byte seen[WORKERS];
byte running[WORKERS];
byte over[WORKERS];
byte ended[WORKERS];
bool lease[WORKERS];
bool acknowledged = false;

/* Starts under way, one for each node and worker: run (0 for none), token. */
byte startRun[4];
byte startToken[4];

#define at(n, w) ((n) * WORKERS + (w))

#ifdef NO_TOKEN
#define accepts(n, w) true
#else
#define accepts(n, w) (startToken[at(n, w)] >= seen[w])
#endif

inline carryOut(n, w) {
	if
	:: accepts(n, w) && startRun[at(n, w)] > over[w] && running[w] == 0 ->
		if
		:: startToken[at(n, w)] > seen[w] -> seen[w] = startToken[at(n, w)]
		:: else -> skip
		fi;
		assert(!acknowledged);
		assert(running[1 - w] == 0);
		running[w] = startRun[at(n, w)];
		lease[w] = true
	:: else -> skip
	fi;
	startRun[at(n, w)] = 0
}

proctype Worker(byte w) {
end:	do
	:: atomic { startRun[at(0, w)] > 0 -> if :: carryOut(0, w) :: startRun[at(0, w)] = 0 fi }
	:: atomic { startRun[at(1, w)] > 0 -> if :: carryOut(1, w) :: startRun[at(1, w)] = 0 fi }
	:: atomic { running[w] > 0 -> ended[w] = running[w]; over[w] = running[w]; running[w] = 0 }
	:: atomic { lease[w] -> lease[w] = false; ended[w] = 0;
		if
		:: running[w] > 0 -> over[w] = running[w]; running[w] = 0
		:: else -> skip
		fi }
	od
}

/* mayWrite: the store takes this node's records. */
#ifdef NO_EPOCH
#define mayWrite true
#else
#define mayWrite (mine == token)
#endif

/* leaseOver: what ran on a worker that is not reached surely runs no more. */
#ifdef NO_LEASE_WAIT
#define leaseOver(w) true
#else
#define leaseOver(w) (!lease[w] && startRun[at(0, w)] == 0 && startRun[at(1, w)] == 0)
#endif

proctype Node(byte n) {
	byte mine = 0;
	byte w = 0;
	/* The node's book, read when it claimed and changed with its own records. */
	byte bPlaced = NONE;
	byte bBy = 0;
	byte bRun = 0;
	bool bDone = false;
	bool held[WORKERS];
end:	do
	/* Claim; the former owner's records are fenced and read. */
	:: atomic { (token < MAXTOKEN && mine != token) || token == 0 ->
		token++; mine = token; held[0] = false; held[1] = false;
		bPlaced = placed; bBy = placedBy; bRun = lastRun; bDone = done }
	/* Hold a worker: from here on lower tokens are refused there. */
	:: atomic { mine > 0 -> if :: w = 0 :: w = 1 fi;
		if
		:: mine >= seen[w] -> seen[w] = mine; held[w] = true
		:: else -> skip
		fi }
	/* An end is read, stored, and then acknowledged. */
	:: atomic { mine > 0 && !bDone -> if :: w = 0 :: w = 1 fi;
		if
		:: mine >= seen[w] && held[w] && ended[w] > 0 ->
#ifdef FORGET_FIRST
			ended[w] = 0; acknowledged = true;
			if
			:: mayWrite -> done = true; bDone = true
			:: mine = 0 /* the owner dies in between */
			fi
#else
			if
			:: mayWrite -> done = true; bDone = true; ended[w] = 0; acknowledged = true
			:: else -> mine = 0
			fi
#endif
		:: else -> skip
		fi }
	/* A placement is stored, and its start is sent. */
	:: atomic { mine > 0 && !bDone && bPlaced == NONE && bRun < MAXRUN -> if :: w = 0 :: w = 1 fi;
		if
		:: held[w] && startRun[at(n, w)] == 0 ->
#ifdef START_FIRST
			startRun[at(n, w)] = bRun + 1; startToken[at(n, w)] = mine;
			if
			:: mayWrite -> bRun++; bPlaced = w; bBy = mine; placed = w; placedBy = mine; lastRun = bRun
			:: mine = 0 /* the owner dies in between */
			fi
#else
			if
			:: mayWrite -> bRun++; bPlaced = w; bBy = mine; placed = w; placedBy = mine; lastRun = bRun;
				startRun[at(n, w)] = bRun; startToken[at(n, w)] = mine
			:: else -> mine = 0
			fi
#endif
		:: else -> skip
		fi }
	/* A run that a held worker does not list is given up: a former owner's is
	 * fenced there, and this owner's own is stopped first. */
	:: atomic { mine > 0 && !bDone && bPlaced != NONE && held[bPlaced] && mine >= seen[bPlaced] &&
		running[bPlaced] == 0 && ended[bPlaced] == 0 ->
#ifndef NO_STOP
		if
		:: bBy == mine && over[bPlaced] < bRun -> over[bPlaced] = bRun
		:: else -> skip
		fi;
#endif
		bPlaced = NONE }
	/* A run on a worker that is not reached is given up when its lease is over. */
	:: atomic { mine > 0 && !bDone && bPlaced != NONE && !held[bPlaced] && leaseOver(bPlaced) -> bPlaced = NONE }
	od
}

init {
	atomic { run Worker(0); run Worker(1); run Node(0); run Node(1) }
}
