/*
 * Pledges, owners and leases of one upstream with one slot (package lease, section 6.2 of the design page).
 *
 * Two members, 0 and 1, are the candidate owners; two holders use the slot. Member 0 has the lowest ID, so that owner
 * 0 may grant the slot with its own pledge alone and owner 1 needs both. Member 1's pledge to owner 0 changes no
 * share; it is only modelled as not pledging to itself.
 *
 * Every step is one option of the loop at the end, and time passes by the option tick at any moment: a host that
 * takes no step for some ticks is a frozen host, one that takes none any more is a dead host. A message waits in its
 * place until it is delivered, replaced by a newer one (which is its loss) or worthless. Views of the hosts are not
 * modelled: every host may prefer any owner at any time.
 *
 * A holder has one exchange with an owner at a time: a new request replaces the request or grant on the way. Timers
 * count down to 0. The number of handoffs is bounded, all else is not.
 */
/* variant base expect pass */
/* variant HANDOFF expect pass */
/* variant NO_HOLD expect fail */
/* variant ROUND_UP expect fail */
/* variant NO_RECLAIM_DELAY expect fail */
/* variant PLEDGE_FROM_RECEIPT expect fail */
/* variant LEASE_FROM_RECEIPT expect fail */
/* variant NO_KEEP expect fail */
/* variant NO_OUTSTANDING expect fail */
/* variant NO_HANDOFF_CHECK expect fail */
/* variant NO_EPOCH expect fail */
/* variant OLD_ECHO expect fail */

#if defined(NO_OUTSTANDING) || defined(NO_HANDOFF_CHECK) || defined(NO_EPOCH) || defined(OLD_ECHO)
#define HANDOFF
#endif

/* With a handoff the timers are shorter and holder 1 stays with one owner, to keep the search within seconds. */
#ifdef HANDOFF
#define HANDOFFS 1
#define PLEDGE 1
#define DEADLINE 1
#else
#define HANDOFFS 0
#define PLEDGE 2
#define DEADLINE 2
#endif
#define LEASE 1
/* The last start is at most LEASE - 1 ticks after the last renewal, its end at most DEADLINE ticks later. */
#define WAIT (LEASE + DEADLINE - 1)
/* HOLD counts from the tick in which a pledge ends, and so does not include the one in which it was last used. */
#ifdef NO_HOLD
#define HOLD 0
#define WAIT_SELF 0
#elif defined(HANDOFF)
#define HOLD WAIT
#define WAIT_SELF WAIT
#else
#define HOLD (WAIT - 1)
#define WAIT_SELF WAIT
#endif
#ifdef NO_RECLAIM_DELAY
#define RECLAIM LEASE
#else
#define RECLAIM WAIT
#endif
#define NONE 2

#define OH(o, h) ((o) * 2 + (h))
#define DEC(v) v = (v > 0 -> v - 1 : 0)
#define MAX(v, w) ((v) > (w) -> (v) : (w))
#define MIN(v, w) ((v) < (w) -> (v) : (w))

/* Member 0: its owner. age counts down from PLEDGE + HOLD since the pledge to owner 1 was last sent: the owner does
   not count the pledge from HOLD on, and nothing granted on the strength of it is in use from 0 on. */
byte to0 = NONE;
byte age;
/* Member 1 pledges to itself. */
bit self1;
/* Nothing granted by former owners on the strength of the member's pledge is in use from 0 on. */
byte quiet[2];
/* The member's pledge was freed by a handoff of the other owner. */
bit freed[2];

/* Member 0's pledge on the way to owner 1: validity left, wait at the time of sending. */
byte msgValid;
byte msgWait;
bit msgFreed;
/* Member 0's pledge at owner 1. unlisted: the handoff that freed it is not received. */
byte valid;
byte wait;
bit unlisted;

/* Owners: accounts of the holders. current: the account is of the holder's present epoch. */
bit count[4];
bit entitled[4];
byte reclaim[4];
bit current[4];
/* Owners: slots of the owner that handed over. */
bit foreign[4];
byte foreignFor[4];
bit foreignCurrent[4];

/* The handoff on the way to the member other than handFrom. */
byte handoffs;
bit handOn;
bit handFrom;
bit handSlot[2];
bit handCurrent[2];
/* Member 0 has not sent a pledge with a newer echo since owner 1 handed over. */
bit handFrees;
bit hasHandoff[2];

