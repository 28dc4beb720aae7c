/*
 * The protocol of an entry node that runs on the platform (core/ownership and
 * core/scheduler): claims and records in the store, fencing tokens and leases at
 * the workers, for one task, two nodes and two workers.
 *
 * Checks that the task never runs in two places at the same time, and never starts
 * again once its completion as done has been acknowledged to the worker.
 *
 * Abstractions: a claim, an append and a worker heartbeat are atomic. A start is a
 * message that may be carried out late or never. A lease is a flag; its expiry
 * clears the flag and terminates the attempt. A lease has certainly expired if the
 * flag is clear and no start is in flight. A completion counts only if it is stored
 * before the lease expires. Variants, each of which must fail:
 *   NO_TOKEN        workers carry out starts with a lower fencing token
 *   NO_EPOCH        the store accepts records of a replaced owner
 *   START_FIRST     a start is sent before its placement is stored
 *   NO_LEASE_WAIT   an attempt on an unreachable worker is given up without waiting
 *                   for the lease to expire
 *   FORGET_FIRST    a worker is told to forget a completion before it is stored
 *   NO_STOP         a start without an answer is given up without a stop
 */
#define WORKERS 2
#define NONE 3
#define MAX_ATTEMPTS 3
#define MAX_TOKENS 3

/* The store: the fencing token of the newest claim, and the newest state record of
 * the task. */
byte token = 0;
byte placedOn = NONE;
byte placedBy = 0;
byte lastAttempt = 0;
bool done = false;

/* The workers: highest token seen, executing attempt (0: none), highest attempt that
 * finished or was stopped, attempt that finished as done and is reported in
 * heartbeats (0: none), lease. */
byte highestToken[WORKERS];
byte running[WORKERS];
byte highestFinished[WORKERS];
byte doneAttempt[WORKERS];
bool lease[WORKERS];
bool acknowledged = false;

/* Starts in flight, one for each node and worker: attempt (0: none), token. */
byte startAttempt[4];
byte startToken[4];

#define ix(n, w) ((n) * WORKERS + (w))

#ifdef NO_TOKEN
#define acceptsToken(n, w) true
#else
#define acceptsToken(n, w) (startToken[ix(n, w)] >= highestToken[w])
#endif

inline executeStart(n, w) {
	if
	:: acceptsToken(n, w) && startAttempt[ix(n, w)] > highestFinished[w] && running[w] == 0 ->
		if
		:: startToken[ix(n, w)] > highestToken[w] -> highestToken[w] = startToken[ix(n, w)]
		:: else -> skip
		fi;
		assert(!acknowledged);
		assert(running[1 - w] == 0);
		running[w] = startAttempt[ix(n, w)];
		lease[w] = true
	:: else -> skip
	fi;
	startAttempt[ix(n, w)] = 0
}

proctype Worker(byte w) {
end:	do
	:: atomic { startAttempt[ix(0, w)] > 0 -> if :: executeStart(0, w) :: startAttempt[ix(0, w)] = 0 fi }
	:: atomic { startAttempt[ix(1, w)] > 0 -> if :: executeStart(1, w) :: startAttempt[ix(1, w)] = 0 fi }
	:: atomic { running[w] > 0 -> doneAttempt[w] = running[w]; highestFinished[w] = running[w]; running[w] = 0 }
	:: atomic { lease[w] -> lease[w] = false; doneAttempt[w] = 0;
		if
		:: running[w] > 0 -> highestFinished[w] = running[w]; running[w] = 0
		:: else -> skip
		fi }
	od
}

/* The store accepts this node's records. */
#ifdef NO_EPOCH
#define mayStore true
#else
#define mayStore (myToken == token)
#endif

/* Attempts on an unreachable worker have certainly stopped. */
#ifdef NO_LEASE_WAIT
#define leaseExpired(w) true
#else
#define leaseExpired(w) (!lease[w] && startAttempt[ix(0, w)] == 0 && startAttempt[ix(1, w)] == 0)
#endif

