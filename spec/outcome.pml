/*
 * Outcome of one non-idempotent request with a key chosen by the client. Checks
 * I6 (an answer "not run" is given only if the request never runs) and I7 (the
 * request runs at most once).
 *
 * There are two owners (claims) of one shard with two workers. The only notion of
 * time is the confirmation window: its end clears what confirms an owner.
 * README.md lists what the model leaves out.
 */

#define NE 2
#define NW 2
#ifndef RESTARTS
#define RESTARTS 1 /* maximum number of restarts of worker processes */
#endif
#ifndef ATTEMPTS0
#define ATTEMPTS0 2 /* maximum number of starts that the first owner sends, at most 2 */
#endif
#ifndef ATTEMPTS1
#define ATTEMPTS1 1 /* maximum number of starts that the second owner sends, at most 2 */
#endif
#define ATTEMPTS 2
#define attemptLimit(e) ((e) == 0 -> ATTEMPTS0 : ATTEMPTS1)

/* States of the request at an owner; names as in core/chart/charts/task.json.
   INACTIVE: the owner has stepped down or has not claimed yet. UNSEEN: the owner
   has no record of the request. */
#define INACTIVE 0
#define UNSEEN 1
#define RECOVERING 2
#define LOGGING 3
#define QUEUED 4
#define STARTING 5
#define UNCERTAIN 6
#define CLOSING 7
#define ENDED_RAN 8
#define ENDED_NOT_RUN 9

#define ix(e, w) ((e) * NW + (w))

/* The log stream of the failure domain: claims, the intent and the closing record
   of the request. */
byte claims = 0;
bool released = false;
bool intent = false;
bool closed = false;

/* Owners. */
byte state[NE];
bool handover[NE];         /* the previous owner released the shard */
bool mayHaveRun[NE];       /* an earlier start may have run the request */
byte taskWorker[NE];       /* NW: none */
byte attempt[NE];          /* number of starts that the owner has sent */
bool logRead[NE];          /* read the log in this window, no newer claim found */
bool answered[NE * NW];    /* the worker answered in this window */
bool attachedOnce[NE * NW];
bool recordsComplete[NE * NW]; /* the worker's records covered the retention time at the first attach */
bool isWitness[NE * NW];       /* the worker's answers confirm ownership; see isWitness in core/shard */
bool newIncarnation[NE * NW];  /* the worker has restarted since it was attached */
bool unconfirmed[NE * NW]; /* no log read since the worker process accepted the epoch */

/* Appends in flight. */
bool intentInFlight[NE];
bool closeInFlight[NE];

/* Workers. */
byte workerEpoch[NW];
bool sessionOpen[NW];
bool sessionKnown[NW];
bool coversRetention[NW]; /* the records cover the whole retention time */
byte recordedAttempt[NW]; /* highest attempt number in the worker's records, 0: none */
bool started[NW];         /* that attempt was started */
byte restarts = 0;
byte usedWorkers = 0;     /* number of workers that a start was sent to */

/* Starts in flight: 0 none, w+1 in the current session of worker w, w+1+NW in an
   older session. A repeated delivery has 2*NW more; its answer is ignored, because
   each call has one answer. */
byte startTo[NE * ATTEMPTS];

byte executions = 0; /* number of times that the request was started at a worker */
bool answeredNotRun = false;

#ifdef SHORTEST
byte i, j;
#else
hidden byte i, j;
#endif

#define isActive(e) (state[e] != INACTIVE)
#define isNewestOwner(e) (claims == (e) + 1)
#define recentAnswers(e) ((answered[ix(e,0)] && isWitness[ix(e,0)]) + (answered[ix(e,1)] && isWitness[ix(e,1)]))
#if RESTARTS == 0
/* Without restarts, fencing by the epochs at the workers is sufficient. */
#define isConfirmed(e) true
#define confirmationExpires false
#else
#define confirmationExpires true
#define isConfirmed(e) (logRead[e] || 2 * recentAnswers(e) > NW)
#endif
#ifdef NO_FENCE
#define acceptsCommands(e, w) (sessionOpen[w])
#define inSession(e, w) (isActive(e) && attachedOnce[ix(e,w)] && sessionOpen[w] && sessionKnown[w])
#define refusesAttach(e, w) false
#define isCurrentSession(to) true
#else
#define acceptsCommands(e, w) (sessionOpen[w] && workerEpoch[w] == (e) + 1)
#define inSession(e, w) (isActive(e) && acceptsCommands(e, w) && sessionKnown[w])
#define refusesAttach(e, w) (workerEpoch[w] > (e) + 1)
#define isCurrentSession(to) (((to) - 1) / NW % 2 == 0)
#endif
/* RESTART_RECONFIRM: nothing starts on a worker until a log read after the attach.
   spec/check does not run this variant. */
