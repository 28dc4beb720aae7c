/*
 * Ownership, session leases and restarts of one restartable (batch) task.
 * Checks invariant I2: the task never runs on two workers at the same time.
 *
 * Owner e is the state machine (core/shard) of the claim with epoch e+1. A
 * message that is lost is modelled as an exchange that does not take place, so
 * that cut links, log outages and lost messages need no state. README.md lists
 * what the model leaves out.
 */

#ifndef NE
#define NE 2 /* claims in the log, each by a different node */
#endif
#ifndef NW
#define NW 3 /* workers of the shard */
#endif
#ifndef STARTS0
#define STARTS0 1 /* maximum number of starts that the first owner sends, at most 2 */
#endif
#ifndef STARTS1
#define STARTS1 1 /* maximum number of starts that the second owner sends, at most 2 */
#endif
#define STARTS 2 /* size of the arrays of starts, for each owner */
#ifndef RESTARTS
#define RESTARTS 1 /* maximum number of restarts of worker processes */
#endif

/* Durations in ticks. A session may outlive its lease by less than a tick, which
   models the clock drift that CLOCK_DRIFT_MARGIN covers. */
#ifndef L
#define L 1 /* lease duration */
#endif
#ifndef W
#define W 0 /* confirmation window; 0: a confirmation is valid until the end of its tick */
#endif
#define CLOCK_DRIFT_MARGIN 1
#define LEASE_EXPIRY_WAIT (L + CLOCK_DRIFT_MARGIN)
#ifdef NO_LEASE_WAIT
#define TAKEOVER_WAIT 0
#else
#define TAKEOVER_WAIT (L + W + CLOCK_DRIFT_MARGIN)
#endif
#define NEVER (L + W + CLOCK_DRIFT_MARGIN + 1) /* majorityAttachedAge before a majority is attached */

/* States of the task at an owner; names as in core/chart/charts/task.json. */
#define INACTIVE 0 /* the owner has stepped down or has not claimed yet */
#define RECOVERING 1
#define QUEUED 2
#define STARTING 3
#define RUNNING 4

#define ix(e, w) ((e) * NW + (w))
#define attemptBase(e) ((e) * STARTS)
#define startLimit(e) ((e) == 0 -> STARTS0 : STARTS1)
#define NONE NW /* no worker */

/* The log. */
byte claims = 0;
bool released = false;

/* Owners. Ages are in ticks. */
bool handover[NE];                 /* the previous owner released the shard */
byte logReadAge[NE];               /* since the last log read that showed no newer claim */
byte majorityAttachedAge[NE];      /* since a majority of the workers is attached */
bool recovered[NE];                /* tasks that no worker has reported certainly run nowhere */
byte state[NE];
byte taskWorker[NE];
byte attempt[NE];                  /* attempt number, 0: none; those of owner e are above attemptBase(e) */
byte startsSent[NE];
byte taskAnswerAge[NE];            /* since the last answer of taskWorker */
bool logReadSinceExpiry[NE];       /* the log was read after the lease expired */
bool attachFailedSinceExpiry[NE];  /* an attach to taskWorker failed after that */
bool answeredSinceExpiry[NE * NW]; /* the worker answered after that */
bool attachedOnce[NE * NW];
bool newIncarnation[NE * NW];      /* the worker has restarted since it was attached */
bool isWitness[NE * NW];           /* the worker's answers confirm ownership; see isWitness in core/shard */
byte answerAge[NE * NW];           /* since the last answer of the worker */

/* Workers. */
byte workerEpoch[NW];
bool sessionOpen[NW];
bool sessionKnown[NW];    /* the owner with epoch workerEpoch knows the session's number */
byte lease[NW];           /* remaining ticks */
bool running[NW];
byte recordedAttempt[NW]; /* highest attempt number in the worker's records, 0: none */
byte restarts = 0;
byte usedWorkers = 0;     /* number of workers that a start was sent to */

/* Messages in flight: one renewal, and each start.
   startTo: 0 none, w+1 in the current session of worker w, w+1+NW in an older
   session. A repeated delivery has 2*NW more; its answer is ignored, because each
   call has one answer. */
byte renewalTo = 0; /* 0: none, otherwise ix(e,w)+1 */
byte echoAge = 0;   /* age of the answer that this renewal extends the lease from */
byte startTo[NE * STARTS];

/* SMALL leaves out faults that the counterexample of a broken variant does not
   need. Its behaviours are a subset of those of the full model. */
#ifdef SMALL
#define allFaults false
#else
#define allFaults true
#endif

