/*
 * Ownership, session leases and restarts of one restartable (batch) task:
 * invariant I2, the task never runs on two workers at once.
 *
 * Owner e is the machine (core/shard) of the claim with epoch e+1. A message
 * that does not come through is an exchange that does not take place, so that
 * cut links, log outages and lost messages need no state. See README.md for
 * what is left out.
 */

#ifndef NE
#define NE 2 /* claims in the log, each by another node */
#endif
#ifndef NW
#define NW 3 /* workers of the shard */
#endif
#ifndef STARTS0
#define STARTS0 1 /* starts that the first owner sends, at most 2 */
#endif
#ifndef STARTS1
#define STARTS1 1 /* starts that the second owner sends, at most 2 */
#endif
#define STARTS 2
#ifndef RESTARTS
#define RESTARTS 1 /* restarts of worker processes */
#endif

/* Durations in ticks. A session may outlive its lease by less than a tick,
   which stands for the drift of the clocks that MARGIN covers. */
#ifndef L
#define L 1
#endif
#ifndef W
#define W 0 /* a confirmation is good until the end of its tick */
#endif
#define MARGIN 1
#define LAPSE (L + MARGIN)
#ifdef NO_LEASE_WAIT
#define TAKEOVER 0
#else
#define TAKEOVER (L + W + MARGIN)
#endif
#define NEVER (L + W + MARGIN + 1)

/* States of the task at an owner; names as in core/chart/charts/task.json. */
#define GONE 0 /* the owner has stepped down or does not exist yet */
#define RECOVERING 1
#define QUEUED 2
#define STARTING 3
#define RUNNING 4

#define ix(e, w) ((e) * NW + (w))
#define attemptBase(e) ((e) * STARTS)
#define startLimit(e) ((e) == 0 -> STARTS0 : STARTS1)
#define NONE NW

/* The log. */
byte claims = 0;
bool released = false;

/* Owners. */
bool handover[NE];
byte logAge[NE];     /* since the last log read that showed no newer claim */
byte majorityAge[NE];
bool recovered[NE];
byte state[NE];
byte taskWorker[NE];
byte attempt[NE];    /* 0: none; attempts of owner e are above attemptBase(e) */
byte starts[NE];
byte heardAge[NE];   /* since the last answer of taskWorker */
bool lapsedLog[NE];  /* log read after heardAge reached LAPSE */
bool lapsedFail[NE]; /* attach to taskWorker failed after that */
bool lapsedAck[NE * NW]; /* answer of a worker after that */
bool attachedOnce[NE * NW];
bool newIncarnation[NE * NW]; /* the worker restarted since */
bool witness[NE * NW];
byte ackAge[NE * NW];

/* Workers. */
byte workerEpoch[NW];
bool sessionOpen[NW];
bool sessionKnown[NW]; /* the owner at workerEpoch has the session's number */
byte lease[NW];        /* ticks that are left */
bool runs[NW];
byte record[NW];       /* highest attempt on record, 0: none */
byte restarts = 0;
byte used = 0;         /* workers that a start was sent to */

/* Messages that are under way: one renewal, and each start.
   startTo: 0 none, w+1 under the session in force, w+1+NW under an older one;
   a repeat has 2*NW more, and its answer is not taken: each call has one. */
byte renewTo = 0;   /* 0 none, else ix(e,w)+1 */
byte echoAge = 0;
byte startTo[NE * STARTS];

/* SMALL leaves out faults that the counterexample of a broken variant does not
   need; its behaviours are some of those of the full model. */
#ifdef SMALL
#define full false
#else
#define full true
#endif

/* Scratch, hidden from the state. */
#ifdef SHORTEST
byte i, j, n;
#else
hidden byte i, j, n;
#endif

#define acks(e) \
	((ackAge[ix(e,0)] <= W && witness[ix(e,0)]) + \
	 (ackAge[ix(e,1)] <= W && witness[ix(e,1)]) + \
	 (ackAge[ix(e,NW-1)] <= W && witness[ix(e,NW-1)] && NW > 2))