#ifdef RESTART_RECONFIRM
#define mayStartOn(e, w) (!unconfirmed[ix(e,w)])
#else
#define mayStartOn(e, w) true
#endif
/* The owner knows that the request did not run: evidenceFresh in
   core/shard/submit.go. */
#define evidenceFresh(e) (handover[e] || attachedOnce[ix(e,0)] && attachedOnce[ix(e,1)] && recordsComplete[ix(e,0)] && recordsComplete[ix(e,1)])

inline markUncertain(e) {
	state[e] = UNCERTAIN;
	taskWorker[e] = NW
}

inline answerNotRun(e) {
	state[e] = ENDED_NOT_RUN;
	answeredNotRun = true;
	assert(executions == 0) /* I6 */
}

inline stepDown(e) {
	state[e] = INACTIVE;
	handover[e] = false;
	mayHaveRun[e] = false;
	taskWorker[e] = NW;
	attempt[e] = 0;
	logRead[e] = false;
	for (j : 0 .. NW - 1) {
		answered[ix(e,j)] = false;
		attachedOnce[ix(e,j)] = false;
		recordsComplete[ix(e,j)] = false;
		isWitness[ix(e,j)] = false;
		newIncarnation[ix(e,j)] = false;
		unconfirmed[ix(e,j)] = false
	}
}

inline outdateStarts(w) {
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
	outdateStarts(w)
}

inline handleAttachAnswer(e, w) {
	sessionKnown[w] = true;
	if
	:: !attachedOnce[ix(e,w)] ->
		recordsComplete[ix(e,w)] = coversRetention[w];
		unconfirmed[ix(e,w)] = confirmationExpires
	:: attachedOnce[ix(e,w)] && newIncarnation[ix(e,w)] ->
		isWitness[ix(e,w)] = false;
		unconfirmed[ix(e,w)] = true
	:: else
	fi;
	newIncarnation[ix(e,w)] = false;
	attachedOnce[ix(e,w)] = true;
	answered[ix(e,w)] = confirmationExpires;
	/* reconcileTasks in core/shard */
	if
	:: recordedAttempt[w] != 0 && started[w] && state[e] != CLOSING && state[e] != ENDED_NOT_RUN -> state[e] = ENDED_RAN; taskWorker[e] = NW
	:: state[e] == STARTING && taskWorker[e] == w && recordedAttempt[w] == attempt[e] && !started[w] -> state[e] = QUEUED; taskWorker[e] = NW
	:: state[e] == STARTING && taskWorker[e] == w && recordedAttempt[w] < attempt[e] ->
		mayHaveRun[e] = true;
		markUncertain(e)
	:: else
	fi
}

inline startOwner(e) {
	handover[e] = released || e == 0;
	released = false;
	taskWorker[e] = NW;
	if
	:: closed -> state[e] = ENDED_NOT_RUN
	:: !closed && intent -> state[e] = RECOVERING
	:: else -> state[e] = UNSEEN
	fi;
	if
	:: e == 0 ->
		for (j : 0 .. NW - 1) {
			attachedOnce[ix(e,j)] = true;
			recordsComplete[ix(e,j)] = true;
			isWitness[ix(e,j)] = true;
			workerEpoch[j] = 1;
			sessionOpen[j] = true;
			sessionKnown[j] = true;
			coversRetention[j] = true
		}
	:: else
	fi;
	claims++
}

/* Actions of owner e with worker w. A refused attach shows that there is a newer
   owner. */