/* Holders. The one slot is held or not; busy counts down from DEADLINE for the request in flight. */
bit uses[2];
bit held[2];
bit keep[2];
byte lease[2];
byte busy[2];

/* The exchange of each holder: request or grant on the way. */
mtype = { nothing, request, grant };
mtype msg[2] = nothing;
bit msgOwner[2];
bit msgHeld[2];
bit msgAdd[2];
bit msgCurrent[2];
byte msgLeft[2];

#ifdef HANDOFF
/* A request of a former epoch of holder 0 that is still on the way. */
bit lateOn;
bit lateOwner;
bit lateHeld;
#endif

byte i, share;

/* The slots that owner o may grant now. */
#define OWN0 (to0 == 0 && quiet[0] == 0 && (!freed[0] || hasHandoff[0]))
#define OWN1 (self1 && quiet[1] == 0 && (!freed[1] || hasHandoff[1]))
#define FROM0 (valid > 0 && wait == 0)
#ifdef ROUND_UP
#define SHARE(o) (o == 0 -> OWN0 : OWN1 || FROM0)
#else
#define SHARE(o) (o == 0 -> OWN0 : OWN1 && FROM0)
#endif

/* Clears what means nothing without a slot, so that equal states are found equal. A later request has more of its
   lease left than an earlier one, so that the lease of an earlier one is not missed. */
#define CLEAN(h) if :: !held[h] -> keep[h] = 0; lease[h] = 0 :: else fi

inline forget(k) {
	count[k] = 0;
	entitled[k] = 0;
	reclaim[k] = 0;
	current[k] = 0
}

inline tick() {
	DEC(age);
	DEC(quiet[0]);
	DEC(quiet[1]);
	DEC(msgValid);
	if
	:: msgValid == 0 -> msgWait = 0; msgFreed = 0
	:: else
	fi;
	DEC(valid);
	DEC(wait);
	if
	:: valid == 0 && wait == 0 -> unlisted = 0
	:: else
	fi;
	for (i : 0 .. 3) {
		DEC(reclaim[i]);
		if
		:: reclaim[i] == 0 -> forget(i)
		:: else
		fi;
		DEC(foreignFor[i]);
		if
		:: foreignFor[i] == 0 -> foreign[i] = 0; foreignCurrent[i] = 0
		:: else
		fi
	}
	for (i : 0 .. 1) {
		DEC(lease[i]);
		/* The upstream drops the request at its deadline; the slot is kept or not as after any other end. */
		if
		:: busy[i] == 1 -> busy[i] = 0; held[i] = held[i] && keep[i]
		:: else -> DEC(busy[i])
		fi;
		CLEAN(i);
		DEC(msgLeft[i]);
		if
		:: lease[i] == 0 -> held[i] = busy[i] > 0; keep[i] = 0
		:: else
		fi
	}
	i = 0
}

/* Member 0 sends its pledge to owner 1, for the first time or again. */
inline sendPledge() {
	to0 = 1;
	age = PLEDGE + HOLD;
	msgValid = PLEDGE;
	msgWait = quiet[0];
	msgFreed = freed[0] && !hasHandoff[1];
	handFrees = 0
}

inline takePledge() {
#ifdef PLEDGE_FROM_RECEIPT
	valid = PLEDGE;
#else
	valid = msgValid;
#endif
	if
#ifndef NO_HANDOFF_CHECK
	:: msgFreed && !hasHandoff[1] ->
		wait = MAX(msgWait, (unlisted -> wait : WAIT));
		unlisted = 1
#endif
	:: else -> wait = msgWait; unlisted = 0
	fi;
	msgValid = 0;
	msgWait = 0;
	msgFreed = 0
}

/* Owner o ends its term: what it granted becomes foreign to itself and goes to the other member. */
inline handOver(o) {
	handoffs++;
	handOn = 1;
	handFrom = o;
	hasHandoff[o] = 1;
	for (i : 0 .. 1) {
		handSlot[i] = count[OH(o, i)] || foreign[OH(o, i)];
		handCurrent[i] = handSlot[i] && (count[OH(o, i)] && current[OH(o, i)] || foreignCurrent[OH(o, i)]);
		foreign[OH(o, i)] = handSlot[i];
		foreignCurrent[OH(o, i)] = handCurrent[i];
		foreignFor[OH(o, i)] = (handSlot[i] -> WAIT : 0);
		forget(OH(o, i))
	}
	i = 0;
	if
	:: o == 0 -> to0 = NONE; freed[0] = 1
	:: else ->
		if
		:: self1 -> self1 = 0; freed[1] = 1
		:: else
		fi;
		valid = 0;
		wait = 0;
		unlisted = 0;
#ifndef OLD_ECHO
		msgValid = 0;
		msgWait = 0;
		msgFreed = 0;
#endif
		handFrees = 1
	fi
}

