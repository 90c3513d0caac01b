/* Models one item of the configuration (package conf): two operators who propose concurrently, two hosts, the log stream
 * "config" with retention, and checkpoints that reach hosts through the log or from other hosts. An append may be lost,
 * or applied without an answer and therefore repeated. A host may be restarted. Retention may remove the oldest records
 * at any time.
 * Checked: hosts at the same version have the same state; a host's version never decreases; at most one of several
 * proposals with the same base is accepted; an operator is told the decision that all hosts make.
 * Each of the variants that must fail leaves out or breaks one rule:
 *   OLD_CHECKPOINT     a host installs a checkpoint that is older than its version
 *   NO_GAP             a host goes on applying records after a gap without looking for a checkpoint
 *   NO_BASE            a proposal is accepted whatever its base is
 *   NO_DECIDED         a repeated proposal is decided again
 *   DECIDED_NOT_SAVED  a checkpoint does not contain the decisions
 *   REREAD             a host reads its last record again, which lowers its version
 *   ACCEPT_ON_ANSWER   an operator takes the answer to the append for the acceptance of the proposal
 */
/* variant base expect pass */
/* variant OLD_CHECKPOINT expect fail */
/* variant NO_GAP expect fail */
/* variant NO_BASE expect fail */
/* variant NO_DECIDED expect fail */
/* variant DECIDED_NOT_SAVED expect fail */
/* variant REREAD expect fail */
/* variant ACCEPT_ON_ANSWER expect fail */

#define LOG 4              /* most records in the log */
#define RESTARTS 1         /* most restarts of hosts */
#define NONE 0             /* the version before the first record; here a version is the offset of its record plus one */

/* Kinds of records. */
#define PROPOSAL 1
#define CHECKPOINT 2

/* Decisions on a proposal. */
#define UNDECIDED 0
#define ACCEPTED 1
#define CONFLICT 2

/* The log stream. A proposal has an operator and a base, a checkpoint has a version and holds the state at it. */
byte kind[LOG];
byte who[LOG];             /* the operator of a proposal */
byte at[LOG];              /* the base of a proposal or the version of a checkpoint */
byte length = 0;
byte first = 0;            /* offset of the oldest record that retention has not removed */

/* The correct state at each version, computed from log order alone: the version of the item and the decisions on the
 * proposals of operators 0 and 1. A checkpoint of version v is modelled as the state at v in these arrays, because the
 * assertions ensure that every host at v has this state. */
byte item[LOG + 1];
byte decided0[LOG + 1];
byte decided1[LOG + 1];
byte winners = 0;          /* number of accepted proposals with base NONE */

byte restarts = 0;         /* number of restarts so far */
byte sent = NONE;          /* version of a checkpoint on the way; it may reach the log and hosts any number of times */

/* Decides operator w's proposal with base b in the record of version v. i is the version of the item; d0 and d1 are the
   decisions on the proposals of operators 0 and 1. */
inline decide(w, b, v, i, d0, d1) {
	if
#ifndef NO_DECIDED
	:: (w == 0 && d0 != UNDECIDED) || (w == 1 && d1 != UNDECIDED) -> skip
#endif
	:: else ->
		if
#ifdef NO_BASE
		:: true ->
#else
		:: b == i ->
#endif
			i = v;
			if
			:: w == 0 -> d0 = ACCEPTED
			:: else -> d1 = ACCEPTED
			fi
#ifndef NO_BASE
		:: else ->
			if
			:: w == 0 -> d0 = CONFLICT
			:: else -> d1 = CONFLICT
			fi
#endif
		fi
	fi
}

/* Appends a record of kind k and computes the state after it. */
inline append(k, w, b) {
	kind[length] = k;
	who[length] = w;
	at[length] = b;
	length++;
	item[length] = item[length - 1];
	decided0[length] = decided0[length - 1];
	decided1[length] = decided1[length - 1];
	if
	:: k == PROPOSAL ->
		decide(w, b, length, item[length], decided0[length], decided1[length]);
		if
		:: item[length] == length && b == NONE -> winners++
		:: else
		fi;
		assert(winners <= 1);
		/* A decision is never changed. */
		assert(decided0[length - 1] == UNDECIDED || decided0[length] == decided0[length - 1]);
		assert(decided1[length - 1] == UNDECIDED || decided1[length] == decided1[length - 1])
	:: else
	fi
}