inline stepWithWorker(e, w) {
	if
	:: d_step { isActive(e) && !inSession(e, w) && refusesAttach(e, w) -> stepDown(e); skip }
	:: d_step { isActive(e) && !inSession(e, w) && !refusesAttach(e, w) ->
		openSession(e, w);
		handleAttachAnswer(e, w); skip }
	/* An attach is delayed, or its answer is lost. */
	:: d_step { e < claims && workerEpoch[w] < e + 1 ->
		openSession(e, w);
		sessionKnown[w] = false; skip }
	:: d_step { confirmationExpires && inSession(e, w) && !answered[ix(e,w)] -> answered[ix(e,w)] = true; skip }
	/* A start is sent. The workers are symmetric, so the n-th one that a start is
	   sent to can be taken as number n. The message stays in startTo while the node
	   is paused. */
	:: d_step { state[e] == QUEUED && isConfirmed(e) && inSession(e, w) && mayStartOn(e, w) && attempt[e] < attemptLimit(e) && w <= usedWorkers ->
		usedWorkers = (w == usedWorkers -> usedWorkers + 1 : usedWorkers);
		startTo[e * ATTEMPTS + attempt[e]] = w + 1;
		attempt[e]++;
		state[e] = STARTING;
		taskWorker[e] = w; skip }
	/* The answer of a start was lost: look the request up. If it did not start, stop
	   the attempt, so that the worker refuses a late start. */
	:: d_step { state[e] == STARTING && taskWorker[e] == w && inSession(e, w) && recordedAttempt[w] == attempt[e] && started[w] ->
		state[e] = ENDED_RAN;
		taskWorker[e] = NW; skip }
	:: atomic { state[e] == STARTING && taskWorker[e] == w && inSession(e, w) && !(recordedAttempt[w] == attempt[e] && started[w]) ->
		if
		:: recordedAttempt[w] < attempt[e] -> recordedAttempt[w] = attempt[e]; started[w] = false
		:: else
		fi;
		if
		:: state[e] = QUEUED; taskWorker[e] = NW
		:: true
		fi }
	/* The session expires. */
	:: d_step { sessionOpen[w] && workerEpoch[w] == e + 1 -> sessionOpen[w] = false; sessionKnown[w] = false; outdateStarts(w); skip }
	fi
}

#define msg startTo[(e) * ATTEMPTS + (k)]
#define isAwaited(e, k, w) (msg <= 2 * NW && state[e] == STARTING && taskWorker[e] == (w) && attempt[e] == (k) + 1)
#ifdef DUPLICATE_START
#define markAsRepeat(e, k) true /* the answer of a repeated delivery is used as well */
#else
#define markAsRepeat(e, k) msg = (msg <= 2 * NW -> msg + 2 * NW : msg)
#endif
inline deliverStart(e, k) {
	atomic {
		msg != 0 ->
		i = (msg - 1) % NW;
		if
		:: acceptsCommands(e, i) && isCurrentSession(msg) && recordedAttempt[i] < k + 1 && !(recordedAttempt[i] != 0 && started[i]) ->
			if
			:: recordedAttempt[i] = k + 1;
				started[i] = true;
				executions++;
				assert(executions <= 1);    /* I7 */
				assert(!answeredNotRun);  /* I6 */
				if
				:: isAwaited(e, k, i) -> state[e] = ENDED_RAN; taskWorker[e] = NW
				:: true
				fi;
				if
				:: msg = 0
				:: markAsRepeat(e, k) /* a repeat is still in flight */
				fi
			:: /* refused for lack of capacity */
				if
				:: isAwaited(e, k, i) -> state[e] = QUEUED; taskWorker[e] = NW
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
		:: acceptsCommands(e, i) && isCurrentSession(msg) && !(recordedAttempt[i] < k + 1 && !(recordedAttempt[i] != 0 && started[i])) ->
			msg = 0
		:: !(acceptsCommands(e, i) && isCurrentSession(msg)) ->
			if
			:: isAwaited(e, k, i) -> state[e] = QUEUED; taskWorker[e] = NW
			:: true
			fi;
			msg = 0
		fi;
		i = 0
	}
}

inline startClosing(e) {
#ifdef CLOSE_WITHOUT_LOG
	answerNotRun(e)
#else
	state[e] = CLOSING;
	closeInFlight[e] = true
#endif
}

