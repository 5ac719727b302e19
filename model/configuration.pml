/* One configuration resource under racing operators, repeated appends, expiry and restatement.
 *
 * The log holds records (kind, version replaced or restated, value). Two operators each read a version from a
 * reader, append a change, and may append it again when the answer was lost. A restater repeats what a reader
 * has, however old. Readers apply in log order: configuration_controller::decide.
 * Checked: readers that read as far have the same version and value; a reader's version never falls.
 *
 * Built with -DNO_REPLACES records apply whatever version they name: a repeated append then reverts a change,
 * and spin must find the value that comes back.
 */
#define RECORDS 6

byte logReplaces[RECORDS];
byte logValue[RECORDS];
bool logRestates[RECORDS];
byte logEnd = 0;

byte version[2];
byte value[2];
byte next[2];
byte highestValueSeen[2];

inline append(replaces, newValue, restates)
{
    if
    :: logEnd < RECORDS ->
        logReplaces[logEnd] = replaces; logValue[logEnd] = newValue; logRestates[logEnd] = restates; logEnd++
    :: else
    fi
}

/* Operators write rising values, so that a value that falls at a reader is a reverted change. */
proctype operator(byte base)
{
    byte seen;
    atomic { seen = version[0]; if :: base > value[0] || value[0] == 0 :: else -> base = value[0] + 1 fi; append(seen, base, false) }
    if
    :: atomic { append(seen, base, false) }                         /* the answer was lost: append again */
    :: skip
    fi
}

proctype restater()
{
    byte v;
    byte x;
    atomic { v = version[1]; x = value[1] }                         /* then it is paused for any time */
    if
    :: atomic { v > 0 -> append(v, x, true) }
    :: skip
    fi
}

proctype reader(byte me)
{
    byte at;
    do
    :: atomic { next[me] < logEnd ->
        at = next[me];
        next[me]++;
        if
        :: logRestates[at] && logReplaces[at] > version[me] -> version[me] = logReplaces[at]; value[me] = logValue[at]
        :: logRestates[at] && logReplaces[at] <= version[me] -> skip
#ifdef NO_REPLACES
        :: !logRestates[at] -> version[me] = at + 1; value[me] = logValue[at]
#else
        :: !logRestates[at] && logReplaces[at] == version[me] -> version[me] = at + 1; value[me] = logValue[at]
        :: !logRestates[at] && logReplaces[at] != version[me] -> skip
#endif
        fi;
        assert(value[me] >= highestValueSeen[me]);
        highestValueSeen[me] = value[me];
        assert(next[0] != next[1] || (version[0] == version[1] && value[0] == value[1])) }
    :: next[me] >= logEnd && next[me] >= RECORDS -> break
    :: timeout -> break
    od
}

init {
    atomic { run operator(1); run operator(2); run restater(); run reader(0); run reader(1) }
}