proctype Node(byte n) {
	byte myToken = 0;
	byte w = 0;
	/* The node's job table: read when it claims ownership, and updated with its own
	 * records. */
	byte viewPlacedOn = NONE;
	byte viewPlacedBy = 0;
	byte viewLastAttempt = 0;
	bool viewDone = false;
	bool contacted[WORKERS]; /* the worker has received the current token of this node */
end:	do
	/* The node claims ownership. This fences the previous owner's records, and the
	 * node reads them. */
	:: atomic { (token < MAX_TOKENS && myToken != token) || token == 0 ->
		token++; myToken = token; contacted[0] = false; contacted[1] = false;
		viewPlacedOn = placedOn; viewPlacedBy = placedBy; viewLastAttempt = lastAttempt; viewDone = done }
	/* A heartbeat to a worker: from then on the worker refuses lower tokens. */
	:: atomic { myToken > 0 -> if :: w = 0 :: w = 1 fi;
		if
		:: myToken >= highestToken[w] -> highestToken[w] = myToken; contacted[w] = true
		:: else -> skip
		fi }
	/* A completion is read, stored, and then acknowledged. */
	:: atomic { myToken > 0 && !viewDone -> if :: w = 0 :: w = 1 fi;
		if
		:: myToken >= highestToken[w] && contacted[w] && doneAttempt[w] > 0 ->
#ifdef FORGET_FIRST
			doneAttempt[w] = 0; acknowledged = true;
			if
			:: mayStore -> done = true; viewDone = true
			:: myToken = 0 /* the owner fails in between */
			fi
#else
			if
			:: mayStore -> done = true; viewDone = true; doneAttempt[w] = 0; acknowledged = true
			:: else -> myToken = 0
			fi
#endif
		:: else -> skip
		fi }
	/* A placement is stored, and then its start is sent. */
	:: atomic { myToken > 0 && !viewDone && viewPlacedOn == NONE && viewLastAttempt < MAX_ATTEMPTS -> if :: w = 0 :: w = 1 fi;
		if
		:: contacted[w] && startAttempt[ix(n, w)] == 0 ->
#ifdef START_FIRST
			startAttempt[ix(n, w)] = viewLastAttempt + 1; startToken[ix(n, w)] = myToken;
			if
			:: mayStore -> viewLastAttempt++; viewPlacedOn = w; viewPlacedBy = myToken; placedOn = w; placedBy = myToken; lastAttempt = viewLastAttempt
			:: myToken = 0 /* the owner fails in between */
			fi
#else
			if
			:: mayStore -> viewLastAttempt++; viewPlacedOn = w; viewPlacedBy = myToken; placedOn = w; placedBy = myToken; lastAttempt = viewLastAttempt;
				startAttempt[ix(n, w)] = viewLastAttempt; startToken[ix(n, w)] = myToken
			:: else -> myToken = 0
			fi
#endif
		:: else -> skip
		fi }
	/* An attempt that a worker does not report in its heartbeat is given up. The
	 * worker refuses a late start of a previous owner because of its lower token. An
	 * attempt that this owner started is stopped first. */
	:: atomic { myToken > 0 && !viewDone && viewPlacedOn != NONE && contacted[viewPlacedOn] && myToken >= highestToken[viewPlacedOn] &&
		running[viewPlacedOn] == 0 && doneAttempt[viewPlacedOn] == 0 ->
#ifndef NO_STOP
		if
		:: viewPlacedBy == myToken && highestFinished[viewPlacedOn] < viewLastAttempt -> highestFinished[viewPlacedOn] = viewLastAttempt
		:: else -> skip
		fi;
#endif
		viewPlacedOn = NONE }
	/* An attempt on an unreachable worker is given up once its lease has expired. */
	:: atomic { myToken > 0 && !viewDone && viewPlacedOn != NONE && !contacted[viewPlacedOn] && leaseExpired(viewPlacedOn) -> viewPlacedOn = NONE }
	od
}

init {
	atomic { run Worker(0); run Worker(1); run Node(0); run Node(1) }
}
