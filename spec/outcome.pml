/*
 * Outcome of one non-idempotent request with a caller's key: I6 and I7.
 *
 * Two owners (claims) of one shard with two workers. Time is only the confirm
 * window: the end of a window clears what confirms an owner. See README.md for
 * what is left out.
 */

#define NE 2
#define NW 2
#ifndef RESTARTS
#define RESTARTS 1 /* restarts of worker processes */
#endif
#ifndef ATTEMPTS0
#define ATTEMPTS0 2 /* starts that the first owner sends, at most 2 */
#endif
#ifndef ATTEMPTS1
#define ATTEMPTS1 1 /* starts that the second owner sends, at most 2 */
#endif
#define ATTEMPTS 2
#define attemptLimit(e) ((e) == 0 -> ATTEMPTS0 : ATTEMPTS1)

/* States of the request at an owner; names as in core/chart/charts/task.json.
   UNSEEN: no record. */
#define GONE 0
#define UNSEEN 1
#define RECOVERING 2
#define LOGGING 3
#define QUEUED 4
#define STARTING 5
#define UNCERTAIN 6
#define CLOSING 7
#define ENDEDRAN 8
#define ENDEDNOTRUN 9

#define ix(e, w) ((e) * NW + (w))

/* The domain's stream: claims, the intent and the end of the request. */
byte claims = 0;
bool released = false;
bool intent = false;
bool closed = false;

/* Owners. */
byte state[NE];
bool handover[NE];
bool mayHaveRun[NE];
byte taskWorker[NE];
byte attempt[NE];
bool logSeen[NE];           /* log read in this window, no newer claim */
bool ack[NE * NW];          /* answer in this window */
bool attachedOnce[NE * NW];
bool complete[NE * NW];
bool witness[NE * NW];
bool newIncarnation[NE * NW];
bool unproved[NE * NW];     /* not confirmed since the process accepted the epoch */

/* Appends under way. */
bool intentSent[NE];
bool endSent[NE];

/* Workers. */
byte workerEpoch[NW];
bool sessionOpen[NW];
bool sessionKnown[NW];
bool recordsKept[NW];       /* records go back long enough */
byte record[NW];            /* highest attempt on record, 0: none */
bool started[NW];           /* that record is of a run */
byte restarts = 0;
byte used = 0;              /* workers that a start was sent to */

/* Starts under way: 0 none, w+1 in the session in force, w+1+NW in an older one.
   A repeat has 2*NW more, and its answer is not taken: each call has one. */
byte startTo[NE * ATTEMPTS];

byte runs = 0;
bool toldNotRun = false;

#ifdef SHORTEST
byte i, j;
#else
hidden byte i, j;
#endif

#define up(e) (state[e] != GONE)
#define owner(e) (claims == (e) + 1)
#define acks(e) ((ack[ix(e,0)] && witness[ix(e,0)]) + (ack[ix(e,1)] && witness[ix(e,1)]))
#if RESTARTS == 0
/* Without restarts the epochs at the workers are fence enough. */
#define confirmed(e) true
#define windows false
#else
#define windows true
#define confirmed(e) (logSeen[e] || 2 * acks(e) > NW)
#endif
#ifdef NO_FENCE
#define accepts(e, w) (sessionOpen[w])
#define inSession(e, w) (up(e) && attachedOnce[ix(e,w)] && sessionOpen[w] && sessionKnown[w])
#define refusesAttach(e, w) false
#define inForce(to) true
#else
#define accepts(e, w) (sessionOpen[w] && workerEpoch[w] == (e) + 1)
#define inSession(e, w) (up(e) && accepts(e, w) && sessionKnown[w])
#define refusesAttach(e, w) (workerEpoch[w] > (e) + 1)
#define inForce(to) (((to) - 1) / NW % 2 == 0)
#endif
#ifdef RESTART_RECONFIRM
#define mayStartOn(e, w) (!unproved[ix(e,w)])
#else
#define mayStartOn(e, w) true
#endif
/* evidenceFresh in core/shard/submit.go */
#define fresh(e) (handover[e] || attachedOnce[ix(e,0)] && attachedOnce[ix(e,1)] && complete[ix(e,0)] && complete[ix(e,1)])

