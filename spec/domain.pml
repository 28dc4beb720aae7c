/*
 * Take-out of a failure domain and the version of the configuration: I4 for
 * isolated_starts = none, and I10.
 *
 * Node A is in the domain that is taken out and owns a shard there. Node B is
 * in another domain. Both read the config stream and relay configurations.
 * One tick is one second.
 */

#define VERSIONS 3    /* records of the config stream */
#define ISOLATION 2   /* membership.IsolationWindow */
#define DELAY 1       /* longest time under way of a start */
#define BOUND 3       /* I4 */
#ifdef PAUSE
#define UNDERWAY 4    /* a paused node's start is good for the session's lease */
#else
#define UNDERWAY DELAY
#endif

#define A 0
#define B 1

/* The config stream. Version 0 has the domain in service. */
byte head = 0;
byte base[VERSIONS + 2];
bool takesOut[VERSIONS + 2];   /* what the record asks for */
byte inForce[VERSIONS + 1];    /* the version in force at each offset */
byte outAge = 0;               /* since the take-out in force was appended */

/* Nodes. */
byte place[2];                 /* offset up to which the node has read */
byte trail[2];                 /* version in force at that place */
byte version[2];               /* version in force at the node */
bool provisional[2];
byte logAge[2];                /* since the last read that reached the end */
byte farAge = 0;               /* of A: since the last evidence from B */

/* A start of A. */
bool sent = false;
byte sentAge = 0;
bool told = false;             /* A has answered that it stopped starts */
byte toldAge = 0;
bool restarted = false;
bool configured = true;        /* A has a configuration from the log or a peer */

hidden byte k;

#ifdef B_CUT
#define readsLog true /* B may be cut off from the log like A */
#else
#define readsLog (place[B] == head && logAge[B] == 0) /* B reads the log in every tick */
#endif
#define isOut(v) (v > 0 && takesOut[v])
#define isolated (logAge[A] >= ISOLATION && farAge >= ISOLATION)
#define mayStart (configured && !isOut(version[A]) && !provisional[A] && !isolated)

inline setVersion(n, v) {
	assert(v >= version[n]); /* I10: a version never falls on a node */
	version[n] = v;
	if
	:: isOut(v) -> provisional[n] = false
	/* The domain is brought back: the earlier answer holds no longer. */
	:: !isOut(v) && n == A && !provisional[A] -> told = false; toldAge = 0
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

/* configlog.State.Apply for the next record. */
inline apply(n) {
	place[n]++;
	if
	:: base[place[n]] == trail[n] ->
		trail[n] = place[n];
		if
		:: place[n] > version[n] -> setVersion(n, place[n])
		:: else
		fi
	:: else
	fi;
	assert(trail[n] == inForce[place[n]]); /* I10: all readers agree */
	if
	:: place[n] == head -> logAge[n] = 0
	:: else
	fi
}

/* An operator's change on the base that he has seen, maybe an old one. */
inline append(b, out) {
	base[head + 1] = b;
	takesOut[head + 1] = out;
	head++;
	inForce[head] = inForce[head - 1];
	if
	:: base[head] == inForce[head] ->
		if
		:: takesOut[head] != isOut(inForce[head]) -> outAge = 0
		:: else
		fi;
		inForce[head] = head
	:: else
	fi
}

inline older(age, limit) {
	if
	:: age < limit -> age++
	:: else
	fi
}

inline relay(to, v) {
	d_step { v <= head && inForce[v] == v && version[to] != v -> adopt(to, v); skip }
}

active proctype world() {
end:
	do
	:: d_step { !(sent && sentAge == UNDERWAY) && readsLog ->
		older(logAge[A], ISOLATION);
		older(logAge[B], ISOLATION);
		older(farAge, ISOLATION);
		older(outAge, BOUND + 2);
		if
		:: sent -> sentAge++
		:: else
		fi;
		if
		:: told -> older(toldAge, DELAY + 1)
		:: else
		fi; skip }
	/* Changes: two operators, whose bases may be out of date. */
	:: d_step { head < VERSIONS -> append(inForce[head], !isOut(inForce[head])); skip }
	:: d_step { head < VERSIONS -> append(inForce[head], isOut(inForce[head])); skip }
	:: d_step { head < VERSIONS && version[B] != inForce[head] -> append(version[B], true); skip }
	/* Reads of the stream. */
	:: d_step { place[A] < head -> apply(A); skip }
	:: d_step { place[B] < head -> apply(B); skip }
	:: d_step { place[A] == head && (logAge[A] != 0 || !configured) -> logAge[A] = 0; configured = true }
	:: d_step { place[B] == head && logAge[B] != 0 -> logAge[B] = 0 }
	/* Relays: a message may be late or repeated, so that any version that was
	   ever accepted may come at any time. */
	:: relay(A, 0)
	:: relay(A, 1)
	:: relay(A, 2)
	:: relay(A, VERSIONS)
	:: relay(B, 0)
	:: relay(B, 1)
	:: relay(B, 2)
	:: relay(B, VERSIONS)
	:: d_step { provisional[A] && !isOut(version[B]) -> provisional[B] = true }
	:: d_step { provisional[B] && !isOut(version[A]) -> provisional[A] = true }
	/* A ping from A that B answers: evidence that A is not isolated, and B's
	   configuration. */
	:: d_step {
#ifdef FAR_AGE
		farAge = (farAge < logAge[B] -> farAge : logAge[B]);
#else
		farAge = 0;
#endif
		configured = true;
		adopt(A, version[B]); skip }
	/* A direct command to B during an outage of the log. */
	:: d_step { !provisional[B] && !isOut(version[B]) -> provisional[B] = true }
	/* A tells an operator that it has stopped starts. */
	:: d_step { !told && (isOut(version[A]) || provisional[A]) -> told = true; toldAge = 0 }
	/* The check of a start, and later its effect at the worker. */
	:: d_step { !sent && mayStart -> sent = true; sentAge = 0 }
	:: d_step { sent ->
		assert(!(told && toldAge > DELAY && (isOut(version[A]) || provisional[A])) || sentAge > DELAY); /* I4 at a node that has answered */
		assert(!(isOut(inForce[head]) && outAge > BOUND)); /* I4 with isolated_starts = none */
		sent = false; sentAge = 0 }
	:: d_step { sent -> sent = false; sentAge = 0 }
#ifdef RESTART
	/* A restarts and has lost its configuration; it starts nothing before the
	   log or a peer has given it one. */
	:: d_step { !restarted && !sent ->
		restarted = true;
		configured = false;
		place[A] = 0; trail[A] = 0; version[A] = 0; provisional[A] = false;
		logAge[A] = 0; farAge = 0 }
#endif
	od
}