/* Temporary variables, hidden from the state vector. */
#ifdef SHORTEST
byte i, j, n;
#else
hidden byte i, j, n;
#endif

#define recentAnswers(e) \
	((answerAge[ix(e,0)] <= W && isWitness[ix(e,0)]) + \
	 (answerAge[ix(e,1)] <= W && isWitness[ix(e,1)]) + \
	 (answerAge[ix(e,NW-1)] <= W && isWitness[ix(e,NW-1)] && NW > 2))
#define answersSinceExpiry(e) \
	((answeredSinceExpiry[ix(e,0)] && isWitness[ix(e,0)]) + \
	 (answeredSinceExpiry[ix(e,1)] && isWitness[ix(e,1)]) + \
	 (answeredSinceExpiry[ix(e,NW-1)] && isWitness[ix(e,NW-1)] && NW > 2))
#define isConfirmed(e) (logReadAge[e] <= W || 2 * recentAnswers(e) > NW)
#ifdef EXTEND_BEFORE_MAJORITY
#define isSoleOwner(e) true
#else
#define isSoleOwner(e) (handover[e] || majorityAttachedAge[e] != NEVER)
#endif
#define mayExtendLeases(e) (isConfirmed(e) && isSoleOwner(e))
#ifdef NO_RECONFIRM
#define isConfirmedSinceExpiry(e) true
#else
#define isConfirmedSinceExpiry(e) (logReadSinceExpiry[e] || 2 * answersSinceExpiry(e) > NW)
#endif
#ifdef NO_ECHO
#define extensionAge 0
#else
#define extensionAge echoAge
#endif
/* A start in the worker's current session is in flight to the worker. */
#define isStartTo(to, w) ((to) == (w) + 1 || (to) == (w) + 1 + 2 * NW)
#define expectsStart(w) (isStartTo(startTo[0], w) || isStartTo(startTo[1], w) || isStartTo(startTo[2], w) || isStartTo(startTo[3], w))
#define isActive(e) (state[e] != INACTIVE)
#define isOnWorker(e) (state[e] == STARTING || state[e] == RUNNING)
#define leaseExpired(e) (isOnWorker(e) && taskAnswerAge[e] == LEASE_EXPIRY_WAIT)
#define hasAttachedToAll(e) (attachedOnce[ix(e,0)] && attachedOnce[ix(e,1)] && attachedOnce[ix(e,NW-1)])
#define majorityAttached(e) (2 * (attachedOnce[ix(e,0)] + attachedOnce[ix(e,1)] + (NW > 2 && attachedOnce[ix(e,NW-1)])) > NW)

#ifdef NO_FENCE
#define acceptsCommands(e, w) (sessionOpen[w])
#define inSession(e, w) (isActive(e) && attachedOnce[ix(e,w)] && sessionOpen[w] && sessionKnown[w])
#define refusesAttach(e, w) false
#define isCurrentSession(to) true
#else
#define acceptsCommands(e, w) (sessionOpen[w] && workerEpoch[w] == (e) + 1)
/* The owner has the worker's current session. */
#define inSession(e, w) (isActive(e) && acceptsCommands(e, w) && sessionKnown[w])
#define refusesAttach(e, w) (workerEpoch[w] > (e) + 1)
#define isCurrentSession(to) (((to) - 1) / NW % 2 == 0)
#endif
inline clearExpiry(e) {
	logReadSinceExpiry[e] = false;
	attachFailedSinceExpiry[e] = false;
	for (j : 0 .. NW - 1) { answeredSinceExpiry[ix(e,j)] = false }
}

inline clearPlacement(e) {
	taskWorker[e] = NONE;
	taskAnswerAge[e] = 0;
	clearExpiry(e)
}

inline setPlacement(e, w, age) {
	clearPlacement(e);
	taskWorker[e] = w;
	taskAnswerAge[e] = age
}

inline stepDown(e) {
	clearPlacement(e);
	state[e] = INACTIVE;
	handover[e] = false;
	logReadAge[e] = 0;
	majorityAttachedAge[e] = 0;
	recovered[e] = false;
	attempt[e] = 0;
	startsSent[e] = 0;
	for (j : 0 .. NW - 1) {
		attachedOnce[ix(e,j)] = false;
		newIncarnation[ix(e,j)] = false;
		isWitness[ix(e,j)] = false;
		answerAge[ix(e,j)] = 0
	}
}

/* requeue in core/shard/worker.go. A task of an earlier owner is queued only after
   the takeover wait. */
