/* Replication of records between entries (internal/catalog, coordination/mirror).
 *
 * Three entries are linked in a full mesh. A store publishes revisions 1 and 2 of a
 * record; entries 0 and 1 may read it at any time. On a link each side sends updates:
 * the revision that it holds (as the digest), and the record itself unless the other side
 * is known to have it. A side sends no record before it has compared the other's digest
 * with its own; if both are equal, the other is considered up to date. One link may fail
 * together with its messages in flight, and both sides then start over.
 *
 * Property: two rounds of updates after the last failure all entries hold the newest
 * revision that any of them had read.
 *
 * BROKEN_COMPARE: the other is considered up to date after the first comparison, whether
 * the digests were equal or not.
 * BROKEN_RESET: what was sent on a failed link is considered received on the next one.
 */
#define NEWEST 2
#ifdef BROKEN_RESET
/* with three entries the third one compensates for a failed link */
#define ENTRIES 2
#else
#define ENTRIES 3
#endif
#define LOSSES 1
/* maximum number of updates in flight, to keep the model small */
#define IN_FLIGHT 2

byte service = 1;
byte held[ENTRIES];
/* state of the directed link between two entries, at index from * ENTRIES + to */
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

/* Sends and delivers one update on each link. */
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