/* Actions of owner e without a worker. */
inline stepAlone(e) {
	if
	:: d_step { isActive(e) && claims > e + 1 -> stepDown(e); skip }
	:: d_step { confirmationExpires && isActive(e) && isNewestOwner(e) && (!logRead[e] || !isWitness[ix(e,0)] || !isWitness[ix(e,1)] || unconfirmed[ix(e,0)] || unconfirmed[ix(e,1)]) ->
		logRead[e] = true;
		for (j : 0 .. NW - 1) {
			isWitness[ix(e,j)] = attachedOnce[ix(e,j)];
			unconfirmed[ix(e,j)] = false
		} skip }
	/* The request, or a repeat of it, reaches this owner. Without the log it is
	   queued immediately. */
	:: d_step { state[e] == UNSEEN && evidenceFresh(e) -> state[e] = LOGGING; intentInFlight[e] = true }
	:: d_step { state[e] == UNSEEN && evidenceFresh(e) -> state[e] = QUEUED }
	/* The cancellation of a request that this owner has not seen closes it. */
	:: d_step { state[e] == UNSEEN && evidenceFresh(e) -> startClosing(e); skip }
	/* The append of the intent was answered after its offset was read, or timed out. */
	:: d_step { state[e] == LOGGING && !intentInFlight[e] && intent && isNewestOwner(e) -> state[e] = QUEUED }
	:: d_step { state[e] == LOGGING -> state[e] = QUEUED }
	/* The deadline passes while the request waits. */
	:: d_step { (state[e] == QUEUED || state[e] == LOGGING) && !mayHaveRun[e] -> startClosing(e); skip }
	:: d_step { (state[e] == QUEUED || state[e] == LOGGING) -> markUncertain(e) }
	:: d_step { state[e] == CLOSING && !closeInFlight[e] && closed && isNewestOwner(e) -> answerNotRun(e); skip }
	:: d_step { state[e] == CLOSING ->
#ifdef NOT_RUN_AFTER_UNKNOWN
		answerNotRun(e);
#else
		markUncertain(e);
#endif
		skip }
	/* The answer of the start is lost and cannot be resolved. */
	:: d_step { state[e] == STARTING ->
#ifdef NOT_RUN_AFTER_UNKNOWN
		state[e] = QUEUED;
		taskWorker[e] = NW;
#else
		mayHaveRun[e] = true;
		markUncertain(e);
#endif
		skip }
	/* Appends take effect only with the epoch of the newest owner. */
	:: d_step { intentInFlight[e] -> intentInFlight[e] = false; intent = intent || isNewestOwner(e) }
	:: d_step { intentInFlight[e] -> intentInFlight[e] = false }
	:: d_step { closeInFlight[e] -> closeInFlight[e] = false; closed = closed || isNewestOwner(e) }
	:: d_step { closeInFlight[e] -> closeInFlight[e] = false }
	/* A started request without an intent: queueIntentRecord in core/shard/start.go. */
	:: d_step { isActive(e) && attempt[e] > 0 && !intent && !intentInFlight[e] -> intentInFlight[e] = true }
	/* A planned stop, with no append in flight and no unlogged start. */
	:: d_step { isActive(e) && isNewestOwner(e) && claims < NE && !intentInFlight[e] && !closeInFlight[e] && (attempt[e] == 0 || intent) &&
		(state[e] == UNSEEN || state[e] == RECOVERING || state[e] == UNCERTAIN || state[e] == ENDED_RAN || state[e] == ENDED_NOT_RUN) ->
		stepDown(e);
		released = true; skip }
	fi
}

inline restartWorker(w) {
	restarts++;
	sessionOpen[w] = false;
	sessionKnown[w] = false;
	workerEpoch[w] = 0;
	coversRetention[w] = false;
	recordedAttempt[w] = 0;
	started[w] = false;
	for (i : 0 .. NE - 1) { newIncarnation[ix(i,w)] = attachedOnce[ix(i,w)] }
	outdateStarts(w)
}

active proctype system() {
	d_step { startOwner(0); taskWorker[1] = NW; skip }
end:
	do
	/* The confirmation window ends. */
	:: d_step { logRead[0] || logRead[1] || answered[0] || answered[1] || answered[2] || answered[3] ->
		for (j : 0 .. NE - 1) { logRead[j] = false }
		for (j : 0 .. NE * NW - 1) { answered[j] = false } skip }
	:: d_step { claims < NE -> startOwner(claims); skip }
	:: stepWithWorker(0, 0)
	:: stepWithWorker(0, 1)
	:: stepWithWorker(1, 0)
	:: stepWithWorker(1, 1)
	:: stepAlone(0)
	:: stepAlone(1)
	:: deliverStart(0, 0)
	:: deliverStart(0, 1)
	:: deliverStart(1, 0)
	:: deliverStart(1, 1)
	:: d_step { restarts < RESTARTS -> restartWorker(0); skip }
	:: d_step { restarts < RESTARTS -> restartWorker(1); skip }
	od
}
