/* One item of the configuration: two operators who race, two hosts, the stream "config" with retention, checkpoints in the log and between
 * hosts. Appends may be lost, unanswered and therefore repeated. A host may be restarted; retention removes the oldest
 * records at any time.
 * Checked: hosts have the same state at the same version; a host's version never decreases; one of several proposals with
 * the same base wins; an operator is told the decision that all hosts make.
 */
/* variant base expect pass */
/* variant OLD_CHECKPOINT expect fail */
/* variant NO_GAP expect fail */
/* variant NO_BASE expect fail */
/* variant NO_DECIDED expect fail */
/* variant DECIDED_NOT_SAVED expect fail */
/* variant REREAD expect fail */
/* variant ACCEPT_ON_ANSWER expect fail */

#define LOG 4
#define RESTARTS 1
#define NONE 0             /* no record: versions are offsets plus one */

#define PROPOSAL 1
#define CHECKPOINT 2

#define UNDECIDED 0
#define ACCEPTED 1
#define CONFLICT 2

/* The stream. A proposal has an operator and a base, a checkpoint a state. */
byte kind[LOG];
byte who[LOG];
byte at[LOG];              /* base, or version of the checkpoint */
byte length = 0;
byte first = 0;

/* The state after each version, from log order alone: the version of the item and the decisions on both operators' proposals.
 * A checkpoint of version v holds the state at v, because the assertions make every host's state that one. */
byte item[LOG + 1];
byte decided0[LOG + 1];
byte decided1[LOG + 1];
byte winners = 0;          /* accepted proposals on base NONE */

byte restarts = 0;
byte sent = NONE;          /* version of a checkpoint on its way to the log or to other hosts, any number of times */

/* Decides operator w's proposal with base b as record v. */
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

/* Appends a record and computes the state that follows it. */
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

/* Takes over a checkpoint of version v. */
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

/* Reads the record at next. */
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

#define agrees (mine == item[version] && mine0 == decided0[version] && mine1 == decided1[version])

proctype Host(byte me) {
	byte version = NONE;
	byte next = 0;
	byte mine = NONE;
	byte mine0 = UNDECIDED;
	byte mine1 = UNDECIDED;
	bool searching = false;
	byte before = 0;
	byte found = 0;

end:
	do
	:: atomic { next < length || first > next ->
		before = version; readRecord(); assert(agrees); assert(version >= before); before = 0 }
#ifdef REREAD
	:: atomic { version > 0 && first < version ->
		before = version; next = version - 1; version = next; assert(version >= before); before = 0 }
#endif
	:: atomic { version != NONE && sent != version -> sent = version }
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
	/* The hosts are alike, so only host 0 is restarted. */
	:: atomic { me == 0 && restarts < RESTARTS -> restarts++; version = NONE; next = 0; mine = NONE; mine0 = UNDECIDED; mine1 = UNDECIDED;
		searching = false }
	od
}

/* Proposes once; after a lost answer it repeats the proposal under the same identity, then reads the decision. */
proctype Operator(byte me) {
	byte base;
	byte tries = 0;
	byte told = UNDECIDED;
	atomic { base = item[length] };
	do
	:: atomic { tries < 2 && length < LOG -> tries++; append(PROPOSAL, me, base);
#ifdef ACCEPT_ON_ANSWER
		told = ACCEPTED; break
#endif
		}
	:: atomic { me == 0 && decided0[length] != UNDECIDED -> told = decided0[length]; break }
	:: atomic { me == 1 && decided1[length] != UNDECIDED -> told = decided1[length]; break }
	:: break                                /* outcome unknown */
	od;
	atomic {
		assert(told == UNDECIDED || (me == 0 && told == decided0[length]) || (me == 1 && told == decided1[length]));
		base = 0; tries = 0; told = 0
	}
}

/* Retention and appends of checkpoints. */
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