inline setUncertain(e) {
	state[e] = UNCERTAIN;
	taskWorker[e] = NW
}

inline tellNotRun(e) {
	state[e] = ENDEDNOTRUN;
	toldNotRun = true;
	assert(runs == 0) /* I6 */
}

inline stepDown(e) {
	state[e] = GONE;
	handover[e] = false;
	mayHaveRun[e] = false;
	taskWorker[e] = NW;
	attempt[e] = 0;
	logSeen[e] = false;
	for (j : 0 .. NW - 1) {
		ack[ix(e,j)] = false;
		attachedOnce[ix(e,j)] = false;
		complete[ix(e,j)] = false;
		witness[ix(e,j)] = false;
		newIncarnation[ix(e,j)] = false;
		unproved[ix(e,j)] = false
	}
}

inline outdate(w) {
	for (j : 0 .. NE * ATTEMPTS - 1) {
		if
		:: startTo[j] == w + 1 || startTo[j] == w + 1 + 2 * NW -> startTo[j] = startTo[j] + NW
		:: else
		fi
	}
}

inline openSession(e, w) {
	workerEpoch[w] = e + 1;
	sessionOpen[w] = true;
	outdate(w)
}

inline attachAnswered(e, w) {
	sessionKnown[w] = true;
	if
	:: !attachedOnce[ix(e,w)] ->
		complete[ix(e,w)] = recordsKept[w];
		unproved[ix(e,w)] = windows
	:: attachedOnce[ix(e,w)] && newIncarnation[ix(e,w)] ->
		witness[ix(e,w)] = false;
		unproved[ix(e,w)] = true
	:: else
	fi;
	newIncarnation[ix(e,w)] = false;
	attachedOnce[ix(e,w)] = true;
	ack[ix(e,w)] = windows;
	/* reconcile */
	if
	:: record[w] != 0 && started[w] && state[e] != CLOSING && state[e] != ENDEDNOTRUN -> state[e] = ENDEDRAN; taskWorker[e] = NW
	:: state[e] == STARTING && taskWorker[e] == w && record[w] == attempt[e] && !started[w] -> state[e] = QUEUED; taskWorker[e] = NW
	:: state[e] == STARTING && taskWorker[e] == w && record[w] < attempt[e] ->
		mayHaveRun[e] = true;
		setUncertain(e)
	:: else
	fi
}

inline beginOwner(e) {
	handover[e] = released || e == 0;
	released = false;
	taskWorker[e] = NW;
	if
	:: closed -> state[e] = ENDEDNOTRUN
	:: !closed && intent -> state[e] = RECOVERING
	:: else -> state[e] = UNSEEN
	fi;
	if
	:: e == 0 ->
		for (j : 0 .. NW - 1) {
			attachedOnce[ix(e,j)] = true;
			complete[ix(e,j)] = true;
			witness[ix(e,j)] = true;
			workerEpoch[j] = 1;
			sessionOpen[j] = true;
			sessionKnown[j] = true;
			recordsKept[j] = true
		}
	:: else
	fi;
	claims++
}

