/* Models one order with a caller's key (package order): two hosts, the log stream of claims, and upstreams that may be
 * slow. A host may run the order only after its claim of the key is the first one in the log that was not released.
 * The log may lose an append, apply it without an answer, or apply it late. A host may be restarted; it is frozen while
 * the scheduler does not choose it. Deadlines may pass at any time.
 * Checked: the order runs at most once; a request whose caller was told "not run" never runs; no request runs after its
 * deadline.
 * Each of the variants that must fail leaves out or breaks one rule:
 *   RUN_BEFORE_READ       a host runs the order once its claim is appended, before it reads the claim back
 *   ANY_CLAIM             a claim counts even if another claim precedes it
 *   RUN_ABANDONED         a host runs a request that it gave up when the claim of the request turns out to be first
 *   RETRY_UNKNOWN         a host starts another attempt although the outcome of the last one is unknown
 *   RELEASE_ANY           a release frees the key whichever claim holds it
 *   RELEASE_FOREIGN       a host releases a claim of another host or of a former incarnation
 *   SAME_INCARNATION      a restarted host treats the claims of its former incarnation as its own
 *   NO_UPSTREAM_DEADLINE  an upstream runs a request that arrives after its deadline
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
#define REQUESTS 3     /* most requests of all hosts together; a number from 1 identifies a request and its claim */
#define LOG 5          /* most records in the log */
#define RESTARTS 1     /* most restarts of hosts */

/* Kinds of records. */
#define CLAIM 1
#define RELEASE 2

/* Phases of the order on one host. */
#define IDLE 0         /* no request is active, and the host may not run the order */
#define WAIT 1         /* the claim has not been read back from the log */
#define RUN 2          /* the claim holds the key; the request may be sent to an upstream */
#define SENT 3         /* an attempt was sent to an upstream and has not finished */
#define READY 4        /* the claim holds the key, no upstream ran the order, and no request is active */
#define FINAL 5        /* the order ran or may have run */

/* The requests. The arrays have an unused element 0, because numbers start at 1. */
byte owner[REQUESTS + 1];      /* the incarnation of the host that received the request */
byte hostOf[REQUESTS + 1];     /* the host, 0 or 1, that received the request */
bool late[REQUESTS + 1];       /* the deadline has passed */
bool notRun[REQUESTS + 1];     /* the caller was told that the request did not run */
bool dropped[REQUESTS + 1];    /* the upstream refused the attempt */
bool ran[REQUESTS + 1];        /* the upstream ran the request */
byte requests = 0;             /* number of requests so far */
byte runs = 0;                 /* number of runs of the order */

/* The log: the kind of each record and the number of the claim. */
byte kind[LOG];
byte number[LOG];
byte length = 0;

byte delayed = 0;              /* the claim whose append is delayed, 0 if there is none */
byte restarts = 0;             /* number of restarts so far */
byte incarnations = HOSTS;     /* number of incarnations so far; also the last incarnation used */

/* Attempts on the way to an upstream. */
chan upstream = [2] of { byte };

/* Request n exists, its deadline has not passed and it has not ended. A deadline that passes after the end changes
   nothing and is not modelled. */
#define open(n) (requests >= n && !late[n] && !notRun[n] && !ran[n] && !dropped[n])

/* Appends a record of kind k for claim n. */
inline append(k, n) {
	kind[length] = k;
	number[length] = n;
	length++
}

/* Tells the caller of request n that it did not run. */
inline tellNotRun(n) {
	assert(!ran[n]);
	notRun[n] = true
}

/* Claim n was made by this incarnation of the host. */
#ifdef SAME_INCARNATION
#define own(n) (hostOf[n] == me)
#else
#define own(n) (owner[n] == self)
#endif

/* Sets n to the number of a new request of this host. */
inline newRequest(n) {
	requests++;
	n = requests;
	owner[n] = self;
	hostOf[n] = me
}

/* Applies the next record in log order. If a claim wins the key after this host gave up its request, the host releases
   the claim. */
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
			phase = IDLE; mine = 0     /* the request is relayed to the host that holds the key */
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
			phase = IDLE; mine = 0     /* relayed, or claimed again under another number */
#endif
		:: else
		fi
	fi;
	n = 0;
	cursor++
}

proctype Host(byte me) {
	byte self = me + 1;        /* incarnation */
	byte cursor = 0;           /* offset of the next record to read */
	byte holder = 0;           /* the claim that holds the key by the records read, 0 if there is none */
	byte mine = 0;             /* the request in progress, 0 if there is none */
	byte releasing = 0;        /* the claim to be released, 0 if there is none */
	byte phase = IDLE;
	bool unsent = false;       /* the claim of the request has not been sent to the log */
	byte n = 0;                /* temporary variable of readRecord */

	do
	/* The hosts are interchangeable, so it is enough that host 0 receives the first request. */
	:: atomic { phase == IDLE && requests < REQUESTS && (requests > 0 || me == 0) && (holder == 0 || own(holder)) ->
		newRequest(mine); phase = WAIT; unsent = true }
	:: atomic { phase == READY && requests < REQUESTS -> newRequest(mine); phase = RUN }
	:: atomic { phase == WAIT && unsent && length < LOG -> unsent = false; append(CLAIM, mine);
#ifdef RUN_BEFORE_READ
		phase = RUN
#endif
		}
	:: atomic { phase == WAIT && unsent && delayed == 0 -> unsent = false; delayed = mine }
	/* The host may stop waiting for its claim at any time, at the deadline at the latest. */
	:: atomic { phase == WAIT -> tellNotRun(mine); phase = IDLE; mine = 0; unsent = false }
	:: atomic { releasing != 0 && length < LOG -> append(RELEASE, releasing); releasing = 0 }
	:: atomic { releasing != 0 && length < LOG -> append(RELEASE, releasing) }   /* the append is not answered and is repeated */
	:: atomic { cursor < length -> readRecord() }
	:: atomic { phase == RUN && late[mine] -> tellNotRun(mine); phase = READY; mine = 0 }
	:: atomic { phase == RUN && !late[mine] && nfull(upstream) -> upstream!mine; phase = SENT }
	:: atomic { phase == SENT && ran[mine] -> phase = FINAL; mine = 0 }
	:: atomic { phase == SENT && dropped[mine] -> tellNotRun(mine); phase = READY; mine = 0 }
	:: atomic { phase == SENT -> mine = 0;      /* connection reset or deadline: outcome unknown */
#ifdef RETRY_UNKNOWN
		phase = READY
#else
		phase = FINAL
#endif
		}
#ifdef RELEASE_FOREIGN
	:: atomic { holder != 0 && !own(holder) && releasing == 0 -> releasing = holder }
#endif
	/* A restart: a new incarnation reads the log from its start. */
	:: atomic { restarts < RESTARTS -> restarts++; incarnations++; self = incarnations; cursor = 0; holder = 0;
		mine = 0; releasing = 0; phase = IDLE; unsent = false }
	od
}

/* Upstreams run the requests that arrive before their deadlines, and may shed any request. */
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

/* Applies or loses delayed appends, and lets deadlines pass. */
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
