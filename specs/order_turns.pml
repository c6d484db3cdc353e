/*
 * Distance between the orders of two holders.
 *
 * Models: three daemons that take the lease over from each other; terms that end, waits, releases,
 * acquisitions whose answer is lost and that take effect late, and daemons that lose their interest
 * in the lease at any moment.  An order is recent until a wait that begins right after it is over.
 *
 * Leaves out: the endpoint, fencing numbers and the pause between the check and the sending of an
 * order (orders.pml), and how long a term or a wait is.
 *
 * Assumes: the lease's conditional updates are linearizable; daemons' clocks run at the same rate, so
 * that a holder finds its term over before others do, and whatever begins earlier ends earlier.
 *
 * Stands for: the choice of the next call of a lease, its wait, and what a lease object tells.
 *
 * Bounds: ACQUISITIONS writes that acquire the lease, WAITS passages of a whole wait.
 */

#ifndef ACQUISITIONS
#define ACQUISITIONS 5
#endif
#ifndef WAITS
#define WAITS 3
#endif
#define DAEMONS 3
#define NOBODY  255

/* The lease object: its holder, whether a vacant one was settled when it was released, and whether
 * the term of its holder is over. */
byte holder = NOBODY;
bool settled = true;
bool lapsed;
byte version;
byte acquisitions;
byte waits;

bool owns[DAEMONS];                 /* believes that it holds the lease, with some of its term left */
bool waiting[DAEMONS];              /* orders must wait */
bool recent[DAEMONS];               /* its last order is recent */
bool wanted[DAEMONS];
bool late[DAEMONS];                 /* an acquisition that was given up may still take effect */
byte late_version[DAEMONS];         /* the version of the object that it replaces */

#if defined(FAULT_RELEASED_WHILE_WAITING)
#define may_release(d) (!recent[d])
#elif defined(FAULT_ORDERS_FORGOTTEN)
#define may_release(d) (!waiting[d])
#else
#define may_release(d) (!recent[d] && !waiting[d])
#endif

/* Orders of other daemons that are recent. */
#define others_recent(d) ((d != 0 && recent[0]) || (d != 1 && recent[1]) || (d != 2 && recent[2]))

/* A wait of its own that isn't over goes on. */
inline begin_wait(d) {
    if
    :: holder == NOBODY && settled -> skip
    :: holder == NOBODY && !settled -> waiting[d] = true
    :: holder == d ->
#ifdef FAULT_WAIT_FORGOTTEN
        waiting[d] = false
#else
        skip
#endif
    :: holder != NOBODY && holder != d -> waiting[d] = true
    fi
}

proctype Daemon(byte d) {
end:
    do
    :: atomic { wanted[d] -> wanted[d] = false }
    :: atomic { !wanted[d] -> wanted[d] = true }
    /* Acquire, with its answer. */
    :: atomic { wanted[d] && !owns[d] && acquisitions < ACQUISITIONS &&
                (holder == NOBODY || holder == d || lapsed) ->
        acquisitions++;
        begin_wait(d);
        version++;
        holder = d;
        settled = false;
        lapsed = false;
        owns[d] = true }
    /* Acquire, with its answer lost and without effect so far. */
    :: atomic { wanted[d] && !owns[d] && !late[d] && acquisitions < ACQUISITIONS &&
                holder != NOBODY && holder != d && lapsed ->
        acquisitions++;
#ifndef FAULT_WAIT_COUNTS_FROM_THE_ANSWER
        waiting[d] = true;
#endif
        late_version[d] = version;
        late[d] = true }
    /* It takes effect unless the object has changed, and the daemon doesn't know. */
    :: atomic { late[d] ->
        late[d] = false;
        if
        :: version == late_version[d] ->
            version++;
            holder = d;
            settled = false;
            lapsed = false
        :: else
        fi }
    /* Lapse, by its own clock, and then by those of the others. */
    :: atomic { owns[d] -> owns[d] = false }
    :: atomic { !owns[d] && holder == d && !lapsed -> lapsed = true }
    :: atomic { owns[d] && holder == d && !wanted[d] && may_release(d) ->    /* Release */
        owns[d] = false;
        version++;
        holder = NOBODY;
        lapsed = false;
        settled = true }
    :: atomic { owns[d] && !waiting[d] && wanted[d] ->                      /* Order */
        assert(!others_recent(d));
        recent[d] = true }
    od
}

/* A whole wait passes: what was recent no longer is, and each wait that had begun is over. */
proctype Clock() {
end:
    do
    :: atomic { waits < WAITS ->
        waits++;
        recent[0] = false;
        recent[1] = false;
        recent[2] = false;
        waiting[0] = false;
        waiting[1] = false;
        waiting[2] = false }
    od
}

init {
    atomic {
        run Daemon(0);
        run Daemon(1);
        run Daemon(2);
        run Clock()
    }
}