/* The other member receives the handoff. */
inline takeHandoff(m) {
	handOn = 0;
	hasHandoff[m] = 1;
#ifndef NO_OUTSTANDING
	for (i : 0 .. 1) {
		if
		:: handSlot[i] ->
			foreign[OH(m, i)] = 1;
			foreignCurrent[OH(m, i)] = foreignCurrent[OH(m, i)] || handCurrent[i];
			foreignFor[OH(m, i)] = WAIT
		:: else
		fi
	}
#endif
	for (i : 0 .. 1) {
		handSlot[i] = 0;
		handCurrent[i] = 0
	}
	i = 0;
	if
	:: m == 0 && to0 == 1 && handFrees -> to0 = NONE; age = 0; freed[0] = 1
	:: else
	fi;
	handFrees = 0;
	handFrom = 0;
	/* Both owners have the handoff: nothing depends on it any more. */
	freed[0] = 0;
	freed[1] = 0;
	msgFreed = 0
}

/* Owner o takes the request of holder h and answers it. */
inline takeRequest(o, h) {
#ifdef HANDOFF
	if
	:: h == 0 && lateOn && lateOwner == o -> lateOn = 0; lateOwner = 0; lateHeld = 0
	:: else
	fi;
#endif
	if
	:: current[OH(o, h)] != msgCurrent[h] -> entitled[OH(o, h)] = 0
	:: else
	fi;
	current[OH(o, h)] = msgCurrent[h];
	count[OH(o, h)] = msgHeld[h];
	entitled[OH(o, h)] = entitled[OH(o, h)] && count[OH(o, h)];
	if
#ifdef NO_EPOCH
	:: foreign[OH(o, h)] ->
#else
	:: foreign[OH(o, h)] && !foreignCurrent[OH(o, h)] && msgCurrent[h] ->
#endif
		foreign[OH(o, h)] = 0; foreignCurrent[OH(o, h)] = 0; foreignFor[OH(o, h)] = 0
	:: else
	fi;
	share = SHARE(o);
	if
	:: share == 0 -> entitled[OH(o, 0)] = 0; entitled[OH(o, 1)] = 0
	:: else
	fi;
	msgAdd[h] = 0;
	if
	:: share > count[OH(o, 0)] + count[OH(o, 1)] + foreign[OH(o, 0)] + foreign[OH(o, 1)] ->
		msgAdd[h] = 1;
		count[OH(o, h)] = 1;
		entitled[OH(o, h)] = 1
	:: else
	fi;
	reclaim[OH(o, h)] = RECLAIM;
	share = 0;
	msg[h] = (msgCurrent[h] -> grant : nothing);
	msgHeld[h] = (msgCurrent[h] -> entitled[OH(o, h)] : 0);
	if
	:: !count[OH(o, h)] -> forget(OH(o, h))
	:: else
	fi;
	if
	:: !msgCurrent[h] -> msgAdd[h] = 0; msgLeft[h] = 0; msgOwner[h] = 0
	:: else
	fi
}

#ifdef HANDOFF
/* Owner o takes the late request of holder 0. Foreign slots of a still older epoch would be given up with it; the
   model does not tell these epochs apart and keeps them. */
inline takeLate(o) {
	count[OH(o, 0)] = lateHeld;
	entitled[OH(o, 0)] = 0;
	current[OH(o, 0)] = 0;
	reclaim[OH(o, 0)] = RECLAIM;
#ifdef NO_EPOCH
	foreign[OH(o, 0)] = 0;
	foreignCurrent[OH(o, 0)] = 0;
	foreignFor[OH(o, 0)] = 0;
#endif
	if
	:: !lateHeld -> forget(OH(o, 0))
	:: else
	fi;
	lateOn = 0;
	lateOwner = 0;
	lateHeld = 0
}
#endif