#define lapsedAcks(e) \
	((lapsedAck[ix(e,0)] && witness[ix(e,0)]) + \
	 (lapsedAck[ix(e,1)] && witness[ix(e,1)]) + \
	 (lapsedAck[ix(e,NW-1)] && witness[ix(e,NW-1)] && NW > 2))
#define confirmed(e) (logAge[e] <= W || 2 * acks(e) > NW)
#ifdef EXTEND_BEFORE_MAJORITY
#define soleOwner(e) true
#else
#define soleOwner(e) (handover[e] || majorityAge[e] != NEVER)
#endif
#define mayExtend(e) (confirmed(e) && soleOwner(e))
#ifdef NO_RECONFIRM
#define reconfirmed(e) true
#else
#define reconfirmed(e) (lapsedLog[e] || 2 * lapsedAcks(e) > NW)
#endif
#ifdef NO_ECHO
#define extensionAge 0
#else
#define extensionAge echoAge
#endif
/* A start under the session in force is under way to the worker. */
#define meets(to, w) ((to) == (w) + 1 || (to) == (w) + 1 + 2 * NW)
#define expects(w) (meets(startTo[0], w) || meets(startTo[1], w) || meets(startTo[2], w) || meets(startTo[3], w))
#define up(e) (state[e] != GONE)
#define onWorker(e) (state[e] == STARTING || state[e] == RUNNING)
#define lapsed(e) (onWorker(e) && heardAge[e] == LAPSE)
#define allAttached(e) (attachedOnce[ix(e,0)] && attachedOnce[ix(e,1)] && attachedOnce[ix(e,NW-1)])
#define majority(e) (2 * (attachedOnce[ix(e,0)] + attachedOnce[ix(e,1)] + (NW > 2 && attachedOnce[ix(e,NW-1)])) > NW)

#ifdef NO_FENCE
#define accepts(e, w) (sessionOpen[w])
#define inSession(e, w) (up(e) && attachedOnce[ix(e,w)] && sessionOpen[w] && sessionKnown[w])
#define refusesAttach(e, w) false
#define inForce(to) true
#else
#define accepts(e, w) (sessionOpen[w] && workerEpoch[w] == (e) + 1)
/* The owner has a session at the worker that is in force. */
#define inSession(e, w) (up(e) && accepts(e, w) && sessionKnown[w])
#define refusesAttach(e, w) (workerEpoch[w] > (e) + 1)
#define inForce(to) (((to) - 1) / NW % 2 == 0)
#endif
inline clearLapse(e) {
	lapsedLog[e] = false;
	lapsedFail[e] = false;
	for (j : 0 .. NW - 1) { lapsedAck[ix(e,j)] = false }
}

inline offWorker(e) {
	taskWorker[e] = NONE;
	heardAge[e] = 0;
	clearLapse(e)
}

inline placeOn(e, w, age) {
	offWorker(e);
	taskWorker[e] = w;
	heardAge[e] = age
}

inline stepDown(e) {
	offWorker(e);
	state[e] = GONE;
	handover[e] = false;
	logAge[e] = 0;
	majorityAge[e] = 0;
	recovered[e] = false;
	attempt[e] = 0;
	starts[e] = 0;
	for (j : 0 .. NW - 1) {
		attachedOnce[ix(e,j)] = false;
		newIncarnation[ix(e,j)] = false;
		witness[ix(e,j)] = false;
		ackAge[ix(e,j)] = 0
	}
}

/* machine.go requeue: an inherited task waits for the takeover. */
inline requeue(e) {
	offWorker(e);
	if
	:: recovered[e] -> state[e] = QUEUED
	:: else -> state[e] = RECOVERING
	fi
}

inline acknowledge(e, w) {
	ackAge[ix(e,w)] = 0;
	if
	:: onWorker(e) && taskWorker[e] == w ->
		heardAge[e] = 0;
		clearLapse(e)
	:: else ->
		lapsedAck[ix(e,w)] = lapsed(e)
	fi
}

