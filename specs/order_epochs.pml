/*
 * Orders under a lease whose store returns with an older copy.
 *
 * Models: two daemons that take the lease over from each other; a store that returns with any copy of
 * its past, gives out its numbers again and raises its epoch; daemons that learn of the epoch at any
 * moment; writes whose answer is late or lost and that are done at any time later, in the next epoch
 * too; a daemon that starts again.  Each epoch has a lease object of its own, so that a write of one
 * epoch has no effect on the lease of another.  Time is counted in ticks.
 *
 * Leaves out: who should hold the lease, margins and the pace of calls, the way of an order to the
 * endpoint, and an endpoint that refuses an order.
 *
 * Assumes: within an epoch, conditional updates are linearizable; each answer names the store's epoch;
 * daemons' clocks run at the same rate.
 *
 * Stands for: what becomes of a lease when the store's epoch changes, and the fencing numbers.
 *
 * Bounds: WRITES writes of the lease, RESTORES returns with an older copy, STARTS starts, one late write
 * at a time, of one daemon.
 */

#ifndef WRITES
#define WRITES 4
#endif
#ifndef RESTORES
#define RESTORES 1
#endif
#ifndef STARTS
#define STARTS 1
#endif
#define TERM    1
#define TIMEOUT 1
#define DAEMONS 2
#define NOBODY  255

#if defined(FAULT_NO_WAIT)
#define EPOCH_WAIT 0
#elif defined(FAULT_WAIT_WITHOUT_TERM)
#define EPOCH_WAIT TIMEOUT
#else
#define EPOCH_WAIT (TERM + TIMEOUT)
#endif
#ifdef FAULT_START_WITHOUT_WAIT
#define START_WAIT 0
#else
#define START_WAIT (TERM + TIMEOUT)
#endif

/* What the lease object says; version 0: there is none. */
typedef Object {
    byte version;
    byte holder
}

/* Store. */
byte epoch;
byte number = 1;
byte restores;
byte writes;
Object stored;
Object copy;
byte copied_number;                 /* 0: there is no copy */

/* Daemons. */
typedef Lease {
    byte id;                        /* another one after each start */
    byte epoch;                     /* the latest one that it knows */
    bool owns;
    byte term;                      /* what is left of its term */
    byte wait;                      /* what is left of the wait before orders */
    bool knows;                     /* has read or written the object in `seen` */
    byte age;                       /* for how long it has seen it */
    byte fence_epoch;
    byte fence;
    bool is_late;                   /* a write is on its way, though it may be given up */
    bool is_answered;               /* its answer is on its way */
    bool awaits;                    /* it isn't given up */
    byte late_id;
    byte late_term;                 /* what is left of the term that began when it was sent */
    bool is_late_release;
    byte late_version;              /* the version that it replaces, and then the one in its answer */
    byte late_epoch;                /* the epoch that it was sent in, and then the one in its answer */
    byte recent                     /* ghost: time until its last order is an order timeout old */
}
Lease daemon[DAEMONS];
Object seen[DAEMONS];
byte starts;

/* Endpoint: the highest fencing number of an order. */
byte endpoint_epoch;
byte endpoint_fence;
byte endpoint_holder = NOBODY;      /* ghost */

#define other(d) (1 - d)
#ifdef FAULT_SAME_OBJECT_IN_ALL_EPOCHS
#define is_its_object(in_epoch) true
#else
#define is_its_object(in_epoch) (in_epoch == epoch)
#endif
#ifdef FAULT_NUMBER_WITHOUT_EPOCH
#define is_higher(its_epoch, its_number) (its_number > endpoint_fence)
#else
#define is_higher(its_epoch, its_number) \
    (its_epoch > endpoint_epoch || (its_epoch == endpoint_epoch && its_number > endpoint_fence))
#endif
#define has_other_holder(d) (seen[d].holder != NOBODY && seen[d].holder != daemon[d].id)
#define may_acquire(d) (!has_other_holder(d) || daemon[d].age == TERM)

