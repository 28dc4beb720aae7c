/*
 * Take-out of a failure domain, and the versions of the configuration. Checks I4
 * with isolated_starts = none (no start later than the bound after the take-out,
 * and none by a node that has answered that it stopped starts) and I10 (a version
 * never falls, and all readers agree).
 *
 * Node A is in the failure domain that is taken out and owns a shard there. Node B
 * is in another failure domain. Both read the config stream and relay
 * configurations. One tick is one second.
 */

#define VERSIONS 3          /* records of the config stream */
#define ISOLATION_TIMEOUT 2 /* membership.IsolationTimeout, 2 s */
#define MAX_START_DELAY 1   /* longest time that a start is in flight */
#define TAKE_OUT_BOUND 3    /* I4: no start later than this after the take-out */
#ifdef PAUSE
#define MAX_START_AGE 4 /* the start of a paused node is accepted until the session's lease (4 s) expires */
#else
#define MAX_START_AGE MAX_START_DELAY
#endif

#define A 0
#define B 1

/* The config stream. In version 0 the failure domain is in service. */
byte lastOffset = 0;
byte base[VERSIONS + 2];           /* the version that each record is based on */
bool takesOut[VERSIONS + 2];       /* true: the record takes the domain out, false: it brings it back */
byte versionInForce[VERSIONS + 1]; /* version in force at each offset */
byte takeOutAge = 0;               /* since the record of the current take-out was appended */

/* Nodes. Ages are in ticks. */
byte readOffset[2];    /* offset up to which the node has read the stream */
byte readerVersion[2]; /* version in force at that offset */
byte version[2];       /* version in force at the node */
bool provisional[2];   /* the node has a provisional take-out */
byte logReadAge[2];    /* since the last read to the end of the stream */
byte farReplyAge = 0;  /* of A: age of the last evidence from B that A is not isolated */

/* The start that A sends, and A's answer to an operator. */
bool startSent = false;
byte startAge = 0;
bool reportedStopped = false; /* A has answered that it stopped starts */
byte reportedStoppedAge = 0;
bool restarted = false;
bool configured = true;       /* A has a configuration from the log or a peer */

hidden byte k;

#ifdef B_CUT
#define readsLogEveryTick true /* no condition: B may be cut off from the log, as A may */
#else
#define readsLogEveryTick (readOffset[B] == lastOffset && logReadAge[B] == 0) /* B reads the log in every tick */
#endif
#define isTakenOut(v) (v > 0 && takesOut[v])
#define isIsolated (logReadAge[A] >= ISOLATION_TIMEOUT && farReplyAge >= ISOLATION_TIMEOUT)
#define mayStart (configured && !isTakenOut(version[A]) && !provisional[A] && !isIsolated)

inline setVersion(n, v) {
	assert(v >= version[n]); /* I10: a version never falls on a node */
	version[n] = v;
	if
	:: isTakenOut(v) -> provisional[n] = false
	/* The domain is brought back, so the earlier answer is no longer valid. */
	:: !isTakenOut(v) && n == A && !provisional[A] -> reportedStopped = false; reportedStoppedAge = 0
	:: else
	fi
}

/* configlog.State.Adopt */
inline adopt(n, v) {
	if
#ifdef LOWER_VERSION
	:: v != version[n] -> setVersion(n, v)
#else
	:: v > version[n] -> setVersion(n, v)
#endif
	:: else
	fi
}

/* configlog.State.Apply with the next record. */
inline apply(n) {
	readOffset[n]++;
	if
	:: base[readOffset[n]] == readerVersion[n] ->
		readerVersion[n] = readOffset[n];
		if
		:: readOffset[n] > version[n] -> setVersion(n, readOffset[n])
		:: else
		fi
	:: else
	fi;
	assert(readerVersion[n] == versionInForce[readOffset[n]]); /* I10: all readers agree */
	if
	:: readOffset[n] == lastOffset -> logReadAge[n] = 0
	:: else
	fi
}

/* An operator appends a change based on the last version that the operator has
   seen, which may be outdated. */
inline appendChange(b, out) {
	base[lastOffset + 1] = b;
	takesOut[lastOffset + 1] = out;
	lastOffset++;
	versionInForce[lastOffset] = versionInForce[lastOffset - 1];
	if
	:: base[lastOffset] == versionInForce[lastOffset] ->
		if
		:: takesOut[lastOffset] != isTakenOut(versionInForce[lastOffset]) -> takeOutAge = 0
		:: else
		fi;
		versionInForce[lastOffset] = lastOffset
	:: else
	fi
}

