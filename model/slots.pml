/* Who may use one slot, and so grant rate or run keyed actions, over terms fixed by the order of the log.
 *
 * Two nodes, A and B. A holds the slot at term 1. Faults: A crashes, is paused for any time, is cut off from
 * the log; the log is unavailable for any time; updates arrive late; B believes that A is gone at any time.
 * Time is abstract: "expired" becomes true at some moment after A last heard of the log, and A looks at it at
 * the moment of use (slot_controller::mayUse). Updates count from when they were asked for. B's wait is longer than A's right
 * (slot_controller::hasHolderExpired), so B's moment of expiry can only come after A's has passed.
 *
 * Transitions and the code that each stands for:
 *   claim     slot_table::claim                 release   slot_table::release, slot_controller::isReleaseDue
 *   read      slot_controller::apply            evidence  slot_controller::recordCaughtUp
 *   use       slot_controller::mayUse           restart   slot_table::releaseEarlierIncarnations
 *
 * Built with -DNO_STALE_CHECK the holder does not look at its own expiry: spin must find two users at once.
 */
#define A 1
#define B 2
#ifdef NO_STALE_CHECK
#define IN_TIME true
#else
#define IN_TIME (!aExpired)
#endif

/* All that A can know without the claim is older than A's limit. */
#define NEWS_OVER (aExpired || !aRunning || aClaimant == B || aHolder != A)
#define ASK_OVER (!askPending || askOld || askClaimant == B || askHolder != A)

byte logHolder = A;       /* holder after all records of the log */
byte logClaimant = 0;
bool logAway = false;

bool aRunning = true;
bool aPaused = false;
bool aCut = false;
byte aHolder = A;         /* as A has read it */
byte aClaimant = 0;
bool aExpired = false;    /* A's stale limit has passed since its last news */
bool aUsing = false;
bool askPending = false;  /* A has asked the log; the answer may reach it any time later */
byte askHolder = 0;
byte askClaimant = 0;
bool askOld = false;      /* A's limit has passed since it asked */

byte bHolder = A;
byte bClaimant = 0;
bool bWaitOver = false;   /* B's longer wait has passed since its claim */
bool claimed = false;
byte uses = 0;
bool oldUse = false;      /* a grant that A gave before B held the slot is still in use */
bool bGrantsOver = false; /* B has waited for the lifetime of such grants */

/* The log makes B the holder. Grants live for a bounded time, and B waits as long: so its wait ends after those
 * that A had given before, but it does not cover any that A gives later. */
inline passToClaimant()
{
    logHolder = logClaimant; logClaimant = 0;
    oldUse = aUsing; bGrantsOver = false
}

/* Time passes. A's limit counts from A's last news. B's wait counts from the claim, is longer, and starts after
 * any news without the claim that A can have had: so it ends only after A's limit, unless A had later news. */
active proctype time()
{
    do
    :: atomic { !aExpired -> aExpired = true }
    :: atomic { askPending && !askOld -> askOld = true; aExpired = true }
    :: atomic { claimed && !bWaitOver && NEWS_OVER && ASK_OVER -> bWaitOver = true }
    :: atomic { bHolder == B && !oldUse && !bGrantsOver -> bGrantsOver = true }
    :: logAway = true
    :: logAway = false
    od
}

active proctype nodeA()
{
    do
    :: atomic { aRunning && !aPaused && !aCut && !logAway && !askPending ->
        askPending = true; askHolder = logHolder; askClaimant = logClaimant; askOld = false }
    :: atomic { aRunning && !aPaused && askPending ->               /* the news are as old as the question */
        askPending = false; aHolder = askHolder; aClaimant = askClaimant; aExpired = askOld }
    :: atomic { aRunning && !aPaused && aHolder == A && aClaimant == 0 && IN_TIME && !aUsing -> aUsing = true }
    :: atomic { aUsing -> aUsing = false; oldUse = false }
    :: atomic { aRunning && !aPaused && aHolder == A && aClaimant == B && !logAway && !aCut ->
        if
        :: logHolder == A -> passToClaimant()
        :: else
        fi }
    :: atomic { aRunning && !aUsing -> aPaused = !aPaused }
    :: atomic { !aCut -> aCut = true }
    :: atomic { aRunning && !aUsing -> aRunning = false; aHolder = 0; aClaimant = 0; askPending = false }
    :: atomic { !aRunning && !logAway ->                            /* restart in place: a later life joins */
        if
        :: logHolder == A -> passToClaimant()
        :: else
        fi;
        break }
    od
}

active proctype nodeB()
{
    do
    :: atomic { !logAway -> bHolder = logHolder; bClaimant = logClaimant }
    :: atomic { !logAway && bHolder != B && bClaimant != B && bHolder == logHolder && bClaimant == logClaimant ->
        if
        :: logHolder == 0 -> logHolder = B
        :: else -> logClaimant = B
        fi;
        claimed = true; bWaitOver = false }
    :: atomic { !logAway && bClaimant == B && bWaitOver && logHolder == A && logClaimant == B ->
        passToClaimant() }                                          /* the former right has expired */
    :: atomic { bHolder == B && bGrantsOver && uses < 2 -> assert(!aUsing); uses++ }
    od
}
