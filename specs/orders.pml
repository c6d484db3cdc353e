/*
 * Orders to endpoints.
 *
 * Models: two daemons that take turns at the lease for one endpoint; a lease that
 * lapses while its holder is paused between any two steps; orders that are lost,
 * late or doubled; a wanted version that changes; the endpoint, which checks the
 * fencing number or ignores it (either is chosen at the start); requests that are
 * routed by what the endpoint last reported.
 *
 * Leaves out: clocks.  A lease may lapse at any moment and a wait may be too short,
 * so nothing here rests on time: waiting out the old lease makes crossed orders
 * rare, not impossible.  Also the pace of a rollout, its failure and roll-back, the
 * renewal that only prolongs a lease, and the platform's outages (no lease is had
 * then, which is a pause).
 *
 * Assumes: the lease's conditional updates are linearizable; the endpoint does one
 * order at a time and reports the version that it runs.
 *
 * Stands for: the lease state machine, the issuing of orders and the reading back,
 * and the check of the version in an answer's head.
 *
 * Bounds: TAKEOVERS changes of holder, versions FIRST to LAST wanted, FAULTS lost
 * or doubled orders, REQUESTS requests.  Within them every run ends, so the
 * liveness property says: whenever faults end, the endpoint is as wanted.
 */

#ifndef TAKEOVERS
#define TAKEOVERS 3
#endif
#ifndef FAULTS
#define FAULTS 2
#endif
#ifndef REQUESTS
#define REQUESTS 1
#endif
#define HOLDERS 2
#define FIRST 1
#define LAST  3
#define NOBODY 255
#define TERMS 12                    /* more than any run uses */

mtype = { Vacant, Held, Expired, Waiting };
mtype = { NotSent, Checked, Sent };
mtype = { Idle, Routed, Ran };

/* Platform: the wanted version and the lease object, whose version is the fencing
 * number.  `term` is a ghost that counts the same changes: a fault may keep the
 * number, never the term. */
byte wanted = FIRST;
byte lease_holder = NOBODY;
byte lease_version;
byte lease_term;
byte takeovers;

/* Daemons. */
mtype lease[HOLDERS];
byte number[HOLDERS];
byte term[HOLDERS];
mtype order[HOLDERS];
byte ordered[HOLDERS];              /* the version ordered under this number */

/* Orders on their way, by the term that they were given in; 0: none. */
byte order_out[TERMS];
byte order_number[TERMS];
byte faults;

/* Endpoint. */
bool checks;                        /* refuses an old fencing number */
byte highest_number;
byte loaded = FIRST;
byte newest_taken;                  /* ghost: the newest term taken an order of */

/* Requests. */
byte requests;
mtype request = Idle;
byte decided;                       /* the version that it was decided for */
byte ran_on;

ltl converges { <> [] (wanted == LAST && loaded == LAST) }

/* Acquire and Renew are conditional updates; each raises the object's version. */
inline hold(h) {
    number[h] = lease_version;
    term[h] = lease_term;
    order[h] = NotSent;
    ordered[h] = 0
}

#ifdef FAULT_READ_BACK_STOPS
byte agreeing[HOLDERS];
#define reads_back(h) (agreeing[h] < 2)
#else
#define reads_back(h) true
#endif

