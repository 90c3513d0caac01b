/*
 * Models the pledges, owners and leases of one upstream with one slot (package lease, section 6.2 of the design page).
 * Checked: the two holders never use the slot at the same time.
 *
 * The hosts 0 and 1 are the members of the data centre and the candidate owners; owner o is member o. Two holders use
 * the slot. Member 0 has the lowest ID, so owner 0 may grant the slot by virtue of its own pledge alone, while owner 1
 * needs both pledges. A pledge of member 1 to owner 0 would change no share, so the model only has member 1 pledge to
 * itself or not.
 *
 * Every step is one option of the loop in init. Time passes by the option tick, which is possible at any moment: a host
 * that takes no step for some ticks is frozen, and a host that takes no further step is dead. A message is on the way
 * until it is delivered, lost (a newer message replaces it) or expired. Member tables and elections are not modelled:
 * every host may elect any owner at any time.
 *
 * A holder has at most one message on the way, to or from an owner: a new request replaces it. Timers are in ticks and
 * count down to 0. The number of handoffs is bounded; nothing else is.
 *
 * HANDOFF adds handoffs. Each of the variants that must fail leaves out or breaks one rule:
 *   NO_HOLD              after its pledge ended, a member's next pledge is usable at once
 *   ROUND_UP             an owner without the majority of the pledges rounds its share up, too
 *   NO_RECLAIM_DELAY     an owner reclaims the slot at the end of the lease, while a request may be in flight
 *   PLEDGE_FROM_RECEIPT  a pledge is valid from its receipt instead of from its sending
 *   LEASE_FROM_RECEIPT   a lease is valid from the receipt of the grant instead of from the sending of the request
 *   NO_KEEP              a holder keeps a slot that the owner calls back
 *   NO_OUTSTANDING       the receiver of a handoff ignores the slots listed in it
 *   NO_HANDOFF_CHECK     an owner counts a pledge at once although a handoff that it has not received released the
 *                        member's last pledge
 *   NO_EPOCH             any request of a holder frees its slots from the former owner, even if its epoch is not later
 *   OLD_ECHO             a pledge that was on the way when the owner handed over still counts
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

/* HANDOFFS bounds the number of handoffs. PLEDGE is the validity of a pledge, DEADLINE the longest duration of a request
   and LEASE the validity of a lease, in ticks. With handoffs the timers are shorter and holder 1 never changes its
   owner, so that the search takes seconds. */
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
/* The reclaim delay. The last request starts at most LEASE - 1 ticks after the last renewal and ends at most DEADLINE
   ticks later. */
#define WAIT (LEASE + DEADLINE - 1)
/* HOLD is the wait after the expiry of a pledge to the other member, WAIT_SELF that after the release of a pledge to
   itself. HOLD counts from the tick in which the pledge ends and so excludes the tick of its last use. */
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
/* The time without a request after which an owner removes the account of a holder. */
#ifdef NO_RECLAIM_DELAY
#define RECLAIM LEASE
#else
#define RECLAIM WAIT
#endif
/* No owner. */
#define NONE 2

/* The index of the pair of owner o and holder h. */
#define OH(o, h) ((o) * 2 + (h))
#define DEC(v) v = (v > 0 -> v - 1 : 0)
#define MAX(v, w) ((v) > (w) -> (v) : (w))
#define MIN(v, w) ((v) < (w) -> (v) : (w))

/* Member 0. to0 is the owner that it pledges to. age counts down from PLEDGE + HOLD after the last sending of the pledge
   to owner 1: once it is at HOLD, the owner no longer counts the pledge, and once it is at 0, no slot granted by virtue
   of the pledge is in use. */
byte to0 = NONE;
byte age;
/* Member 1: it pledges to itself. */
bit self1;
/* For each member the time until the slots that former owners granted by virtue of its pledges are unused, except those
   listed in a handoff that released its pledge. */
byte quiet[2];
/* For each member: a handoff released its last pledge, so slots listed in the handoff may still be in use. An owner that
   does not have the handoff may not count the next pledge yet. */
bit freed[2];