/* Replaces the host's state by a checkpoint of version v. */
inline install(v) {
	version = v;
	next = v;
	mine = item[v];
#ifdef DECIDED_NOT_SAVED
	mine0 = UNDECIDED;
	mine1 = UNDECIDED;
#else
	mine0 = decided0[v];
	mine1 = decided1[v];
#endif
	searching = false
}

/* Reads the record at next. After a gap in the records the host skips records until it finds a checkpoint that is newer
   than its version and not older than the oldest remaining record. */
inline readRecord() {
	if
	:: first > next ->
		next = first;
#ifndef NO_GAP
		searching = true
#endif
	:: else
	fi;
	if
	:: next < length && !searching ->
		if
		:: kind[next] == PROPOSAL -> decide(who[next], at[next], next + 1, mine, mine0, mine1)
		:: else
		fi;
		next++;
		version = next
	:: next < length && searching ->
		next++;
		if
		:: kind[next - 1] == CHECKPOINT && at[next - 1] > version && at[next - 1] >= first ->
			found = at[next - 1]; install(found); found = 0
		:: else
		fi
	:: else
	fi
}

/* The host's state is the correct one for its version. */
#define agrees (mine == item[version] && mine0 == decided0[version] && mine1 == decided1[version])

proctype Host(byte me) {
	byte version = NONE;       /* version of the host's state */
	byte next = 0;             /* offset of the next record to read */
	byte mine = NONE;          /* the host's version of the item */
	byte mine0 = UNDECIDED;    /* the host's decisions on the proposals of operators 0 and 1 */
	byte mine1 = UNDECIDED;
	bool searching = false;    /* records after version were removed; the host looks for a checkpoint */
	byte before = 0;           /* temporary variable: version before the step */
	byte found = 0;            /* temporary variable: version of the checkpoint found */

end:
	do
	:: atomic { next < length || first > next ->
		before = version; readRecord(); assert(agrees); assert(version >= before); before = 0 }
#ifdef REREAD
	:: atomic { version > 0 && first < version ->
		before = version; next = version - 1; version = next; assert(version >= before); before = 0 }
#endif
	/* The host sends a checkpoint. */
	:: atomic { version != NONE && sent != version -> sent = version }
	/* The host receives a checkpoint from another host. */
	:: atomic { sent != NONE ->
		before = version;
		if
#ifdef OLD_CHECKPOINT
		:: true -> install(sent)
#else
		:: sent > version -> install(sent)
		:: else
#endif
		fi;
		assert(agrees); assert(version >= before); before = 0 }
	/* The hosts are interchangeable, so it is enough to restart host 0. */
	:: atomic { me == 0 && restarts < RESTARTS -> restarts++; version = NONE; next = 0; mine = NONE; mine0 = UNDECIDED; mine1 = UNDECIDED;
		searching = false }
	od
}

/* An operator makes one proposal. After a lost answer it repeats the append under the same proposal ID, then it reads the
   decision. */
proctype Operator(byte me) {
	byte base;                 /* the base of the proposal: the version of the item when the operator read it */
	byte tries = 0;            /* number of appends so far */
	byte told = UNDECIDED;     /* the decision that the operator was told */
	atomic { base = item[length] };
	do
	:: atomic { tries < 2 && length < LOG -> tries++; append(PROPOSAL, me, base);
#ifdef ACCEPT_ON_ANSWER
		told = ACCEPTED; break
#endif
		}
	:: atomic { me == 0 && decided0[length] != UNDECIDED -> told = decided0[length]; break }
	:: atomic { me == 1 && decided1[length] != UNDECIDED -> told = decided1[length]; break }
	:: break                                /* the operator learns no outcome */
	od;
	atomic {
		assert(told == UNDECIDED || (me == 0 && told == decided0[length]) || (me == 1 && told == decided1[length]));
		base = 0; tries = 0; told = 0
	}
}

/* Removes the oldest record by retention, and appends the checkpoint on the way to the log. */
active proctype Environment() {
end:
	do
	:: atomic { first < length -> first++ }
	:: atomic { sent != NONE && length < LOG -> append(CHECKPOINT, 0, sent) }
	od
}

init {
	atomic {
		run Host(0);
		run Host(1);
		run Operator(0);
		run Operator(1)
	}
}
