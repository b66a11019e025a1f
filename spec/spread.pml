/* Replication of records between entries (internal/catalog, coordination/mirror).
 *
 * Three entries are linked in a full mesh. A store publishes revisions 1 and 2 of a
 * record; entries 0 and 1 may read it at any time. With RESTORE there are two entries, and
 * the store may come back once from a copy that holds revision 1: it then begins its
 * second epoch and gives out revision 2 again. On a link each side sends updates:
 * the revision that it holds (as the digest), and the record itself unless the other side
 * is known to have it. A side sends no record before it has compared the other's digest
 * with its own; if both are equal, the other is considered up to date. One link may fail
 * together with its messages in flight, and both sides then start over.
 *
 * Properties: two rounds of updates after the last failure all entries hold the newest
 * record that any of them had read; and two rounds after entry 0 has read the store they
 * hold what the store holds.
 *
 * BROKEN_COMPARE: the other is considered up to date after the first comparison, whether
 * the digests were equal or not.
 * BROKEN_RESET: what was sent on a failed link is considered received on the next one.
 * BROKEN_EPOCH: records are ordered by their revisions alone.
 */
/* a record is its epoch and its revision in one number; 0 is none */
#define RECORD(epoch, revision) ((epoch) * 4 + (revision))
#define REVISION(record) ((record) % 4)
#ifdef BROKEN_EPOCH
#define LATER(one, other) (REVISION(one) > REVISION(other))
#else
#define LATER(one, other) ((one) > (other))
#endif
#ifdef BROKEN_EPOCH
#define RESTORE
#endif
#ifdef RESTORE
#define ENTRIES 2
#elif defined(BROKEN_RESET)
/* with three entries the third one compensates for a failed link */
#define ENTRIES 2
#else
#define ENTRIES 3
#endif
#define LOSSES 1
/* maximum number of updates in flight, to keep the model small */
#define IN_FLIGHT 2

byte service = RECORD(1, 1);
byte held[ENTRIES];
/* state of the directed link between two entries, at index from * ENTRIES + to */
byte told[9];
bool compared[9];
bool underway[9];
byte digest[9];
byte record[9];
bool final = false;
bool converged = true;
bool current = true;
byte losses = 0;
byte inFlight = 0;

#define WAY(from, to) ((from) * ENTRIES + (to))

inline send(from, to)
{
    digest[WAY(from, to)] = held[from];
    record[WAY(from, to)] = 0;
    if
    :: compared[WAY(from, to)] && LATER(held[from], told[WAY(from, to)]) -> record[WAY(from, to)] = held[from]
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
    :: LATER(record[WAY(from, to)], held[to]) -> held[to] = record[WAY(from, to)]
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
    :: atomic { REVISION(service) == 1 -> service++ }
#ifdef RESTORE
    :: atomic { service == RECORD(1, 2) -> service = RECORD(2, 1) }
#endif
    :: atomic { LATER(service, held[0]) -> held[0] = service }
    :: atomic { LATER(service, held[1]) -> held[1] = service }
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
#ifdef RESTORE
        if
        :: LATER(service, held[0]) -> held[0] = service
        :: else -> skip
        fi;
        round();
        round();
        current = (held[0] == service && held[1] == service);
#endif
        final = true
    }
}

ltl all_hold_the_newest { [] (!final || converged) }
ltl all_hold_what_the_store_holds { [] (!final || current) }
