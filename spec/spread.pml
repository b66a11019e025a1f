/* Spread of records between entries (internal/catalog, coordination/mirror).
 *
 * Three entries, each linked with each other. A store publishes revisions 1 and 2 of a
 * record; entries 0 and 1 may read it at any time. On a link each side sends updates:
 * the revision that it holds (for the digest), and the record itself when the other is
 * not known to have it. A side sends no record before it has compared the other's digest
 * with its own; when both are equal, the other counts as told. One link may be lost, with
 * what is under way on it, and both sides begin anew.
 *
 * Property: once nothing fails any more, two rounds of updates later all entries hold
 * what any of them had read.
 *
 * BROKEN_COMPARE: the other counts as told after the first comparison, be it equal or not.
 * BROKEN_RESET: what was told on a lost link counts on the next one.
 */
#define NEWEST 2
#ifdef BROKEN_RESET
/* with three entries the third one makes up for one lost link */
#define ENTRIES 2
#else
#define ENTRIES 3
#endif
#define LOSSES 1
/* under way at a time, to keep the model small */
#define IN_FLIGHT 2

byte service = 1;
byte held[ENTRIES];
/* of the directed link from one entry to another, at from * ENTRIES + to */
byte told[9];
bool compared[9];
bool underway[9];
byte digest[9];
byte record[9];
bool final = false;
bool converged = true;
byte losses = 0;
byte inFlight = 0;

#define WAY(from, to) ((from) * ENTRIES + (to))

inline send(from, to)
{
    digest[WAY(from, to)] = held[from];
    record[WAY(from, to)] = 0;
    if
    :: compared[WAY(from, to)] && held[from] > told[WAY(from, to)] -> record[WAY(from, to)] = held[from]
    :: else -> skip
    fi;
    if
    :: compared[WAY(from, to)] -> told[WAY(from, to)] = held[from]
    :: else -> skip
    fi;
    underway[WAY(from, to)] = true;
    inFlight++
}

inline forget(source, sink)
{
    if
    :: underway[WAY(source, sink)] -> inFlight--
    :: else -> skip
    fi;
    underway[WAY(source, sink)] = false;
    digest[WAY(source, sink)] = 0;
    record[WAY(source, sink)] = 0
}

inline receive(from, to)
{
    if
    :: record[WAY(from, to)] > held[to] -> held[to] = record[WAY(from, to)]
    :: else -> skip
    fi;
    if
#ifdef BROKEN_COMPARE
    :: !compared[WAY(to, from)] -> told[WAY(to, from)] = held[to]
#endif
    :: digest[WAY(from, to)] == held[to] -> told[WAY(to, from)] = held[to]
    :: else -> skip
    fi;
    compared[WAY(to, from)] = true;
    forget(from, to)
}

inline lose(one, other)
{
    forget(one, other);
    forget(other, one);
#ifndef BROKEN_RESET
    compared[WAY(one, other)] = false;
    compared[WAY(other, one)] = false;
    told[WAY(one, other)] = 0;
    told[WAY(other, one)] = 0;
#endif
    losses++
}

/* One update on each link, delivered. */
inline round()
{
    from = 0;
    do
    :: from < ENTRIES ->
        to = 0;
        do
        :: to < ENTRIES ->
            if
            :: from != to ->
                if
                :: underway[WAY(from, to)] -> receive(from, to)
                :: else -> skip
                fi;
                send(from, to);
                receive(from, to)
            :: else -> skip
            fi;
            to++
        :: to == ENTRIES -> break
        od;
        from++
    :: from == ENTRIES -> break
    od
}

init
{
    byte from, to, newest;
    do
    :: atomic { service < NEWEST -> service++ }
    :: atomic { held[0] < service -> held[0] = service }
    :: atomic { held[1] < service -> held[1] = service }
    :: atomic {
        if
        :: from = 0; to = 1
        :: ENTRIES > 2 -> from = 0; to = 2
        :: from = 1; to = 0
        :: ENTRIES > 2 -> from = 1; to = 2
        :: ENTRIES > 2 -> from = 2; to = 0
        :: ENTRIES > 2 -> from = 2; to = 1
        fi;
        if
        :: !underway[WAY(from, to)] && (inFlight < IN_FLIGHT) -> send(from, to)
        :: underway[WAY(from, to)] -> receive(from, to)
        :: losses < LOSSES -> lose(from, to)
        fi;
        from = 0;
        to = 0
       }
    :: break
    od;
    atomic {
        newest = held[0];
        if
        :: held[1] > newest -> newest = held[1]
        :: else -> skip
        fi;
        round();
        round();
        converged = (held[0] == newest && held[1] == newest && held[ENTRIES - 1] == newest);
        final = true
    }
}

ltl all_hold_the_newest { [] (!final || converged) }