/* Holder h takes a grant; msgHeld is what it may keep. */
inline takeGrant(h) {
#ifdef LEASE_FROM_RECEIPT
	lease[h] = LEASE;
#else
	lease[h] = MAX(lease[h], msgLeft[h]);
#endif
	if
	:: lease[h] > 0 ->
		held[h] = held[h] || msgAdd[h];
		keep[h] = msgHeld[h]
	:: else -> keep[h] = 0
	fi;
#ifdef NO_KEEP
	keep[h] = held[h];
#endif
	held[h] = busy[h] > 0 || held[h] && keep[h];
	CLEAN(h);
	dropMessage(h)
}

inline dropMessage(h) {
	msg[h] = nothing;
	msgOwner[h] = 0;
	msgHeld[h] = 0;
	msgAdd[h] = 0;
	msgCurrent[h] = 0;
	msgLeft[h] = 0
}

inline sendRequest(h) {
	msg[h] = request;
	msgOwner[h] = uses[h];
	msgHeld[h] = held[h];
	msgAdd[h] = 0;
	msgCurrent[h] = 1;
	msgLeft[h] = LEASE
}

/* Holder h gives up its slot, unless it is in use, and turns to owner o. */
inline newEpoch(h, o) {
	uses[h] = o;
	held[h] = busy[h] > 0;
	keep[h] = 0;
	lease[h] = 0;
	current[OH(0, h)] = 0;
	current[OH(1, h)] = 0;
	foreignCurrent[OH(0, h)] = 0;
	foreignCurrent[OH(1, h)] = 0;
	handCurrent[h] = 0;
	if
#ifdef HANDOFF
	:: msg[h] == request -> lateOn = 1; lateOwner = msgOwner[h]; lateHeld = msgHeld[h]; dropMessage(h)
#else
	:: msg[h] == request -> msgCurrent[h] = 0; msgLeft[h] = 0
#endif
	:: else -> dropMessage(h)
	fi
}

#define HOLDER(h) \
	:: d_step { msg[h] != request || !msgCurrent[h] || msgLeft[h] < LEASE || msgHeld[h] != held[h] -> sendRequest(h) } \
	:: d_step { msg[h] == grant -> takeGrant(h) } \
	:: d_step { msg[h] == request && msgOwner[h] == 0 -> takeRequest(0, h) } \
	:: d_step { msg[h] == request && msgOwner[h] == 1 -> takeRequest(1, h) } \
	:: d_step { lease[h] > 0 && held[h] && busy[h] == 0 -> busy[h] = DEADLINE; assert(busy[1 - h] == 0) } \
	:: d_step { busy[h] > 0 -> busy[h] = 0; held[h] = held[h] && keep[h]; CLEAN(h) } \
	:: d_step { held[h] && busy[h] == 0 -> held[h] = 0; CLEAN(h) }

#define CHANGES(h) :: d_step { newEpoch(h, 1 - uses[h]) }

init {
	if
	:: uses[1] = 0
	:: uses[1] = 1
	fi;
	do
	:: d_step { true -> tick() }
	/* Member 0. Its pledge to itself needs no message and ends at once. */
	:: d_step { to0 == NONE -> to0 = 0 }
	:: d_step { to0 == 0 -> to0 = NONE; freed[0] = 0; quiet[0] = WAIT_SELF }
	:: d_step { to0 == NONE || to0 == 1 -> sendPledge() }
	:: d_step { to0 == 1 && age <= HOLD -> to0 = NONE; freed[0] = 0; quiet[0] = MAX(quiet[0], age); age = 0 }
	:: d_step { msgValid > 0 -> takePledge() }
	/* Member 1. */
	:: d_step { !self1 -> self1 = 1 }
	:: d_step { self1 -> self1 = 0; freed[1] = 0; quiet[1] = WAIT_SELF }
	:: d_step { handoffs < HANDOFFS && to0 == 0 -> handOver(0) }
	:: d_step { handoffs < HANDOFFS && (self1 || valid > 0) -> handOver(1) }
	:: d_step { handOn && handFrom == 1 -> takeHandoff(0) }
	:: d_step { handOn && handFrom == 0 -> takeHandoff(1) }
	HOLDER(0)
	HOLDER(1)
	CHANGES(0)
#ifdef HANDOFF
	:: d_step { lateOn && lateOwner == 0 -> takeLate(0) }
	:: d_step { lateOn && lateOwner == 1 -> takeLate(1) }
#else
	CHANGES(1)
#endif
	od
}
