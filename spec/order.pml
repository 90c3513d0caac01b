/* Orders with a caller's key: two hosts, one key, the stream of claims, upstreams that may be slow.
 * The log may lose an append, apply it without an answer, or apply it late. A host may be restarted; it freezes when the scheduler
 * does not choose it. Deadlines pass at any time.
 * Checked: the order runs at most once; a request that was told "not run" never runs; no request runs after its deadline.
 */
/* variant base expect pass */
/* variant RUN_BEFORE_READ expect fail */
/* variant ANY_CLAIM expect fail */
/* variant RUN_ABANDONED expect fail */
/* variant RETRY_UNKNOWN expect fail */
/* variant RELEASE_ANY expect fail */
/* variant RELEASE_FOREIGN expect fail */
/* variant SAME_INCARNATION expect fail */
/* variant NO_UPSTREAM_DEADLINE expect fail */

#define HOSTS 2
#define REQUESTS 3     /* requests of all hosts together; each names itself and its claim by one number */
#define LOG 5
#define RESTARTS 1

#define CLAIM 1
#define RELEASE 2

#define IDLE 0
#define WAIT 1         /* the claim was not read back */
#define RUN 2          /* the claim is held, no attempt was made */
#define SENT 3         /* an attempt is on its way to an upstream */
#define READY 4        /* the claim is held, nothing ran */
#define FINAL 5        /* it ran or may have run */

/* One more element than is used, because numbers start at 1. */
byte owner[REQUESTS + 1];      /* incarnation of the request's host */
byte hostOf[REQUESTS + 1];
bool late[REQUESTS + 1];       /* the deadline has passed */
bool notRun[REQUESTS + 1];     /* the caller was told that the request did not run */
bool dropped[REQUESTS + 1];    /* the upstream refused it */
bool ran[REQUESTS + 1];
byte requests = 0;
byte runs = 0;

byte kind[LOG];
byte number[LOG];
byte length = 0;

byte delayed = 0;              /* a claim that takes effect later */
byte restarts = 0;
byte incarnations = HOSTS;

chan upstream = [2] of { byte };

/* A deadline that passes after the end of the request changes nothing. */
#define open(n) (requests >= n && !late[n] && !notRun[n] && !ran[n] && !dropped[n])

inline append(k, n) {
	kind[length] = k;
	number[length] = n;
	length++
}

inline tellNotRun(n) {
	assert(!ran[n]);
	notRun[n] = true
}

#ifdef SAME_INCARNATION
#define own(n) (hostOf[n] == me)
#else
#define own(n) (owner[n] == self)
#endif

inline newRequest(n) {
	requests++;
	n = requests;
	owner[n] = self;
	hostOf[n] = me
}

/* Applies the next record in log order. */
inline readRecord() {
	n = number[cursor];
	if
	:: kind[cursor] == RELEASE ->
		if
#ifdef RELEASE_ANY
		:: holder != 0 -> holder = 0
#else
		:: holder == n -> holder = 0
#endif
		:: else
		fi
	:: kind[cursor] == CLAIM && holder == 0 ->
		holder = n;
		if
		:: phase == WAIT && n == mine && !late[n] -> phase = RUN
		:: phase == WAIT && n == mine && late[n] -> tellNotRun(n); phase = IDLE; mine = 0; releasing = n
		:: n != mine && own(n) ->
#ifdef RUN_ABANDONED
			phase = RUN; mine = n
#else
			releasing = n
#endif
		:: phase == WAIT && n != mine && !own(n) ->
#ifndef ANY_CLAIM
			phase = IDLE; mine = 0     /* relayed */
#else
			skip
#endif
		:: else
		fi
	:: kind[cursor] == CLAIM && holder != 0 ->
		if
		:: phase == WAIT && n == mine ->
#ifdef ANY_CLAIM
			phase = RUN
#else
			phase = IDLE; mine = 0     /* relayed, or claimed again as another request */
#endif
		:: else
		fi
	fi;
	n = 0;
	cursor++
}

proctype Host(byte me) {
	byte self = me + 1;
	byte cursor = 0;
	byte holder = 0;
	byte mine = 0;
	byte releasing = 0;
	byte phase = IDLE;
	bool unsent = false;
	byte n = 0;

	do
	/* The hosts are alike, so the first request may be host 0's. */
	:: atomic { phase == IDLE && requests < REQUESTS && (requests > 0 || me == 0) && (holder == 0 || own(holder)) ->
		newRequest(mine); phase = WAIT; unsent = true }
	:: atomic { phase == READY && requests < REQUESTS -> newRequest(mine); phase = RUN }
	:: atomic { phase == WAIT && unsent && length < LOG -> unsent = false; append(CLAIM, mine);
#ifdef RUN_BEFORE_READ
		phase = RUN
#endif
		}
	:: atomic { phase == WAIT && unsent && delayed == 0 -> unsent = false; delayed = mine }
	/* The wait for a claim ends at or before the deadline. */
	:: atomic { phase == WAIT -> tellNotRun(mine); phase = IDLE; mine = 0; unsent = false }
	:: atomic { releasing != 0 && length < LOG -> append(RELEASE, releasing); releasing = 0 }
	:: atomic { releasing != 0 && length < LOG -> append(RELEASE, releasing) }   /* unanswered: repeated */
	:: atomic { cursor < length -> readRecord() }
	:: atomic { phase == RUN && late[mine] -> tellNotRun(mine); phase = READY; mine = 0 }
	:: atomic { phase == RUN && !late[mine] && nfull(upstream) -> upstream!mine; phase = SENT }
	:: atomic { phase == SENT && ran[mine] -> phase = FINAL; mine = 0 }
	:: atomic { phase == SENT && dropped[mine] -> tellNotRun(mine); phase = READY; mine = 0 }
	:: atomic { phase == SENT -> mine = 0;      /* reset or deadline: unknown */
#ifdef RETRY_UNKNOWN
		phase = READY
#else
		phase = FINAL
#endif
		}
#ifdef RELEASE_FOREIGN
	:: atomic { holder != 0 && !own(holder) && releasing == 0 -> releasing = holder }
#endif
	:: atomic { restarts < RESTARTS -> restarts++; incarnations++; self = incarnations; cursor = 0; holder = 0;
		mine = 0; releasing = 0; phase = IDLE; unsent = false }
	od
}

/* Upstreams run what arrives before its deadline. */
active proctype Upstream() {
	byte n;
	do
	:: atomic { upstream?n ->
		if
#ifndef NO_UPSTREAM_DEADLINE
		:: late[n] -> dropped[n] = true
		:: !late[n] ->
#else
		:: true ->
#endif
			assert(!late[n]);
			assert(!notRun[n]);
			ran[n] = true;
			runs++;
			assert(runs <= 1)
		:: dropped[n] = true               /* shed */
		fi;
		n = 0 }
	od
}

/* Applies delayed appends, or loses them, and lets deadlines pass. */
active proctype Environment() {
	do
	:: atomic { delayed != 0 && length < LOG -> append(CLAIM, delayed); delayed = 0 }
	:: delayed = 0
	:: atomic { open(1) -> late[1] = true }
	:: atomic { open(2) -> late[2] = true }
	:: atomic { open(3) -> late[3] = true }
	od
}

init {
	atomic {
		run Host(0);
		run Host(1)
	}
}
