/* At most one run of one keyed action while its authority changes.
 *
 * A caller sends the same key again and again through any entry node; entry nodes may still ask the former
 * authority. Slots pass as in slots.pml: the former authority has stopped before the next one starts. The next
 * one knows nothing of earlier runs and refuses keys issued before its term (idempotency_store::beginNewAction).
 * An answer can be lost after the run (idempotency_store::markUnknown); a run that did not begin is forgotten
 * (idempotency_store::forget).
 *
 * Transitions: begin  idempotency_store::begin     finish  idempotency_store::finish
 *              takeover  idempotency_store::startSlot
 *
 * Built with -DNO_FENCE the new authority runs any key: spin must find two runs.
 */
#define TERMS 3

byte term = 1;            /* the one authority that may act now */
byte keyIssuedIn = 0;     /* term in which the key was issued; 0 before that */
byte runs = 0;
bool known = false;       /* this authority's ledger has the key */
byte attempts = 0;

active proctype caller()
{
    do
    :: atomic { keyIssuedIn == 0 -> keyIssuedIn = term }
    :: atomic { keyIssuedIn != 0 && attempts < 4 ->
        attempts++;
        if
        :: known -> skip                                            /* replay, or "may have run" */
#ifndef NO_FENCE
        :: !known && keyIssuedIn < term -> skip                     /* older than the memory: "may have run" */
        :: !known && keyIssuedIn >= term ->
#else
        :: !known ->
#endif
            known = true;
            if
            :: runs++                                               /* it ran; the answer may be lost */
            :: known = false                                        /* "not run": nothing was sent */
            fi
        fi;
        assert(runs <= 1) }
    :: attempts >= 4 -> break
    od
}

active proctype authority()
{
    do
    :: atomic { term < TERMS -> term++; known = false }             /* crash, restart or handover */
    :: term >= TERMS -> break
    od
}
