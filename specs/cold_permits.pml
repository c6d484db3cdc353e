/*
 * Permits of a cold endpoint.
 *
 * Models: three daemons and one permit of one cold endpoint.  Daemons start, end,
 * stand still and are cut off from each other at any moment; each learns of a change
 * at any time within a bounded time, so that several views of the members are in force
 * at once.  A daemon uses the permit as often as its own window lets it.
 *
 * Leaves out: how many permits there are (each is shared out by itself), the ways by
 * which members hear of each other, and members that are forgotten after a minute.
 *
 * Assumes: who is registered is known (three daemons); ticks are the same for all; one daemon
 * changes no more often than news of it passes (DWELL).  Where one does, two daemons may hold
 * the permit at once, for which half of the bound is left unused (RateLimit).
 *
 * Stands for: PermitShares (view, majority, hold, gap) and ReservedPermits (window).
 *
 * Bounds: EVENTS changes.  The safety property is asserted at each use: no other daemon
 * has used the permit within the window.
 */

#ifndef EVENTS
#define EVENTS 4
#endif
#define N 3
#define GONE 2                      /* ticks until all know that a member is gone */
#define THERE 1                     /* ticks until all know that one is there */
#define WINDOW 2
#define DWELL 4                     /* least ticks between two changes of one daemon */
#ifndef HOLD
#define HOLD 5                      /* GONE + THERE + WINDOW */
#endif
#ifdef FAULT_NO_HOLD
#define NEEDED 1
#else
#define NEEDED HOLD
#endif

bool up[N];
bool cut[N];
bool frozen[N];
bool knows[9];                      /* knows[d * N + o]: d takes o for a member */
byte lag[9];                        /* ticks since d's view of o has been wrong */
byte held[N];                       /* ticks for which d has held the permit */
byte since[N];                      /* ticks since d used it, WINDOW at most */
byte calm[N];                       /* ticks until the next change of a daemon */
byte events;

/* Whether d sees more than half of the three that are registered. */
inline majority(d, result)
{
    result = ((1 + knows[d * N + (d + 1) % N] + knows[d * N + (d + 2) % N]) * 2 > N);
#ifdef FAULT_MINORITY_COUNTS
    result = true;
#endif
}

/* Whether d holds the permit in its view: the member with the lowest number does. */
inline holds(d, result)
{
    majority(d, result);
    if
    :: d > 0 && knows[d * N + 0] -> result = false
    :: else
    fi;
    if
    :: d > 1 && knows[d * N + 1] -> result = false
    :: else
    fi;
#ifdef FAULT_COUNTS_ALONE
    result = true;
#endif
}

/* One daemon starts, ends, stands still, goes on, is cut off or is reached again. */
inline change(d)
{
    if
    :: !up[d] -> up[d] = true; held[d] = 0
    :: up[d] && !frozen[d] ->
        up[d] = false; held[d] = 0;
        knows[d * N + (d + 1) % N] = false; knows[d * N + (d + 2) % N] = false
    :: up[d] && !frozen[d] -> frozen[d] = true
    :: frozen[d] ->
        frozen[d] = false;
#ifndef FAULT_FREEZE_KEEPS
        held[d] = 0                 /* Gap: it has looked at nobody meanwhile. */
#else
        skip
#endif
    :: !cut[d] -> cut[d] = true
    :: cut[d] -> cut[d] = false
    fi
}

/* Learns: what d sees of o follows the truth within GONE or THERE ticks. */
inline learn(d, o)
{
    hears = up[o] && !frozen[o] && !cut[o] && !cut[d];
    if
    :: knows[d * N + o] == hears -> lag[d * N + o] = 0
    :: knows[d * N + o] != hears -> knows[d * N + o] = hears; lag[d * N + o] = 0
    :: knows[d * N + o] != hears && lag[d * N + o] < (hears -> THERE : GONE) -> lag[d * N + o]++
    fi
}

inline look(d)
{
    if
    :: up[d] && !frozen[d] ->
        learn(d, (d + 1) % N);
        learn(d, (d + 2) % N);
        holds(d, is_holder);
        if
        :: is_holder && held[d] < HOLD -> held[d]++
        :: is_holder && held[d] >= HOLD
        :: !is_holder -> held[d] = 0
        fi
    :: else
    fi
}

/* The third daemon is never first among a majority. */
inline use(d)
{
    if
    :: up[d] && !frozen[d] && since[d] >= WINDOW && held[d] >= NEEDED ->
        assert(since[(d + 1) % N] >= WINDOW && since[(d + 2) % N] >= WINDOW);
        since[d] = 0
    :: true                         /* It has no call to send. */
    fi
}

active proctype Ticks()
{
    bool is_holder;
    bool hears;
    byte d;

    for (d : 0 .. 2) {
        since[d] = WINDOW
    }
    do
    :: atomic {
        if
        :: events < EVENTS && calm[0] == 0 -> events++; calm[0] = DWELL; change(0)
        :: events < EVENTS && calm[1] == 0 -> events++; calm[1] = DWELL; change(1)
        :: events < EVENTS && calm[2] == 0 -> events++; calm[2] = DWELL; change(2)
        :: events == 0 && !up[0] -> up[0] = true; up[1] = true; up[2] = true
        :: true
        fi;
        look(0); look(1);
        use(0); use(1);
        for (d : 0 .. 2) {
            if
            :: since[d] < WINDOW -> since[d]++
            :: else
            fi;
            if
            :: calm[d] > 0 -> calm[d]--
            :: else
            fi
        }
       }
    od
}