proctype Daemon(byte h) {
end:
    do
    :: atomic { lease_holder != h && takeovers < TAKEOVERS &&       /* Acquire */
                (lease[h] == Vacant || lease[h] == Expired) ->
        takeovers++;
        lease_holder = h;
        lease_term++;
#ifdef FAULT_NUMBER_KEPT_AT_TAKEOVER
        lease_version = 1
#else
        lease_version++
#endif
        }
    /* The answer to Acquire, or, if that was lost, a reading of the object. */
    :: atomic { lease_holder == h && (lease[h] == Vacant || lease[h] == Expired) ->
        hold(h);
        lease[h] = Waiting }
    :: atomic { lease[h] == Waiting -> lease[h] = Held }
    :: atomic { (lease[h] == Held || lease[h] == Waiting) && lease_holder != h &&
                order[h] != Checked ->                              /* Lapse */
        lease[h] = Expired;
        order[h] = NotSent }
    /* One number stands for one order.  A second order under the same number can't
     * be told from a late copy of the first; a checking endpoint would take the
     * old one last. */
    :: atomic { lease[h] == Held && lease_holder == h && order[h] != Checked &&
                ordered[h] != 0 && ordered[h] != wanted ->          /* Renew */
        lease_term++;
#ifndef FAULT_NUMBER_KEPT_FOR_NEXT_ORDER
        lease_version++;
#endif
#ifdef FAULT_READ_BACK_STOPS
        agreeing[h] = 0;
#endif
        hold(h) }
    /* The lease is checked, and then comes a pause of any length. */
    :: atomic { lease[h] == Held && order[h] == NotSent && loaded != wanted &&
                (ordered[h] == 0 || ordered[h] == wanted) && reads_back(h) ->
        ordered[h] = wanted;
        order[h] = Checked }
    :: atomic { order[h] == Checked ->                              /* Order */
        order_out[term[h]] = ordered[h];
        order_number[term[h]] = number[h];
        order[h] = Sent }
    /* A holder whose lease has lapsed meanwhile goes to Expired instead. */
    :: atomic { order[h] == Sent && order_out[term[h]] == 0 &&
                lease_holder == h -> order[h] = NotSent }           /* OrderDone */
    /* ReadBack goes on for ever (`loaded != wanted` above).  An endpoint that
     * ignores numbers may take an old order after any count of good reads; it
     * would stay on the old version with nobody looking. */
#ifdef FAULT_READ_BACK_STOPS
    :: atomic { lease[h] == Held && order[h] == NotSent && loaded == wanted &&
                agreeing[h] < 2 -> agreeing[h]++ }
#endif
    od
}

#ifdef FAULT_NUMBER_NOT_CHECKED
#define may_take(n) true
#else
#define may_take(n) (!checks || n >= highest_number)
#endif

/* One for each term, so that orders come in any order. */
proctype Endpoint(byte t) {
end:
    do
    :: atomic { order_out[t] != 0 ->
        if
        :: may_take(order_number[t]) ->
            assert(!checks || t >= newest_taken);
            loaded = order_out[t];
            if
            :: t > newest_taken -> newest_taken = t
            :: else
            fi;
            if
            :: order_number[t] > highest_number -> highest_number = order_number[t]
            :: else
            fi
        :: else     /* refused: an old number */
        fi;
        if
        :: order_out[t] = 0
        :: faults < FAULTS -> faults++                  /* will come once more */
        fi }
    :: atomic { order_out[t] != 0 && faults < FAULTS -> /* lost */
        faults++;
        order_out[t] = 0 }
    od
}

proctype Configuration() {
end:
    do
    :: atomic { wanted < LAST -> wanted++ }
    od
}

proctype Requests() {
end:
    do
    :: atomic { request == Idle && requests < REQUESTS ->
        requests++;
        decided = loaded;           /* what it reports, seen with any delay */
        request = Routed }
    :: atomic { request == Routed ->
        ran_on = loaded;            /* an order may have come in between */
        request = Ran }
    :: atomic { request == Ran ->
        if
#ifndef FAULT_HEAD_NOT_CHECKED
        /* The answer's head names the version that runs.  Passed on unseen, an
         * answer of the new weights would go with blocks of the old. */
        :: ran_on != decided        /* dropped */
#endif
        :: else -> assert(ran_on == decided)
        fi;
        request = Idle }
    od
}

init {
    byte t;
    atomic {
        if
        :: checks = true
        :: checks = false
        fi;
        lease[0] = Vacant;
        lease[1] = Vacant;
        order[0] = NotSent;
        order[1] = NotSent;
        run Daemon(0);
        run Daemon(1);
        for (t : 1 .. TERMS - 1) {
            run Endpoint(t)
        }
        t = 0;
        run Configuration();
        run Requests()
    }
}