/* Starts and renewals that carry the number of an older session. */
inline outdate(w) {
	if
	:: renewTo != 0 && (renewTo - 1) % NW == w -> renewTo = 0; echoAge = 0
	:: else
	fi;
	for (j : 0 .. NE * STARTS - 1) {
		if
		:: startTo[j] == w + 1 || startTo[j] == w + 1 + 2 * NW -> startTo[j] = startTo[j] + NW
		:: else
		fi
	}
}

inline lapseSession(w) {
	sessionOpen[w] = false;
	sessionKnown[w] = false;
	lease[w] = 0;
	runs[w] = false
}

/* The worker's part of an attach. */
inline openSession(e, w) {
	workerEpoch[w] = e + 1;
	if
	:: !sessionOpen[w] || !runs[w] -> lease[w] = L
	:: else
	fi;
	sessionOpen[w] = true;
	outdate(w)
}

/* What an attach tells of the task: reconcile and reported in core/shard. */
inline reconcile(e, w) {
	if
	:: record[w] == 0 ->
		if
		:: onWorker(e) && taskWorker[e] == w -> requeue(e)
		:: else
		fi
	:: record[w] != 0 && onWorker(e) && (taskWorker[e] != w || attempt[e] != record[w]) ->
		/* A stray attempt: stopStray, whose command may be lost. */
		if
		:: runs[w] = false
		:: true
		fi
	:: record[w] != 0 && !(onWorker(e) && (taskWorker[e] != w || attempt[e] != record[w])) ->
		if
		:: runs[w] ->
			state[e] = RUNNING;
			attempt[e] = record[w];
			placeOn(e, w, 0)
		:: !runs[w] && onWorker(e) -> requeue(e)
		:: !runs[w] && state[e] == RECOVERING && record[w] > attempt[e] -> attempt[e] = record[w]
		:: else
		fi
	fi
}

inline attachAnswered(e, w) {
	sessionKnown[w] = true;
	if
	:: newIncarnation[ix(e,w)] ->
		newIncarnation[ix(e,w)] = false;
		witness[ix(e,w)] = false
	:: else
	fi;
	attachedOnce[ix(e,w)] = true;
	acknowledge(e, w);
	if
	:: majority(e) && majorityAge[e] == NEVER -> majorityAge[e] = 0
	:: else
	fi;
	reconcile(e, w)
}

inline older(age, limit) {
	if
	:: age < limit -> age++
	:: else
	fi
}

inline tick() {
	if
	:: renewTo != 0 && echoAge == L -> renewTo = 0; echoAge = 0
	:: renewTo != 0 && echoAge < L -> echoAge++
	:: else
	fi;
	for (i : 0 .. NW - 1) {
		if
		/* An idle session that nothing depends on counts as renewed. */
		:: sessionOpen[i] && !runs[i] && !expects(i) -> lease[i] = L
		:: sessionOpen[i] && (runs[i] || expects(i)) && lease[i] == 0 -> lapseSession(i)
		:: sessionOpen[i] && (runs[i] || expects(i)) && lease[i] > 0 -> lease[i]--
		:: else
		fi
	}
	for (i : 0 .. NE - 1) {
		if
		:: up(i) ->
			older(logAge[i], W + 1);
			if
			:: majorityAge[i] < L + W + MARGIN -> majorityAge[i]++
			:: else
			fi;
			for (j : 0 .. NW - 1) { older(ackAge[ix(i,j)], W + 1) }
			if
			:: onWorker(i) ->
				older(heardAge[i], LAPSE)
			:: else
			fi
		:: else
		fi
	}
}

