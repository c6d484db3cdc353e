/*
 * At most once, by ticket.
 *
 * Models: one request that may not be repeated, its key issued by one
 * incarnation of daemon 0, copies of it that callers send to any daemon, and
 * the endpoint that would run it.  Only the issuing incarnation may dispatch.
 *
 * Leaves out: the object store (the safety argument doesn't use it), how
 * tickets are issued, the content of answers, several keys (they share no
 * state), the byte stream of an answer.
 *
 * Assumes: a dispatch is one HTTP request on one TCP connection, so the network
 * may lose or delay it but not double it.  The HTTP client must therefore not
 * resend on its own; FAULT_RETRY shows what happens otherwise.
 *
 * Stands for: the keyed-request state machine and its ticket decider in the
 * library's core, and the hand-over of a keyed request between daemons.
 *
 * Bounds: DAEMONS daemons, COPIES copies in all (repeats and doubles), DEATHS
 * deaths.  Every step is an action of its own, so a pause at any step is one of
 * the interleavings.
 */

#ifndef DAEMONS
#define DAEMONS 3
#endif
#ifndef COPIES
#define COPIES 4
#endif
#if !defined(DEATHS) && defined(FAULT_OWNER_BY_HASH)
#define DEATHS 0 /* the rejected design fails by a pause alone */
#endif
#ifndef DEATHS
#define DEATHS 3
#endif
#define ISSUER 0
#define ISSUED_BY 1 /* the incarnation named in the ticket */

mtype = { Fresh, Claimed, Dispatched, Finished, Refused, Unknown };
mtype = { None, Ran, Declined };

/* Daemons.  `request` is memory and dies with the process. */
bool alive[DAEMONS];
byte incarnation[DAEMONS];
mtype request[DAEMONS];
bool connected[DAEMONS];   /* the connection of its dispatch is still open */
mtype answer[DAEMONS];     /* what the endpoint sent back on it */

/* Messages on their way; any may be taken late, or never. */
byte from_caller[DAEMONS];
byte from_peer[DAEMONS];
byte to_endpoint[DAEMONS];
byte copies_sent;
byte deaths;

/* Ghosts: for the assertions only. */
byte runs;
bool said_not_run;

#ifdef FAULT_OWNER_BY_HASH
/* Whom each daemon takes for the key's owner.  Daemon d takes over when the
 * heartbeats of a paused owner stay away; the paused one doesn't learn of it. */
byte owner[DAEMONS];
#define may_decide(d) (owner[d] == d)
#define decider(d)    owner[d]
#elif defined(FAULT_TICKET_WITHOUT_INCARNATION)
#define may_decide(d) (d == ISSUER)
#define decider(d)    ISSUER
#else
/* An address may by now belong to a later process.  If that process took the
 * ticket for its own, it would run what its predecessor may have run; it would
 * show as a second run after a restart.  A process can't have the number that
 * another one drew, so at most one memory ever decides for the key. */
#define may_decide(d) (d == ISSUER && incarnation[d] == ISSUED_BY)
#define decider(d)    ISSUER
#endif

inline reply_not_run() {
    assert(runs == 0);
    said_not_run = true
}

inline reply_unknown(d) {
    /* The repeat of a finished request gets its answer while that is kept. */
    assert(!(may_decide(d) && request[d] == Finished))
}

inline reply_answer(d) {
    assert(runs == 1 && request[d] == Finished)
}

/* A copy reaches the one who decides for the key. */
inline take_copy(d) {
    if
    :: request[d] == Fresh ->
        if
        :: request[d] = Claimed           /* Submit */
        :: request[d] = Refused;          /* Refuse: full, or too late */
           reply_not_run();
#ifdef FAULT_REFUSAL_KEEPS_KEY
           request[d] = Fresh
#endif
        fi
    :: request[d] == Claimed || request[d] == Dispatched ->
        /* Repeat: waits for the same answer. */
#ifdef FAULT_REPEAT_STARTS_AGAIN
        request[d] = Claimed
#else
        skip
#endif
    :: request[d] == Finished ->
#ifdef FAULT_ANSWER_NOT_KEPT
        reply_unknown(d)
#else
        reply_answer(d)
#endif
    :: request[d] == Refused -> reply_not_run()
    :: request[d] == Unknown -> reply_unknown(d)
    fi
}