/* Member 0's pledge on the way to owner 1. msgValid is the validity left (0: no message), msgWait is quiet[0] at the time
   of sending, and msgFreed tells that a handoff released the member's last pledge. */
byte msgValid;
byte msgWait;
bit msgFreed;
/* Member 0's pledge at owner 1. valid is the validity left, wait the time until the pledge is usable, and unlisted tells
   that owner 1 has not received the handoff that released the member's last pledge. */
byte valid;
byte wait;
bit unlisted;

/* The owners' accounts of the holders, indexed by OH. count: the holder may have the slot. entitled: the holder may keep
   it. reclaim: the time until the account is removed if no request arrives. current: the account is of the holder's
   present epoch. */
bit count[4];
bit entitled[4];
byte reclaim[4];
bit current[4];
/* Slots known to the owners from a handoff, indexed by OH. foreign: the holder may have the slot from the former owner.
   foreignFor: the time until it is free if no request arrives. foreignCurrent: it is of the holder's present epoch. */
bit foreign[4];
byte foreignFor[4];
bit foreignCurrent[4];

/* handoffs counts the handoffs so far. If handOn, a handoff is on the way from owner handFrom to the other member;
   handSlot tells for each holder whether its slot is listed, handCurrent whether that slot is of its present epoch. */
byte handoffs;
bit handOn;
bit handFrom;
bit handSlot[2];
bit handCurrent[2];
/* The receipt of the handoff releases member 0's pledge: since owner 1 handed over, member 0 has sent no pledge that
   echoes a later heartbeat. */
bit handFrees;
/* For each member: it has made or received the handoff. */
bit hasHandoff[2];

/* Holders. uses: the owner that the holder sends its requests to. held: it has the slot. keep: it may keep the slot after
   the request in flight. lease: the time left for starting a request. busy: the time until the deadline of the request
   in flight, 0 if there is none. */
bit uses[2];
bit held[2];
bit keep[2];
byte lease[2];
byte busy[2];

/* The message on the way between each holder and the owner msgOwner. msgHeld: in a request, the holder has the slot; in a
   grant, it may keep it. msgAdd: the grant adds the slot. msgCurrent: the message is of the holder's present epoch.
   msgLeft: the rest of the lease, which starts with the sending of the request. */
mtype = { nothing, request, grant };
mtype msg[2] = nothing;
bit msgOwner[2];
bit msgHeld[2];
bit msgAdd[2];
bit msgCurrent[2];
byte msgLeft[2];

#ifdef HANDOFF
/* If lateOn, a request of a former epoch of holder 0 is still on the way to lateOwner; lateHeld tells that the holder had
   the slot. */
bit lateOn;
bit lateOwner;
bit lateHeld;
#endif

/* Temporary variables. */
byte i, share;

/* SHARE(o) is the number of slots that owner o may grant in total. OWN0 and OWN1: the member's pledge to itself is
   usable. FROM0: member 0's pledge is usable by owner 1. */
#define OWN0 (to0 == 0 && quiet[0] == 0 && (!freed[0] || hasHandoff[0]))
#define OWN1 (self1 && quiet[1] == 0 && (!freed[1] || hasHandoff[1]))
#define FROM0 (valid > 0 && wait == 0)
#ifdef ROUND_UP
#define SHARE(o) (o == 0 -> OWN0 : OWN1 || FROM0)
#else
#define SHARE(o) (o == 0 -> OWN0 : OWN1 && FROM0)
#endif

/* Resets the variables that have no meaning without a slot, so that the search recognises equivalent states as equal. The
   reset loses no lease: the grant for a later request has more of its lease left than the grant for an earlier one. */
#define CLEAN(h) if :: !held[h] -> keep[h] = 0; lease[h] = 0 :: else fi

/* Removes account k. */
inline forget(k) {
	count[k] = 0;
	entitled[k] = 0;
	reclaim[k] = 0;
	current[k] = 0
}

/* Lets one unit of time pass: counts down all timers and applies what expires. */
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
		/* The upstream drops the request at its deadline. As after any other end, the holder then keeps the slot only
		   if it may. */
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