inline beginOwner(e) {
	handover[e] = released || e == 0;
	released = false;
	logAge[e] = W + 1;
	majorityAge[e] = NEVER;
	for (j : 0 .. NW - 1) { ackAge[ix(e,j)] = W + 1 }
	if
	:: e == 0 ->
		/* The first owner has attached to every worker. */
		recovered[e] = true;
		state[e] = QUEUED;
		logAge[e] = 0;
		majorityAge[e] = 0;
		for (j : 0 .. NW - 1) {
			ackAge[ix(e,j)] = 0;
			attachedOnce[ix(e,j)] = true;
			witness[ix(e,j)] = true;
			workerEpoch[j] = 1;
			sessionOpen[j] = true;
			sessionKnown[j] = true;
			lease[j] = L
		}
	:: else ->
		state[e] = RECOVERING
	fi;
	claims++
}

inline checkRuns() {
	n = 0;
	for (j : 0 .. NW - 1) { n = n + runs[j] }
	assert(n <= 1) /* I2 */
}

/* Actions of owner e with worker w. */
inline withWorker(e, w) {
	if
	/* Attach that is answered, refused, or whose answer is lost. The last also
	   stands for a delayed attach, also of an owner that is gone. */
	:: d_step { up(e) && !inSession(e, w) && refusesAttach(e, w) -> stepDown(e); skip }
	:: atomic { up(e) && !inSession(e, w) && !refusesAttach(e, w) ->
		openSession(e, w);
		attachAnswered(e, w) }
	:: d_step { full && e < claims && workerEpoch[w] < e + 1 ->
		openSession(e, w);
		sessionKnown[w] = false; skip }
	/* Renewals: answered with an extension where it is allowed; a copy may stay
	   under way. */
	:: d_step { up(e) && inSession(e, w) ->
		acknowledge(e, w);
		if
		:: mayExtend(e) -> lease[w] = L
		:: else
		fi; skip }
	:: d_step { full && up(e) && inSession(e, w) && mayExtend(e) && ackAge[ix(e,w)] == 0 ->
		renewTo = ix(e,w) + 1;
		echoAge = 0; skip }
	:: d_step { renewTo == ix(e,w) + 1 && accepts(e, w) ->
		if
		:: L - extensionAge > lease[w] -> lease[w] = L - extensionAge
		:: else
		fi;
		renewTo = 0;
		echoAge = 0; skip }
	/* The workers are alike, so that the n-th one that a start is sent to may
	   be taken as number n. A start is sent: checks and sending are apart, because the message waits
	   in startTo as long as the node is paused or the network is slow. */
	:: d_step { state[e] == QUEUED && confirmed(e) && inSession(e, w) && ackAge[ix(e,w)] <= W && starts[e] < startLimit(e) && w <= used ->
		used = (w == used -> used + 1 : used);
		/* The lease of an idle session is not followed; here it is at most that
		   of a renewal at the worker's last answer. */
		if
		:: !runs[w] && !expects(w) -> lease[w] = L - ackAge[ix(e,w)]
		:: else
		fi;
		if
		:: attempt[e] < attemptBase(e) -> attempt[e] = attemptBase(e)
		:: else
		fi;
		attempt[e]++;
		starts[e]++;
		state[e] = STARTING;
		placeOn(e, w, ackAge[ix(e,w)]);
		startTo[e * STARTS + starts[e] - 1] = w + 1 }
	/* The answer of a start was lost: lookup, then stop before start. */
	:: atomic { full && state[e] == STARTING && taskWorker[e] == w && inSession(e, w) ->
		if
		:: record[w] == attempt[e] && runs[w] -> state[e] = RUNNING
		:: record[w] == attempt[e] && !runs[w] -> requeue(e)
		:: record[w] < attempt[e] ->
			runs[w] = false;
			record[w] = attempt[e];
			if
			:: requeue(e)
			:: true /* the answer of the stop is lost */
			fi
		fi }
	/* Stop of a running task (eviction), or the event that it was stopped. */
	:: atomic { full && state[e] == RUNNING && taskWorker[e] == w && inSession(e, w) && record[w] == attempt[e] && starts[e] < startLimit(e) ->
		runs[w] = false;
		if
		:: requeue(e)
		:: true
		fi }
	/* The attach after the end of the lease fails. */
	:: d_step { lapsed(e) && taskWorker[e] == w && !lapsedFail[e] -> lapsedFail[e] = true; skip }
	fi
}