inline withWorker(e, w) {
	if
	:: d_step { up(e) && !inSession(e, w) && refusesAttach(e, w) -> stepDown(e); skip }
	:: d_step { up(e) && !inSession(e, w) && !refusesAttach(e, w) ->
		openSession(e, w);
		attachAnswered(e, w); skip }
	/* An attach that is delayed or whose answer is lost. */
	:: d_step { e < claims && workerEpoch[w] < e + 1 ->
		openSession(e, w);
		sessionKnown[w] = false; skip }
	:: d_step { windows && inSession(e, w) && !ack[ix(e,w)] -> ack[ix(e,w)] = true; skip }
	/* The workers are alike, so that the n-th one that a start is sent to may
	   be taken as number n. A start: the message waits in startTo while the node is paused. */
	:: d_step { state[e] == QUEUED && confirmed(e) && inSession(e, w) && mayStartOn(e, w) && attempt[e] < attemptLimit(e) && w <= used ->
		used = (w == used -> used + 1 : used);
		startTo[e * ATTEMPTS + attempt[e]] = w + 1;
		attempt[e]++;
		state[e] = STARTING;
		taskWorker[e] = w; skip }
	/* The answer of a start was lost: lookup, then stop before start. */
	:: d_step { state[e] == STARTING && taskWorker[e] == w && inSession(e, w) && record[w] == attempt[e] && started[w] ->
		state[e] = ENDEDRAN;
		taskWorker[e] = NW; skip }
	:: atomic { state[e] == STARTING && taskWorker[e] == w && inSession(e, w) && !(record[w] == attempt[e] && started[w]) ->
		if
		:: record[w] < attempt[e] -> record[w] = attempt[e]; started[w] = false
		:: else
		fi;
		if
		:: state[e] = QUEUED; taskWorker[e] = NW
		:: true
		fi }
	/* The session lapses. */
	:: d_step { sessionOpen[w] && workerEpoch[w] == e + 1 -> sessionOpen[w] = false; sessionKnown[w] = false; outdate(w); skip }
	fi
}

#define msg startTo[(e) * ATTEMPTS + (k)]
#define awaited(e, k, w) (msg <= 2 * NW && state[e] == STARTING && taskWorker[e] == (w) && attempt[e] == (k) + 1)
#ifdef DUPLICATE_START
#define makeRepeat(e, k) true /* the answer of a repeat is taken as well */
#else
#define makeRepeat(e, k) msg = (msg <= 2 * NW -> msg + 2 * NW : msg)
#endif
inline startArrives(e, k) {
	atomic {
		msg != 0 ->
		i = (msg - 1) % NW;
		if
		:: accepts(e, i) && inForce(msg) && record[i] < k + 1 && !(record[i] != 0 && started[i]) ->
			if
			:: record[i] = k + 1;
				started[i] = true;
				runs++;
				assert(runs <= 1);    /* I7 */
				assert(!toldNotRun);  /* I6 */
				if
				:: awaited(e, k, i) -> state[e] = ENDEDRAN; taskWorker[e] = NW
				:: true
				fi;
				if
				:: msg = 0
				:: makeRepeat(e, k) /* a repeat is still under way */
				fi
			:: /* refused for lack of capacity */
				if
				:: awaited(e, k, i) -> state[e] = QUEUED; taskWorker[e] = NW
				:: true
				fi;
#ifdef DUPLICATE_START
				if
				:: msg = 0
				:: true
				fi
#else
				msg = 0
#endif
			fi
		:: accepts(e, i) && inForce(msg) && !(record[i] < k + 1 && !(record[i] != 0 && started[i])) ->
			msg = 0
		:: !(accepts(e, i) && inForce(msg)) ->
			if
			:: awaited(e, k, i) -> state[e] = QUEUED; taskWorker[e] = NW
			:: true
			fi;
			msg = 0
		fi;
		i = 0
	}
}

inline beginClose(e) {
#ifdef CLOSE_WITHOUT_LOG
	tellNotRun(e)
#else
	state[e] = CLOSING;
	endSent[e] = true
#endif
}