inline incrementAge(age, limit) {
	if
	:: age < limit -> age++
	:: else
	fi
}

inline relayConfiguration(to, v) {
	d_step { v <= lastOffset && versionInForce[v] == v && version[to] != v -> adopt(to, v); skip }
}

active proctype system() {
end:
	do
	:: d_step { !(startSent && startAge == MAX_START_AGE) && readsLogEveryTick ->
		incrementAge(logReadAge[A], ISOLATION_TIMEOUT);
		incrementAge(logReadAge[B], ISOLATION_TIMEOUT);
		incrementAge(farReplyAge, ISOLATION_TIMEOUT);
		incrementAge(takeOutAge, TAKE_OUT_BOUND + 2);
		if
		:: startSent -> startAge++
		:: else
		fi;
		if
		:: reportedStopped -> incrementAge(reportedStoppedAge, MAX_START_DELAY + 1)
		:: else
		fi; skip }
	/* Changes by two operators, whose base versions may be outdated. */
	:: d_step { lastOffset < VERSIONS -> appendChange(versionInForce[lastOffset], !isTakenOut(versionInForce[lastOffset])); skip }
	:: d_step { lastOffset < VERSIONS -> appendChange(versionInForce[lastOffset], isTakenOut(versionInForce[lastOffset])); skip }
	:: d_step { lastOffset < VERSIONS && version[B] != versionInForce[lastOffset] -> appendChange(version[B], true); skip }
	/* Reads of the stream. */
	:: d_step { readOffset[A] < lastOffset -> apply(A); skip }
	:: d_step { readOffset[B] < lastOffset -> apply(B); skip }
	:: d_step { readOffset[A] == lastOffset && (logReadAge[A] != 0 || !configured) -> logReadAge[A] = 0; configured = true }
	:: d_step { readOffset[B] == lastOffset && logReadAge[B] != 0 -> logReadAge[B] = 0 }
	/* Relays. Messages may be late or repeated, so any version that was ever
	   accepted may arrive at any time. */
	:: relayConfiguration(A, 0)
	:: relayConfiguration(A, 1)
	:: relayConfiguration(A, 2)
	:: relayConfiguration(A, VERSIONS)
	:: relayConfiguration(B, 0)
	:: relayConfiguration(B, 1)
	:: relayConfiguration(B, 2)
	:: relayConfiguration(B, VERSIONS)
	:: d_step { provisional[A] && !isTakenOut(version[B]) -> provisional[B] = true }
	:: d_step { provisional[B] && !isTakenOut(version[A]) -> provisional[A] = true }
	/* B answers a ping from A. The answer shows that A is not isolated, and contains
	   B's configuration. */
	:: d_step {
#ifdef FAR_AGE
		farReplyAge = (farReplyAge < logReadAge[B] -> farReplyAge : logReadAge[B]);
#else
		farReplyAge = 0;
#endif
		configured = true;
		adopt(A, version[B]); skip }
	/* An operator's command to B, during an outage of the log, takes the domain out
	   provisionally. */
	:: d_step { !provisional[B] && !isTakenOut(version[B]) -> provisional[B] = true }
	/* A answers an operator that it has stopped starts. */
	:: d_step { !reportedStopped && (isTakenOut(version[A]) || provisional[A]) -> reportedStopped = true; reportedStoppedAge = 0 }
	/* A start is checked and sent. Later it takes effect at the worker, or is lost. */
	:: d_step { !startSent && mayStart -> startSent = true; startAge = 0 }
	:: d_step { startSent ->
		assert(!(reportedStopped && reportedStoppedAge > MAX_START_DELAY && (isTakenOut(version[A]) || provisional[A])) || startAge > MAX_START_DELAY); /* I4 for a node that has answered */
		assert(!(isTakenOut(versionInForce[lastOffset]) && takeOutAge > TAKE_OUT_BOUND)); /* I4 with isolated_starts = none */
		startSent = false; startAge = 0 }
	:: d_step { startSent -> startSent = false; startAge = 0 }
#ifdef RESTART
	/* A restarts and loses its configuration. It starts nothing until it gets one
	   from the log or a peer. */
	:: d_step { !restarted && !startSent ->
		restarted = true;
		configured = false;
		readOffset[A] = 0; readerVersion[A] = 0; version[A] = 0; provisional[A] = false;
		logReadAge[A] = 0; farReplyAge = 0 }
#endif
	od
}
