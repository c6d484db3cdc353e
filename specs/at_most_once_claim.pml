/*
 * At most once, by claim.
 *
 * Models: one request that may not be repeated, under a key that the caller
 * brought; copies of it at any daemon, also at two at once; the claim, an object
 * created by conditional write before the dispatch; the platform away at any
 * moment; writes that land late, even after their sender died, and writes whose
 * answer is lost.
 *
 * Leaves out: the content of answers, several keys in one group, the storing of
 * answers (the claim's holder keeps them in memory), the hand-over between
 * daemons as messages of its own (a repeat is asked of the holder in one step;
 * at_most_once_ticket.pml has it step by step).
 *
 * Assumes: the platform's conditional writes are linearizable; a dispatch is
 * lost or late but never doubled (one request on one connection).
 *
 * Stands for: the keyed-request state machine and its claim decider in the
 * library's core, and the grouping of claims before the platform's trait.
 *
 * Bounds: DAEMONS daemons, COPIES copies, DEATHS deaths, WRITES writes; outages
 * are not bounded.
 */

#ifndef DAEMONS
#define DAEMONS 2
#endif
#ifndef COPIES
#define COPIES 3
#endif
#ifndef DEATHS
#define DEATHS 2
#endif
#ifndef WRITES
#define WRITES 3
#endif

#define NOBODY 255

mtype = { Fresh, Deciding, Claimed, Dispatched, Finished, Refused, Unknown };
mtype = { None, Ran, Declined };

/* A process is one incarnation of one daemon. */
#define PROCESSES ((DEATHS + 2) * DAEMONS)
#define process(d) (incarnation[d] * DAEMONS + d)

/* Daemons: memory, lost with the process. */
bool alive[DAEMONS];
byte incarnation[DAEMONS];
mtype request[DAEMONS];
bool refusing[DAEMONS];     /* the claim is meant for a refusal */
bool connected[DAEMONS];
mtype answer[DAEMONS];

/* Platform. */
bool platform_up = true;
byte writes;
byte deaths;
bool expired;               /* the key's period is closed, for ever */
#ifdef FAULT_GROUP_BY_DAEMON
byte claim[DAEMONS];        /* a group object for each daemon */
#define claim_of(d) claim[d]
#else
/* One object holds the claims of many keys, and the key alone says which.  If
 * each daemon grouped its own claims, both creations would succeed; it would
 * show as one key in two groups. */
byte claim[1];
#define claim_of(d) claim[0]
#endif

/* Messages. */
byte copies[DAEMONS];
byte copies_sent;
byte to_endpoint[DAEMONS];
byte writes_out[PROCESSES];     /* sent by each process, not yet landed */
byte claimed_by_you[DAEMONS];   /* answers on their way to the living process */
byte claimed_by_other[DAEMONS];

/* Ghosts. */
byte runs;
bool said_not_run;

inline reply_not_run() {
    assert(runs == 0);
    said_not_run = true
}

/* A claimant is a process, not a daemon's name.  A restarted daemon that finds
 * its predecessor's claim must not read it as its own write with a lost answer:
 * it would run again what may have run. */
#ifdef FAULT_CLAIM_BY_NAME
#define is_own(c, d) (c != NOBODY && c % DAEMONS == d)
#else
#define is_own(c, d) (c == process(d))
#endif

#define is_settled(d) \
    (request[d] == Finished || request[d] == Refused || request[d] == Unknown)

/* A daemon forgets a key only when none of its writes for it is outstanding.
 * Otherwise a late copy is decided anew while the answer to the first write,
 * `claimed by you`, is still on its way, and that answer dispatches it again. */
#ifdef FAULT_FORGET_WITH_WRITE_OUT
#define has_write_out(d) false
#else
#define has_write_out(d) \
    (writes_out[process(d)] + claimed_by_you[d] + claimed_by_other[d] > 0)
#endif

inline send_write(d) {
    if
    :: writes < WRITES ->
        writes++;
        request[d] = Deciding;
        writes_out[process(d)]++
    :: else     /* the model's bound */
    fi
}

/* ClaimWritten and ClaimLost come from a write's answer or from reading back. */
inline claim_written(d) {
    if
    :: refusing[d] ->
        request[d] = Refused;                               /* Refuse */
        reply_not_run()
    :: !refusing[d] -> request[d] = Claimed
    fi;
    refusing[d] = false
}

inline claim_lost(d) {
    request[d] = Unknown;
    refusing[d] = false
}

/* A copy at a daemon that isn't the holder: the holder is asked, if it lives. */
inline ask_holder(d) {
    h = claim_of(d);
    if
    :: h != NOBODY && alive[h % DAEMONS] && process(h % DAEMONS) == h &&
       request[h % DAEMONS] == Refused -> reply_not_run()
    :: else     /* its answer, a wait for it, or `outcome unknown` */
    fi;
    h = 0
}