/* Member 0 sends its pledge to owner 1, for the first time or as a renewal. */
inline sendPledge() {
	to0 = 1;
	age = PLEDGE + HOLD;
	msgValid = PLEDGE;
	msgWait = quiet[0];
	msgFreed = freed[0] && !hasHandoff[1];
	handFrees = 0
}

/* Owner 1 receives member 0's pledge. */
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

/* Owner o ends its term by a handoff to the other member. The handoff lists the slots that the owner granted; the owner
   itself keeps them as foreign slots. The pledges that it received no longer count. */
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

/* Member m receives the handoff. */
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
	/* Both owners have the handoff, so no pledge has to wait for it. */
	freed[0] = 0;
	freed[1] = 0;
	msgFreed = 0
}

/* Owner o receives the request of holder h and answers it with a grant. There is no answer to a request of a former
   epoch, because the holder would drop it. */
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
/* Owner o receives the late request of holder 0. In package lease the request would also free foreign slots of a still
   older epoch; the model does not distinguish these epochs and keeps the slots. */
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

/* Holder h receives a grant. */
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

/* Removes the message on the way to or from holder h. */
inline dropMessage(h) {
	msg[h] = nothing;
	msgOwner[h] = 0;
	msgHeld[h] = 0;
	msgAdd[h] = 0;
	msgCurrent[h] = 0;
	msgLeft[h] = 0
}

/* Holder h sends a request, which renews its lease when it is answered. */
inline sendRequest(h) {
	msg[h] = request;
	msgOwner[h] = uses[h];
	msgHeld[h] = held[h];
	msgAdd[h] = 0;
	msgCurrent[h] = 1;
	msgLeft[h] = LEASE
}

/* Holder h changes to owner o and starts a new epoch. It gives up its slot unless a request is in flight. */
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

/* The steps of holder h and of the owners that it sends requests to, in this order: send a request that differs from the
   one on the way; receive a grant; a request arrives at owner 0 or at owner 1; start a request to the upstream; end it;
   return the idle slot. */
#define HOLDER(h) \
	:: d_step { msg[h] != request || !msgCurrent[h] || msgLeft[h] < LEASE || msgHeld[h] != held[h] -> sendRequest(h) } \
	:: d_step { msg[h] == grant -> takeGrant(h) } \
	:: d_step { msg[h] == request && msgOwner[h] == 0 -> takeRequest(0, h) } \
	:: d_step { msg[h] == request && msgOwner[h] == 1 -> takeRequest(1, h) } \
	:: d_step { lease[h] > 0 && held[h] && busy[h] == 0 -> busy[h] = DEADLINE; assert(busy[1 - h] == 0) } \
	:: d_step { busy[h] > 0 -> busy[h] = 0; held[h] = held[h] && keep[h]; CLEAN(h) } \
	:: d_step { held[h] && busy[h] == 0 -> held[h] = 0; CLEAN(h) }

/* Holder h changes its owner. */
#define CHANGES(h) :: d_step { newEpoch(h, 1 - uses[h]) }

init {
	if
	:: uses[1] = 0
	:: uses[1] = 1
	fi;
	do
	:: d_step { true -> tick() }
	/* Member 0 pledges to itself or to owner 1, or releases its pledge. A pledge to itself needs no message and ends
	   at once. */
	:: d_step { to0 == NONE -> to0 = 0 }
	:: d_step { to0 == 0 -> to0 = NONE; freed[0] = 0; quiet[0] = WAIT_SELF }
	:: d_step { to0 == NONE || to0 == 1 -> sendPledge() }
	:: d_step { to0 == 1 && age <= HOLD -> to0 = NONE; freed[0] = 0; quiet[0] = MAX(quiet[0], age); age = 0 }
	:: d_step { msgValid > 0 -> takePledge() }
	/* Member 1 pledges to itself or releases its pledge. */
	:: d_step { !self1 -> self1 = 1 }
	:: d_step { self1 -> self1 = 0; freed[1] = 0; quiet[1] = WAIT_SELF }
	/* An owner hands over, or the other member receives the handoff. */
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