inline at_least(time, least) {
    if
    :: time < least -> time = least
    :: else
    fi
}

inline saw_object(d, its_version, its_holder) {
    daemon[d].knows = true;
    daemon[d].age = 0;
    seen[d].version = its_version;
    seen[d].holder = its_holder
}

inline forget_object(d) {
    daemon[d].knows = false;
    daemon[d].age = 0;
    seen[d].version = 0;
    seen[d].holder = NOBODY
}

inline forget_write(d) {
    daemon[d].is_late = false;
    daemon[d].is_answered = false;
    daemon[d].awaits = false;
    daemon[d].late_id = 0;
    daemon[d].late_term = 0;
    daemon[d].is_late_release = false;
    daemon[d].late_version = 0;
    daemon[d].late_epoch = 0
}

/* Waits for no answer any more. The write may still be done. */
inline give_up(d) {
    daemon[d].awaits = false;
    daemon[d].late_term = 0;
    if
    :: daemon[d].is_answered -> forget_write(d)
    :: else
    fi
}

/* An answer names an epoch that the daemon didn't know. It may as well be lost, so that learning is a step
 * of its own, and a write whose answer names another epoch isn't counted. */
inline learn_epoch(d) {
    daemon[d].epoch = epoch;
    daemon[d].owns = false;
    daemon[d].term = 0;
    forget_object(d);
#ifndef FAULT_EARLIER_ANSWER_COUNTED
    give_up(d);
#endif
    at_least(daemon[d].wait, EPOCH_WAIT)
}

/* A lease that is released has no orders to wait for. One that has the daemon's name has had no other
 * holder since, and the wait before goes on. */
inline begin_wait(d) {
    if
    :: has_other_holder(d) -> at_least(daemon[d].wait, TIMEOUT)
    :: else
    fi
}

/* The store does a write if the object has the version that it replaces, and answers with the new one. */
inline store_write(is_release, by, expected, in_epoch) {
    if
    :: expected == stored.version && is_its_object(in_epoch) ->
        number++;
        stored.version = number;
        if
        :: is_release -> stored.holder = NOBODY
        :: else -> stored.holder = by
        fi;
        answer = number
    :: else -> answer = 0
    fi
}

/* Counts the answer to a write whose term has `left` left; result 0: a conflict. */
inline count_answer(d, is_release, left, result) {
    if
    :: result != 0 && is_release -> saw_object(d, result, NOBODY)
    :: result != 0 && !is_release ->
        saw_object(d, result, daemon[d].id);
        daemon[d].owns = (left > 0);
        daemon[d].term = left;
        daemon[d].fence_epoch = daemon[d].epoch;
        daemon[d].fence = result
    :: result == 0 -> forget_object(d)
    fi
}

/* Sends a write; its answer comes at once, or it is late. */
inline write(d) {
    writes++;
    if
    :: true ->
        store_write(releases, daemon[d].id, seen[d].version, daemon[d].epoch);
        if
        :: daemon[d].epoch == epoch -> count_answer(d, releases, TERM, answer)
        :: else
        fi;
        answer = 0
    :: d == 0 && !daemon[d].is_late && !daemon[d].is_answered ->
        daemon[d].is_late = true;
        daemon[d].awaits = true;
        daemon[d].late_id = daemon[d].id;
        daemon[d].late_term = TERM;
        daemon[d].is_late_release = releases;
        daemon[d].late_version = seen[d].version;
        daemon[d].late_epoch = daemon[d].epoch
    fi
}

