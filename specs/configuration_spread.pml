/*
 * Configuration, in force on the daemons.
 *
 * Models: daemons that learn the newest version from the platform or from peers,
 * pass it to peers before they apply it, and die and restart with empty memory;
 * the platform away at any moment; stale copies of a version from any peer; one
 * daemon that leaves for ever.
 *
 * Leaves out: how a version is accepted (configuration_history.pml), content of
 * sections, sections by workspace, who watches the head and who hears from peers
 * (any daemon may do either), joining (there are always three).
 *
 * Assumes: a read of the head returns the newest version.
 *
 * Stands for: the configuration state machine of a daemon, and the spreading of
 * versions between peers.
 *
 * Bounds: three daemons, versions FIRST to LAST, DEATHS deaths, OUTAGES outages.
 * Within them every run ends, so the liveness property says: whenever faults end,
 * every live daemon has the newest version in force.
 *
 * Quorums: a version is applied when HOLDERS peers have it, and a daemon that
 * starts without the platform needs ANSWERS peers.  HOLDERS + ANSWERS = DAEMONS
 * makes the two sets overlap in a peer that isn't the daemon itself.
 */

#define DAEMONS 3
#define HOLDERS 1
#ifdef FAULT_ONE_ANSWER_IS_ENOUGH
#define ANSWERS 1
#else
#define ANSWERS (DAEMONS - HOLDERS)
#endif
#ifndef DEATHS
#define DEATHS 2
#endif
#ifndef OUTAGES
#define OUTAGES 1
#endif
#define FIRST 1                     /* the version in force at the start */
#define LAST  3

mtype = { Empty, Learning, Replicating, Applied };

/* Platform. */
bool platform_up = true;
byte outages;
byte head = FIRST;

/* Daemons; memory, but for the ghost. */
bool alive[DAEMONS];
bool one_left;                      /* one daemon has left for ever */
byte deaths;
mtype state[DAEMONS];
byte held[DAEMONS];                 /* the highest version seen */
byte applied[DAEMONS];
byte passed_to[DAEMONS];            /* peers that hold `held`, one bit each */
byte answered[DAEMONS];             /* peers that answered at start, one bit each */
byte passed_on = FIRST;             /* the highest version ever sent to a peer */
byte newest_applied[DAEMONS];       /* ghost: in force in any of its lives */

#define next(d)       ((d + 1) % DAEMONS)
#define prev(d)       ((d + 2) % DAEMONS)
#define bit(p)        (1 << (p))
#define count(peers)  ((peers & 1) + ((peers >> 1) & 1) + ((peers >> 2) & 1))
#define is_serving(d) (state[d] == Replicating || state[d] == Applied)
#define is_newest(d)  (!alive[d] || (state[d] == Applied && applied[d] == head))

ltl converges {
    <> [] (head == LAST && platform_up &&
           is_newest(0) && is_newest(1) && is_newest(2))
}

inline see(d, version) {
    held[d] = version;
    passed_to[d] = 0;
    if
    :: state[d] == Applied -> state[d] = Replicating
    :: else
    fi
}

/* A daemon that starts may go on with what peers hold once it has heard ANSWERS
 * of them.  A peer that is itself still empty knows nothing: counted, it would let
 * two restarted daemons fall back to what a third one holds. */
#ifdef FAULT_EMPTY_PEER_COUNTS
#define may_answer(p) alive[p]
#else
#define may_answer(p) (alive[p] && is_serving(p))
#endif

inline hear_answer(d, p) {
    answered[d] = answered[d] | bit(p);
    if
    :: held[p] > held[d] -> see(d, held[p])
    :: else
    fi;
    if
    :: count(answered[d]) >= ANSWERS && held[d] > 0 ->
        state[d] = Replicating;
        answered[d] = 0
    :: else
    fi
}

#define can_pass(d, p) \
    (alive[d] && alive[p] && state[d] == Replicating && state[p] != Empty && \
     !(passed_to[d] & bit(p)))

inline pass(d, p) {
    passed_to[d] = passed_to[d] | bit(p);
    if
    :: held[d] > held[p] -> see(p, held[d])
    :: else
    fi;
    if
    :: held[d] > passed_on -> passed_on = held[d]
    :: else
    fi
}

/* Applied at once, a version would be forgotten if its daemon died during an
 * outage; the daemon would come back with the older one of its peers. */
#ifdef FAULT_APPLIED_BEFORE_REPLICATED
#define may_apply(d) true
#else
#define may_apply(d) (count(passed_to[d]) >= HOLDERS)
#endif

#ifdef FAULT_ONLY_ONE_ASKS
#define may_ask(d) (d == 0)
#else
#define may_ask(d) true
#endif

proctype Daemon(byte d) {
end:
    do
    :: atomic { alive[d] && state[d] == Empty -> state[d] = Learning }   /* Learn */
    :: atomic { alive[d] && state[d] == Learning && platform_up ->
        if
        :: held[d] < head -> see(d, head)
        :: else
        fi;
        state[d] = Replicating;
        answered[d] = 0 }
    /* A daemon that hears nothing asks for itself: pushes may all be lost. */
    :: atomic { alive[d] && is_serving(d) && platform_up && held[d] < head &&
                may_ask(d) -> see(d, head) }
    :: atomic { alive[d] && state[d] == Learning && may_answer(next(d)) &&
                !(answered[d] & bit(next(d))) -> hear_answer(d, next(d)) }
    :: atomic { alive[d] && state[d] == Learning && may_answer(prev(d)) &&
                !(answered[d] & bit(prev(d))) -> hear_answer(d, prev(d)) }
    :: atomic { can_pass(d, next(d)) -> pass(d, next(d)) }          /* Replicated */
    :: atomic { can_pass(d, prev(d)) -> pass(d, prev(d)) }
    :: atomic { alive[d] && state[d] == Replicating && may_apply(d) ->    /* Apply */
        assert(held[d] >= newest_applied[d]);
        applied[d] = held[d];
        newest_applied[d] = held[d];
        passed_to[d] = 0;
        state[d] = Applied }
    /* A version that a peer sent earlier arrives late, or once more. */
    :: atomic { alive[d] && state[d] != Empty && held[d] < passed_on ->
        see(d, held[d] + 1) }
#ifdef FAULT_LOWER_VERSION_TAKEN
    :: atomic { alive[d] && state[d] == Applied && held[d] > passed_on &&
                passed_on > FIRST -> see(d, passed_on) }
#endif
    :: atomic { alive[d] && deaths < DEATHS ->
        deaths++;
        alive[d] = false;
        state[d] = Empty;
        held[d] = 0;
        applied[d] = 0;
        passed_to[d] = 0;
        answered[d] = 0 }
    :: atomic { !alive[d] -> alive[d] = true }                      /* Restart */
    :: atomic { !alive[d] && !one_left -> one_left = true; break }
    od
}

proctype Network() {
end:
    do
    :: atomic { passed_on > FIRST -> passed_on = FIRST }    /* late copies are lost */
    od
}

proctype Platform() {
end:
    do
    :: atomic { platform_up && outages < OUTAGES -> outages++; platform_up = false }
    :: atomic { !platform_up -> platform_up = true }
    :: atomic { platform_up && head < LAST -> head++ }  /* a submission is accepted */
    od
}

init {
    byte d;
    atomic {
        for (d : 0 .. DAEMONS - 1) {
            alive[d] = true;
            state[d] = Applied;
            held[d] = FIRST;
            applied[d] = FIRST;
            newest_applied[d] = FIRST;
            run Daemon(d)
        }
        d = 0;
        run Network();
        run Platform()
    }
}