inline ownerAlone(e) {
	if
	:: d_step { up(e) && claims > e + 1 -> stepDown(e); skip }
	:: d_step { windows && up(e) && owner(e) && (!logSeen[e] || !witness[ix(e,0)] || !witness[ix(e,1)] || unproved[ix(e,0)] || unproved[ix(e,1)]) ->
		logSeen[e] = true;
		for (j : 0 .. NW - 1) {
			witness[ix(e,j)] = attachedOnce[ix(e,j)];
			unproved[ix(e,j)] = false
		} skip }
	/* The request, or a repeat of it, reaches this owner; without the log it
	   is queued at once. */
	:: d_step { state[e] == UNSEEN && fresh(e) -> state[e] = LOGGING; intentSent[e] = true }
	:: d_step { state[e] == UNSEEN && fresh(e) -> state[e] = QUEUED }
	/* A cancellation of a request that has not been seen closes it. */
	:: d_step { state[e] == UNSEEN && fresh(e) -> beginClose(e); skip }
	/* The append was answered after its offset was read, or timed out. */
	:: d_step { state[e] == LOGGING && !intentSent[e] && intent && owner(e) -> state[e] = QUEUED }
	:: d_step { state[e] == LOGGING -> state[e] = QUEUED }
	/* The deadline passes while the request waits. */
	:: d_step { (state[e] == QUEUED || state[e] == LOGGING) && !mayHaveRun[e] -> beginClose(e); skip }
	:: d_step { (state[e] == QUEUED || state[e] == LOGGING) -> setUncertain(e) }
	:: d_step { state[e] == CLOSING && !endSent[e] && closed && owner(e) -> tellNotRun(e); skip }
	:: d_step { state[e] == CLOSING ->
#ifdef NOT_RUN_AFTER_UNKNOWN
		tellNotRun(e);
#else
		setUncertain(e);
#endif
		skip }
	/* The answer of the start is lost for good. */
	:: d_step { state[e] == STARTING ->
#ifdef NOT_RUN_AFTER_UNKNOWN
		state[e] = QUEUED;
		taskWorker[e] = NW;
#else
		mayHaveRun[e] = true;
		setUncertain(e);
#endif
		skip }
	/* Appends take effect only under the epoch in force. */
	:: d_step { intentSent[e] -> intentSent[e] = false; intent = intent || owner(e) }
	:: d_step { intentSent[e] -> intentSent[e] = false }
	:: d_step { endSent[e] -> endSent[e] = false; closed = closed || owner(e) }
	:: d_step { endSent[e] -> endSent[e] = false }
	/* A started request without an intent: intendLater. */
	:: d_step { up(e) && attempt[e] > 0 && !intent && !intentSent[e] -> intentSent[e] = true }
	/* A planned stop, with nothing under way and nothing unlogged. */
	:: d_step { up(e) && owner(e) && claims < NE && !intentSent[e] && !endSent[e] && (attempt[e] == 0 || intent) &&
		(state[e] == UNSEEN || state[e] == RECOVERING || state[e] == UNCERTAIN || state[e] == ENDEDRAN || state[e] == ENDEDNOTRUN) ->
		stepDown(e);
		released = true; skip }
	fi
}

inline restart(w) {
	restarts++;
	sessionOpen[w] = false;
	sessionKnown[w] = false;
	workerEpoch[w] = 0;
	recordsKept[w] = false;
	record[w] = 0;
	started[w] = false;
	for (i : 0 .. NE - 1) { newIncarnation[ix(i,w)] = attachedOnce[ix(i,w)] }
	outdate(w)
}

active proctype world() {
	d_step { beginOwner(0); taskWorker[1] = NW; skip }
end:
	do
	/* The confirm window ends. */
	:: d_step { logSeen[0] || logSeen[1] || ack[0] || ack[1] || ack[2] || ack[3] ->
		for (j : 0 .. NE - 1) { logSeen[j] = false }
		for (j : 0 .. NE * NW - 1) { ack[j] = false } skip }
	:: d_step { claims < NE -> beginOwner(claims); skip }
	:: withWorker(0, 0)
	:: withWorker(0, 1)
	:: withWorker(1, 0)
	:: withWorker(1, 1)
	:: ownerAlone(0)
	:: ownerAlone(1)
	:: startArrives(0, 0)
	:: startArrives(0, 1)
	:: startArrives(1, 0)
	:: startArrives(1, 1)
	:: d_step { restarts < RESTARTS -> restart(0); skip }
	:: d_step { restarts < RESTARTS -> restart(1); skip }
	od
}