proctype Daemon(byte d) {
    byte answer;
    bool releases;
end:
    do
    :: atomic { daemon[d].epoch != epoch -> learn_epoch(d) }
    :: atomic { daemon[d].epoch == epoch && !(daemon[d].knows && seen[d].version == stored.version) ->
        /* Read. A write that was given up may have been done. */
        saw_object(d, stored.version, stored.holder);
        if
        :: seen[d].holder != daemon[d].id ->
            daemon[d].owns = false;
            daemon[d].term = 0
        :: else
        fi }
    :: atomic { daemon[d].awaits -> give_up(d) }
    :: atomic { writes < WRITES && !daemon[d].awaits && daemon[d].knows &&
                (daemon[d].owns || may_acquire(d)) ->
        if
        :: daemon[d].owns                                                 /* Renew */
        :: daemon[d].owns && daemon[d].wait == 0 && daemon[d].recent == 0 ->  /* Release */
            daemon[d].owns = false;
            daemon[d].term = 0;
            releases = true
        :: !daemon[d].owns -> begin_wait(d)                               /* Acquire */
        fi;
        write(d);
        releases = false }
    /* A late write is done, if it still can be. */
    :: atomic { daemon[d].is_late ->
        store_write(daemon[d].is_late_release, daemon[d].late_id, daemon[d].late_version,
                    daemon[d].late_epoch);
        daemon[d].is_late = false;
        if
        :: daemon[d].awaits ->
            daemon[d].is_answered = true;
            daemon[d].late_version = answer;
            daemon[d].late_epoch = epoch
        :: else -> forget_write(d)
        fi;
        answer = 0 }
    :: atomic { daemon[d].is_answered ->                                  /* Answer */
        if
        :: daemon[d].late_epoch <= daemon[d].epoch ->
            count_answer(d, daemon[d].is_late_release, daemon[d].late_term, daemon[d].late_version)
        :: else
        fi;
        forget_write(d) }
    :: atomic { daemon[d].owns && daemon[d].wait == 0 ->                  /* Order */
        assert(daemon[other(d)].recent == 0);
        assert(is_higher(daemon[d].fence_epoch, daemon[d].fence) ||
               (endpoint_holder == d && daemon[d].fence_epoch == endpoint_epoch &&
                daemon[d].fence == endpoint_fence));
        endpoint_holder = d;
        endpoint_epoch = daemon[d].fence_epoch;
        endpoint_fence = daemon[d].fence;
        daemon[d].recent = TIMEOUT + 1 }
    :: atomic { starts < STARTS ->                                        /* Start */
        starts++;
        daemon[d].id = daemon[d].id + DAEMONS;
        daemon[d].epoch = epoch;
        daemon[d].owns = false;
        daemon[d].term = 0;
        give_up(d);
        forget_object(d);
        daemon[d].wait = START_WAIT }
    od
}

inline count_down(time) {
    if
    :: time > 0 -> time--
    :: else
    fi
}

inline pass_tick(d) {
    count_down(daemon[d].term);
    if
    :: daemon[d].term == 0 -> daemon[d].owns = false
    :: else
    fi;
    count_down(daemon[d].wait);
    count_down(daemon[d].recent);
    count_down(daemon[d].late_term);
    if
    :: daemon[d].knows && has_other_holder(d) && daemon[d].age < TERM -> daemon[d].age++
    :: else
    fi
}

proctype Clock() {
end:
    do
    :: atomic { pass_tick(0); pass_tick(1) }
    od
}

proctype Store() {
end:
    do
    :: atomic { restores < RESTORES && copied_number == 0 ->              /* Copy */
#ifdef FAULT_SAME_OBJECT_IN_ALL_EPOCHS
        copy.version = stored.version;
        copy.holder = stored.holder;
#endif
        copied_number = number }
    :: atomic { restores < RESTORES && copied_number != 0 ->              /* Restore */
        restores++;
        epoch++;
        number = copied_number;
        copied_number = 0;
#ifdef FAULT_SAME_OBJECT_IN_ALL_EPOCHS
        stored.version = copy.version;
        stored.holder = copy.holder }
#else
        stored.version = 0;
        stored.holder = NOBODY }
#endif
    od
}

init {
    atomic {
        stored.version = number;
        stored.holder = NOBODY;
        seen[0].holder = NOBODY;
        seen[1].holder = NOBODY;
        daemon[1].id = 1;
        run Daemon(0);
        run Daemon(1);
        run Clock();
        run Store()
    }
}