/* A start of owner e with index k of its starts arrives at the worker. */
#define msg startTo[(e) * STARTS + (k)]
#define awaited(e, k, w) (msg <= 2 * NW && state[e] == STARTING && taskWorker[e] == (w) && starts[e] == (k) + 1)
inline startArrives(e, k) {
	atomic {
		msg != 0 ->
		i = (msg - 1) % NW;
		if
		:: accepts(e, i) && inForce(msg) ->
			if
			:: record[i] < attemptBase(e) + k + 1 && !runs[i] ->
				record[i] = attemptBase(e) + k + 1;
				runs[i] = true;
				checkRuns()
			:: else
			fi;
			if
			:: awaited(e, k, i) && runs[i] && record[i] == attempt[e] -> state[e] = RUNNING
			:: true
			fi;
			if
			:: msg = 0
			:: full -> msg = (msg <= 2 * NW -> msg + 2 * NW : msg) /* a repeat is still under way */
			fi
		:: else ->
			if
			:: awaited(e, k, i) -> requeue(e)
			:: true
			fi;
			msg = 0
		fi;
		i = 0
	}
}

inline ownerAlone(e) {
	if
	:: d_step { up(e) && claims > e + 1 -> stepDown(e); skip }
	:: d_step { up(e) && claims == e + 1 ->
		logAge[e] = 0;
		lapsedLog[e] = lapsed(e);
		for (j : 0 .. NW - 1) { witness[ix(e,j)] = attachedOnce[ix(e,j)] }; skip }
	:: d_step { up(e) && !recovered[e] &&
		(handover[e] && allAttached(e) || majorityAge[e] != NEVER && majorityAge[e] >= TAKEOVER) ->
		recovered[e] = true;
		if
		:: state[e] == RECOVERING -> state[e] = QUEUED
		:: else
		fi; skip }
	:: d_step { lapsed(e) && lapsedFail[e] && reconfirmed(e) -> requeue(e); skip }
	/* A planned stop releases the shard once no command is under way. */
	:: d_step { full && up(e) && claims == e + 1 && claims < NE && state[e] != STARTING ->
		stepDown(e);
		released = true; skip }
	fi
}

/* A worker process restarts: it forgets its epoch, tasks and records. */
inline restart(w) {
	lapseSession(w);
	restarts++;
	workerEpoch[w] = 0;
	record[w] = 0;
	for (i : 0 .. NE - 1) { newIncarnation[ix(i,w)] = attachedOnce[ix(i,w)] }
	outdate(w)
}

active proctype world() {
	d_step {
		for (i : 0 .. NE - 1) { taskWorker[i] = NONE }
		beginOwner(0); skip }
end:
	do
	:: d_step { tick(); skip }
	:: d_step { claims < NE && (full || runs[0]) -> beginOwner(claims); skip }
	:: withWorker(0, 0)
	:: withWorker(0, 1)
	:: withWorker(0, NW - 1)
	:: withWorker(1, 0)
	:: withWorker(1, 1)
	:: withWorker(1, NW - 1)
	:: ownerAlone(0)
	:: ownerAlone(1)
	:: startArrives(0, 0)
	:: startArrives(0, STARTS - 1)
	:: startArrives(1, 0)
	:: startArrives(1, STARTS - 1)
	/* A session ends within the tick after its lease. */
	:: d_step { sessionOpen[0] && lease[0] == 0 && (runs[0] || expects(0)) -> lapseSession(0); skip }
	:: d_step { sessionOpen[1] && lease[1] == 0 && (runs[1] || expects(1)) -> lapseSession(1); skip }
	:: d_step { sessionOpen[NW-1] && lease[NW-1] == 0 && (runs[NW-1] || expects(NW-1)) -> lapseSession(NW-1); skip }
	:: d_step { restarts < RESTARTS -> restart(0); skip }
	:: d_step { restarts < RESTARTS -> restart(1); skip }
	:: d_step { restarts < RESTARTS -> restart(NW - 1); skip }
	od
}
