/* Limits split between entries (coordination/escrow).
 *
 * Two entries hold shares of a limit. One grants a part of its share to the other
 * for a term. The donor does not use that part from the time of sending until the
 * grant has certainly expired, and the receiver counts the term from the time of
 * its request. Messages may be lost or late; an entry may pause, which lets time
 * pass for the others only.
 *
 * Property: the shares usable by both at the same time never exceed the limit.
 *
 * BROKEN_ESCROW: the donor reclaims its part as soon as the term is over on its own
 * clock, without the margin, and the receiver counts the term from receipt.
 */
#define LIMIT 4
#define TERM 2
#define MARGIN 2
#define END 8

byte time = 0;
byte own[2];               /* permanent shares */
byte granted = 0;          /* amount granted by entry 0 */
byte grantedAt = 0;
byte borrowed = 0;         /* amount borrowed by entry 1 */
byte expires = 0;
byte askedAt = 0;
bool asked = false;
chan ask = [1] of { byte };
chan grant = [1] of { byte };

#define usable0 own[0]
#define usable1 (own[1] + borrowed)

proctype clock()
{
    do
    :: time < END -> atomic {
           time++;
           if
           :: borrowed > 0 && time >= expires -> borrowed = 0   /* checked right before use */
           :: else -> skip
           fi
       }
    :: time == END -> break
    od
}

proctype donor()
{
    byte amount;
    do
    :: granted == 0 -> atomic { ask?amount -> own[0] = own[0] - amount; granted = amount; grantedAt = time }
        if
        :: grant!amount
        :: skip                                        /* lost */
        fi
#ifdef BROKEN_ESCROW
    :: atomic { granted > 0 && time >= grantedAt + TERM -> own[0] = own[0] + granted; granted = 0 }
#else
    :: atomic { granted > 0 && time >= grantedAt + TERM + MARGIN -> own[0] = own[0] + granted; granted = 0 }
#endif
    :: timeout -> break
    od
}

proctype receiver()
{
    byte amount;
    if
    :: atomic { asked = true; askedAt = time; ask!1 }
    fi;
    do
    :: atomic { grant?amount ->
#ifdef BROKEN_ESCROW
           expires = time + TERM;
#else
           expires = askedAt + TERM;
#endif
           if
           :: time < expires -> borrowed = amount
           :: else -> skip                             /* arrived too late */
           fi
       }
    :: timeout -> break
    od
}

init
{
    atomic { own[0] = LIMIT / 2; own[1] = LIMIT - LIMIT / 2; run clock(); run donor(); run receiver() }
}

ltl never_above { [] (usable0 + usable1 <= LIMIT) }