inline requeue(e) {
	clearPlacement(e);
	if
	:: recovered[e] -> state[e] = QUEUED
	:: else -> state[e] = RECOVERING
	fi
}

inline recordAnswer(e, w) {
	answerAge[ix(e,w)] = 0;
	if
	:: isOnWorker(e) && taskWorker[e] == w ->
		taskAnswerAge[e] = 0;
		clearExpiry(e)
	:: else ->
		answeredSinceExpiry[ix(e,w)] = leaseExpired(e)
	fi
}

/* A new session of worker w: starts in flight to it are marked as sent in an older
   session, and a renewal in flight is dropped. */
inline outdateMessages(w) {
	if
	:: renewalTo != 0 && (renewalTo - 1) % NW == w -> renewalTo = 0; echoAge = 0
	:: else
	fi;
	for (j : 0 .. NE * STARTS - 1) {
		if
		:: startTo[j] == w + 1 || startTo[j] == w + 1 + 2 * NW -> startTo[j] = startTo[j] + NW
		:: else
		fi
	}
}

inline expireSession(w) {
	sessionOpen[w] = false;
	sessionKnown[w] = false;
	lease[w] = 0;
	running[w] = false
}

/* The worker's side of an attach. */
inline openSession(e, w) {
	workerEpoch[w] = e + 1;
	if
	:: !sessionOpen[w] || !running[w] -> lease[w] = L
	:: else
	fi;
	sessionOpen[w] = true;
	outdateMessages(w)
}

/* Processes what an attach reports about the task: reconcileTasks and applyStatus
   in core/shard. */
inline reconcileTask(e, w) {
	if
	:: recordedAttempt[w] == 0 ->
		if
		:: isOnWorker(e) && taskWorker[e] == w -> requeue(e)
		:: else
		fi
	:: recordedAttempt[w] != 0 && isOnWorker(e) && (taskWorker[e] != w || attempt[e] != recordedAttempt[w]) ->
		/* A stray attempt: stopStray in core/shard, whose command may be lost. */
		if
		:: running[w] = false
		:: true
		fi
	:: recordedAttempt[w] != 0 && !(isOnWorker(e) && (taskWorker[e] != w || attempt[e] != recordedAttempt[w])) ->
		if
		:: running[w] ->
			state[e] = RUNNING;
			attempt[e] = recordedAttempt[w];
			setPlacement(e, w, 0)
		:: !running[w] && isOnWorker(e) -> requeue(e)
		:: !running[w] && state[e] == RECOVERING && recordedAttempt[w] > attempt[e] -> attempt[e] = recordedAttempt[w]
		:: else
		fi
	fi
}

inline handleAttachAnswer(e, w) {
	sessionKnown[w] = true;
	if
	:: newIncarnation[ix(e,w)] ->
		newIncarnation[ix(e,w)] = false;
		isWitness[ix(e,w)] = false
	:: else
	fi;
	attachedOnce[ix(e,w)] = true;
	recordAnswer(e, w);
	if
	:: majorityAttached(e) && majorityAttachedAge[e] == NEVER -> majorityAttachedAge[e] = 0
	:: else
	fi;
	reconcileTask(e, w)
}

inline incrementAge(age, limit) {
	if
	:: age < limit -> age++
	:: else
	fi
}

inline tick() {
	if
	:: renewalTo != 0 && echoAge == L -> renewalTo = 0; echoAge = 0
	:: renewalTo != 0 && echoAge < L -> echoAge++
	:: else
	fi;
	for (i : 0 .. NW - 1) {
		if
		/* An idle session that no start depends on counts as renewed. */
		:: sessionOpen[i] && !running[i] && !expectsStart(i) -> lease[i] = L
		:: sessionOpen[i] && (running[i] || expectsStart(i)) && lease[i] == 0 -> expireSession(i)
		:: sessionOpen[i] && (running[i] || expectsStart(i)) && lease[i] > 0 -> lease[i]--
		:: else
		fi
	}
	for (i : 0 .. NE - 1) {
		if
		:: isActive(i) ->
			incrementAge(logReadAge[i], W + 1);
			if
			:: majorityAttachedAge[i] < L + W + CLOCK_DRIFT_MARGIN -> majorityAttachedAge[i]++
			:: else
			fi;
			for (j : 0 .. NW - 1) { incrementAge(answerAge[ix(i,j)], W + 1) }
			if
			:: isOnWorker(i) ->
				incrementAge(taskAnswerAge[i], LEASE_EXPIRY_WAIT)
			:: else
			fi
		:: else
		fi
	}
}