proctype Daemon(byte d) {
    byte h;
    do
    :: atomic { alive[d] && copies[d] > 0 ->
        copies[d]--;
        if
        :: request[d] == Fresh && platform_up ->            /* Submit */
            if
            :: refusing[d] = false
            :: refusing[d] = true   /* full, or too late: the claim seals it */
            fi;
            send_write(d)
        :: request[d] == Fresh && !platform_up ->
            /* Nobody can decide.  Another daemon may have taken a copy before
             * the outage, so `not run` would be a guess. */
#ifdef FAULT_OUTAGE_IS_NOT_RUN
            reply_not_run()
#else
            skip    /* `outcome unknown; ask again with this key` */
#endif
        :: request[d] == Deciding || request[d] == Claimed ||
           request[d] == Dispatched                         /* Repeat: waits */
        :: request[d] == Finished -> assert(runs == 1)      /* Repeat: answered */
        :: request[d] == Refused -> reply_not_run()
        :: request[d] == Unknown -> ask_holder(d)
        fi }
    :: atomic { alive[d] && claimed_by_you[d] > 0 ->
        claimed_by_you[d]--;
#ifdef FAULT_LATE_ANSWER_DECIDES
        claim_written(d)
#else
        /* Taken as news after reading back has settled it, this answer would move
         * a dispatched request to Claimed and dispatch it again. */
        if
        :: request[d] == Deciding -> claim_written(d)
        :: else
        fi
#endif
        }
    :: atomic { alive[d] && claimed_by_other[d] > 0 ->
        claimed_by_other[d]--;
        if
        :: request[d] == Deciding -> claim_lost(d)
        :: else
        fi }
    :: atomic { alive[d] && request[d] == Deciding && platform_up ->
        /* The answer stays away: read back.  A claim in force settles it.  None
         * doesn't, for the write may land later: the same write goes out again,
         * and the first to land decides. */
        if
        :: is_own(claim_of(d), d) -> claim_written(d)
        :: !is_own(claim_of(d), d) && (claim_of(d) != NOBODY || expired) ->
            claim_lost(d)
        :: claim_of(d) == NOBODY && !expired ->
#ifdef FAULT_READ_BACK_NONE_IS_NOT_RUN
            request[d] = Refused;
            refusing[d] = false;
            reply_not_run()
#else
            send_write(d)
#endif
        fi }
    :: atomic { alive[d] && request[d] == Claimed ->        /* Dispatch */
        request[d] = Dispatched;
        connected[d] = true;
        to_endpoint[d]++ }
    :: atomic { alive[d] && request[d] == Claimed ->        /* Refuse */
        /* The claim names this process, so no other can dispatch. */
        request[d] = Refused;
        reply_not_run() }
    :: atomic { alive[d] && request[d] == Dispatched && answer[d] == Ran ->
        request[d] = Finished;                              /* Answer */
        answer[d] = None }
    :: atomic { alive[d] && request[d] == Dispatched && answer[d] == Declined ->
        request[d] = Refused;                               /* Refuse */
        answer[d] = None;
        reply_not_run() }
    :: atomic { alive[d] && request[d] == Dispatched && answer[d] == None ->
        connected[d] = false;                               /* Lost */
#ifdef FAULT_LOST_IS_NOT_RUN
        reply_not_run();
#endif
        request[d] = Unknown }
    :: atomic { alive[d] && expired && is_settled(d) && !has_write_out(d) ->
        request[d] = Fresh }                                /* Expire */
    :: atomic { alive[d] && deaths < DEATHS ->
        deaths++;
        alive[d] = false;
        request[d] = Fresh;
        refusing[d] = false;
        connected[d] = false;
        answer[d] = None;
        claimed_by_you[d] = 0;
        claimed_by_other[d] = 0 }
    :: atomic { !alive[d] ->                                /* Restart */
        alive[d] = true;
        incarnation[d]++ }
    od
}

proctype Platform() {
    byte p, d;
    do
    :: atomic { platform_up -> platform_up = false }
    :: atomic { !platform_up -> platform_up = true }
    :: atomic {
        select(p : DAEMONS .. PROCESSES - 1);
        if
        :: writes_out[p] > 0 -> writes_out[p]--             /* lost */
        :: writes_out[p] > 0 ->
            /* Lands, in any order, also after its sender gave up or died. */
            writes_out[p]--;
            d = p % DAEMONS;
            if
            :: claim_of(d) == NOBODY && !expired -> claim_of(d) = p
            :: else     /* conflict */
            fi;
            if
            :: alive[d] && process(d) == p && is_own(claim_of(d), d) ->
                claimed_by_you[d]++
            :: alive[d] && process(d) == p && !is_own(claim_of(d), d) ->
                claimed_by_other[d]++
            :: skip     /* took effect, answer lost */
            fi
        :: else
        fi;
        p = 0; d = 0 }
    :: atomic { claim[0] != NOBODY && !expired ->           /* Expire */
        /* Claims can't be kept for ever.  The period that a key belongs to is
         * closed in the same conditional update that drops its claims;
         * otherwise a late copy would find the key fresh and run again. */
        claim[0] = NOBODY;
#ifndef FAULT_EXPIRY_FREES_KEY
        expired = true
#endif
        }
    od
}

proctype Callers() {
    byte d;
    do
    :: atomic { copies_sent < COPIES ->
        copies_sent++;
        select(d : 0 .. DAEMONS - 1);
        copies[d]++;
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
        claim[0] = NOBODY;
#ifdef FAULT_GROUP_BY_DAEMON
        claim[1] = NOBODY;
#endif
        for (d : 0 .. DAEMONS - 1) {
            alive[d] = true;
            incarnation[d] = 1;
            request[d] = Fresh;
            answer[d] = None;
            run Daemon(d)
        }
        d = 0;
        run Platform();
        run Callers();
        run Endpoint()
    }
}