proctype Daemon(byte d) {
    do
    :: atomic { alive[d] && from_caller[d] > 0 ->
        from_caller[d]--;
        if
        :: may_decide(d) -> take_copy(d)
        :: !may_decide(d) && decider(d) != d -> from_peer[decider(d)]++
        :: !may_decide(d) ->
            /* Another copy may be at, or on its way to, the one who decides.
             * `not run` from here would be a guess; the sign would be a run
             * after that refusal.  `outcome unknown` is always true. */
#ifdef FAULT_REFUSED_BY_BYSTANDER
            reply_not_run()
#else
            reply_unknown(d)
#endif
        fi }
    :: atomic { alive[d] && from_peer[d] > 0 ->
        from_peer[d]--;
        if
        :: may_decide(d) -> take_copy(d)
        :: else -> reply_unknown(d)
        fi }
    :: atomic { alive[d] && request[d] == Claimed ->                /* Dispatch */
        request[d] = Dispatched;
        connected[d] = true;
        to_endpoint[d]++ }
    :: atomic { alive[d] && request[d] == Claimed ->                /* Refuse */
        /* No byte has left, and with the key used up none will. */
        request[d] = Refused;
        reply_not_run() }
    :: atomic { alive[d] && request[d] == Dispatched && answer[d] == Ran ->
        request[d] = Finished;                                      /* Answer */
        answer[d] = None;
        reply_answer(d) }
    :: atomic { alive[d] && request[d] == Dispatched && answer[d] == Declined ->
        request[d] = Refused;        /* Refuse: the endpoint itself said so */
        answer[d] = None;
        reply_not_run() }
    :: atomic { alive[d] && request[d] == Dispatched && answer[d] == None ->
        /* Lost: connection broken or time-out.  The endpoint may have run it,
         * or may take it later. */
        connected[d] = false;
#if defined(FAULT_RETRY)
        request[d] = Claimed
#elif defined(FAULT_LOST_IS_NOT_RUN)
        request[d] = Refused;
        reply_not_run()
#else
        request[d] = Unknown;
        reply_unknown(d)
#endif
        }
    :: atomic { alive[d] && may_decide(d) && request[d] != Unknown &&
                request[d] != Dispatched && request[d] != Claimed ->
        /* Expire: by this daemon's clock alone.  Forgetting the key instead
         * would let a late copy run it again. */
#ifdef FAULT_EXPIRY_FREES_KEY
        request[d] = Fresh
#else
        request[d] = Unknown
#endif
        }
    :: atomic { alive[d] && deaths < DEATHS ->
        deaths++;
        alive[d] = false;
        request[d] = Fresh;
        connected[d] = false;
        answer[d] = None }
    :: atomic { !alive[d] ->                                        /* Restart */
        alive[d] = true;
        incarnation[d]++ }
#ifdef FAULT_OWNER_BY_HASH
    :: atomic { alive[d] && owner[d] != d -> owner[d] = d }
#endif
    od
}

proctype Callers() {
    byte d;
    do
    :: atomic { copies_sent < COPIES ->
        copies_sent++;
        select(d : 0 .. DAEMONS - 1);
        from_caller[d]++;
        d = 0 }
    od
}

proctype Network() {
    byte d;
    do
    :: atomic {
        select(d : 0 .. DAEMONS - 1);
        if
        :: from_caller[d] > 0 -> from_caller[d]--
        :: from_peer[d] > 0 -> from_peer[d]--
        :: from_peer[d] > 0 && copies_sent < COPIES ->
            copies_sent++;
            from_peer[d]++
        :: to_endpoint[d] > 0 -> to_endpoint[d]--
        :: else
        fi;
        d = 0 }
    od
}

proctype Endpoint() {
    byte d;
    do
    :: atomic {
        select(d : 0 .. DAEMONS - 1);
        if
        :: to_endpoint[d] > 0 ->
            to_endpoint[d]--;
            runs++;
            assert(runs <= 1);
            assert(!said_not_run);
            if
            :: connected[d] -> answer[d] = Ran
            :: else
            fi
        :: to_endpoint[d] > 0 ->
            to_endpoint[d]--;
            if
            :: connected[d] -> answer[d] = Declined
            :: else
            fi
        :: else
        fi;
        d = 0 }
    od
}

init {
    byte d;
    atomic {
        for (d : 0 .. DAEMONS - 1) {
            alive[d] = true;
            incarnation[d] = 1;
            request[d] = Fresh;
            answer[d] = None;
            run Daemon(d)
        }
        d = 0;
        run Callers();
        run Network();
        run Endpoint()
    }
}