inline startOwner(e) {
	handover[e] = released || e == 0;
	released = false;
	logReadAge[e] = W + 1;
	majorityAttachedAge[e] = NEVER;
	for (j : 0 .. NW - 1) { answerAge[ix(e,j)] = W + 1 }
	if
	:: e == 0 ->
		/* The first owner has already attached to all workers. */
		recovered[e] = true;
		state[e] = QUEUED;
		logReadAge[e] = 0;
		majorityAttachedAge[e] = 0;
		for (j : 0 .. NW - 1) {
			answerAge[ix(e,j)] = 0;
			attachedOnce[ix(e,j)] = true;
			isWitness[ix(e,j)] = true;
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

inline assertOneRunning() {
	n = 0;
	for (j : 0 .. NW - 1) { n = n + running[j] }
	assert(n <= 1) /* I2 */
}

/* Actions of owner e with worker w. */
inline stepWithWorker(e, w) {
	if
	/* An attach is refused, is answered, or its answer is lost. The last case also
	   models a delayed attach, including one of an owner that has stepped down. */
	:: d_step { isActive(e) && !inSession(e, w) && refusesAttach(e, w) -> stepDown(e); skip }
	:: atomic { isActive(e) && !inSession(e, w) && !refusesAttach(e, w) ->
		openSession(e, w);
		handleAttachAnswer(e, w) }
	:: d_step { allFaults && e < claims && workerEpoch[w] < e + 1 ->
		openSession(e, w);
		sessionKnown[w] = false; skip }
	/* A renewal is answered, and extends the lease if that is allowed. A copy may
	   stay in flight. */
	:: d_step { isActive(e) && inSession(e, w) ->
		recordAnswer(e, w);
		if
		:: mayExtendLeases(e) -> lease[w] = L
		:: else
		fi; skip }
	:: d_step { allFaults && isActive(e) && inSession(e, w) && mayExtendLeases(e) && answerAge[ix(e,w)] == 0 ->
		renewalTo = ix(e,w) + 1;
		echoAge = 0; skip }
	:: d_step { renewalTo == ix(e,w) + 1 && acceptsCommands(e, w) ->
		if
		:: L - extensionAge > lease[w] -> lease[w] = L - extensionAge
		:: else
		fi;
		renewalTo = 0;
		echoAge = 0; skip }
	/* A start is sent. The workers are symmetric, so the n-th one that a start is
	   sent to can be taken as number n. Checks and arrival are separate steps: the
	   message stays in startTo while the node is paused or the network is slow. */
	:: d_step { state[e] == QUEUED && isConfirmed(e) && inSession(e, w) && answerAge[ix(e,w)] <= W && startsSent[e] < startLimit(e) && w <= usedWorkers ->
		usedWorkers = (w == usedWorkers -> usedWorkers + 1 : usedWorkers);
		/* The lease of an idle session is not tracked. Here it is at most the lease
		   that a renewal at the worker's last answer would give. */
		if
		:: !running[w] && !expectsStart(w) -> lease[w] = L - answerAge[ix(e,w)]
		:: else
		fi;
		if
		:: attempt[e] < attemptBase(e) -> attempt[e] = attemptBase(e)
		:: else
		fi;
		attempt[e]++;
		startsSent[e]++;
		state[e] = STARTING;
		setPlacement(e, w, answerAge[ix(e,w)]);
		startTo[e * STARTS + startsSent[e] - 1] = w + 1 }
	/* The answer of a start was lost: look the task up. If it did not start, stop
	   the attempt, so that the worker refuses a late start. */
	:: atomic { allFaults && state[e] == STARTING && taskWorker[e] == w && inSession(e, w) ->
		if
		:: recordedAttempt[w] == attempt[e] && running[w] -> state[e] = RUNNING
		:: recordedAttempt[w] == attempt[e] && !running[w] -> requeue(e)
		:: recordedAttempt[w] < attempt[e] ->
			running[w] = false;
			recordedAttempt[w] = attempt[e];
			if
			:: requeue(e)
			:: true /* the answer of the stop is lost */
			fi
		fi }
	/* A running task is stopped (eviction), or its stop is reported by an event. */
	:: atomic { allFaults && state[e] == RUNNING && taskWorker[e] == w && inSession(e, w) && recordedAttempt[w] == attempt[e] && startsSent[e] < startLimit(e) ->
		running[w] = false;
		if
		:: requeue(e)
		:: true
		fi }
	/* The attach after the lease expired fails. */
	:: d_step { leaseExpired(e) && taskWorker[e] == w && !attachFailedSinceExpiry[e] -> attachFailedSinceExpiry[e] = true; skip }
	fi
}

/* Start number k of owner e arrives at the worker. */
#define msg startTo[(e) * STARTS + (k)]
#define isAwaited(e, k, w) (msg <= 2 * NW && state[e] == STARTING && taskWorker[e] == (w) && startsSent[e] == (k) + 1)
inline deliverStart(e, k) {
	atomic {
		msg != 0 ->
		i = (msg - 1) % NW;
		if
		:: acceptsCommands(e, i) && isCurrentSession(msg) ->
			if
			:: recordedAttempt[i] < attemptBase(e) + k + 1 && !running[i] ->
				recordedAttempt[i] = attemptBase(e) + k + 1;
				running[i] = true;
				assertOneRunning()
			:: else
			fi;
			if
			:: isAwaited(e, k, i) && running[i] && recordedAttempt[i] == attempt[e] -> state[e] = RUNNING
			:: true
			fi;
			if
			:: msg = 0
			:: allFaults -> msg = (msg <= 2 * NW -> msg + 2 * NW : msg) /* a repeat is still in flight */
			fi
		:: else ->
			if
			:: isAwaited(e, k, i) -> requeue(e)
			:: true
			fi;
			msg = 0
		fi;
		i = 0
	}
}

/* Actions of owner e without a worker. */
inline stepAlone(e) {
	if
	:: d_step { isActive(e) && claims > e + 1 -> stepDown(e); skip }
	:: d_step { isActive(e) && claims == e + 1 ->
		logReadAge[e] = 0;
		logReadSinceExpiry[e] = leaseExpired(e);
		for (j : 0 .. NW - 1) { isWitness[ix(e,j)] = attachedOnce[ix(e,j)] }; skip }
	:: d_step { isActive(e) && !recovered[e] &&
		(handover[e] && hasAttachedToAll(e) || majorityAttachedAge[e] != NEVER && majorityAttachedAge[e] >= TAKEOVER_WAIT) ->
		recovered[e] = true;
		if
		:: state[e] == RECOVERING -> state[e] = QUEUED
		:: else
		fi; skip }
	:: d_step { leaseExpired(e) && attachFailedSinceExpiry[e] && isConfirmedSinceExpiry(e) -> requeue(e); skip }
	/* A planned stop releases the shard once no command is in flight. */
	:: d_step { allFaults && isActive(e) && claims == e + 1 && claims < NE && state[e] != STARTING ->
		stepDown(e);
		released = true; skip }
	fi
}

/* A worker process restarts and loses its epoch, tasks and records. */
inline restartWorker(w) {
	expireSession(w);
	restarts++;
	workerEpoch[w] = 0;
	recordedAttempt[w] = 0;
	for (i : 0 .. NE - 1) { newIncarnation[ix(i,w)] = attachedOnce[ix(i,w)] }
	outdateMessages(w)
}

active proctype system() {
	d_step {
		for (i : 0 .. NE - 1) { taskWorker[i] = NONE }
		startOwner(0); skip }
end:
	do
	:: d_step { tick(); skip }
	:: d_step { claims < NE && (allFaults || running[0]) -> startOwner(claims); skip }
	:: stepWithWorker(0, 0)
	:: stepWithWorker(0, 1)
	:: stepWithWorker(0, NW - 1)
	:: stepWithWorker(1, 0)
	:: stepWithWorker(1, 1)
	:: stepWithWorker(1, NW - 1)
	:: stepAlone(0)
	:: stepAlone(1)
	:: deliverStart(0, 0)
	:: deliverStart(0, STARTS - 1)
	:: deliverStart(1, 0)
	:: deliverStart(1, STARTS - 1)
	/* A session expires within the tick after its lease. */
	:: d_step { sessionOpen[0] && lease[0] == 0 && (running[0] || expectsStart(0)) -> expireSession(0); skip }
	:: d_step { sessionOpen[1] && lease[1] == 0 && (running[1] || expectsStart(1)) -> expireSession(1); skip }
	:: d_step { sessionOpen[NW-1] && lease[NW-1] == 0 && (running[NW-1] || expectsStart(NW-1)) -> expireSession(NW-1); skip }
	:: d_step { restarts < RESTARTS -> restartWorker(0); skip }
	:: d_step { restarts < RESTARTS -> restartWorker(1); skip }
	:: d_step { restarts < RESTARTS -> restartWorker(NW - 1); skip }
	od
}
