/*
 * Model of the booking record of one key with shard ownership (design page,
 * decision 2).
 *
 * Two daemons may both act as owner of the shard. A caller sends two requests
 * with the same key to two entry daemons. Store replies are lost, writes arrive
 * late, owners and entry daemons are paused (any interleaving), and messages
 * are lost or repeated.
 *
 * Checked: the key is executed at most once, and a request that was answered
 * "not run" is never executed. Each macro below removes one mechanism; Spin
 * must then find an error.
 *   DISPATCH_BEFORE_COMMIT  the owner grants the permit before the write is
 *                           confirmed
 *   IGNORE_VERSION          the store applies writes with any expected version
 *   LOST_IS_FAILURE         after a lost reply the owner writes again with the
 *                           version that the store has now
 *   TRIM_WITHOUT_MARK       trimming leaves no mark in the head
 *   PERMIT_ANY_REQUEST      an intent permits every request of the key
 *   NEW_OWNER_WITHDRAWS     an owner withdraws an intent that it has loaded but
 *                           not written
 *   NOT_RUN_AFTER_SEND      after a lost endpoint answer the caller is answered
 *                           "not run"
 *   CANNOT_RUN              asserts that nothing is executed; the error shows
 *                           that the model reaches an execution
 *
 * CLAIMS limits the takeovers, and ASKS the begins of each request. NO_TRIM and
 * NO_LATE leave out trimming and late writes, so that a check with higher
 * limits ends in time.
 */

/* States of the record. */
#define NONE 0
#define INTENT 1
#define DONE 2
#define NOT_RUN 3

/* Verdicts of an owner. */
#define PERMIT 1
#define RECORDED 2
#define REFUSED 3
#define UNKNOWN 4

/* Messages to an owner. */
#define BEGIN 0
#define RESULT 1
#define RELEASE 2

/* Phases of an owner. */
#define OUT 0
#define IDLE 1
#define WRITING 2
#define READING 3

#ifndef CLAIMS
#define CLAIMS 3
#endif
#ifndef ASKS
#define ASKS 2
#endif

typedef Head {
  byte writer;
  byte epoch;
  byte batch;
  byte state;
  byte request;
  bit trimmed
}

byte version = 1;
Head store;
byte claims = 0;
byte runs = 0;
bit told[2];
bit ran[2];

chan mail[2] = [1] of { byte, byte };
chan reply[2] = [1] of { byte };
/* A write that may arrive after its timeout at the sender. */
chan late = [1] of { byte, byte, byte, byte, byte, byte, bit };

#ifdef IGNORE_VERSION
#define MATCHES(v) true
#else
#define MATCHES(v) (version == v)
#endif

inline copyHead(xTo, xFrom)
{
  xTo.writer = xFrom.writer;
  xTo.epoch = xFrom.epoch;
  xTo.batch = xFrom.batch;
  xTo.state = xFrom.state;
  xTo.request = xFrom.request;
  xTo.trimmed = xFrom.trimmed
}

inline clearHead(xHead)
{
  xHead.writer = 0;
  xHead.epoch = 0;
  xHead.batch = 0;
  xHead.state = 0;
  xHead.request = 0;
  xHead.trimmed = 0
}

proctype Network()
{
  byte v;
  Head h;
end:
  do
  :: d_step {
       late?v, h.writer, h.epoch, h.batch, h.state, h.request, h.trimmed;
       if
       :: MATCHES(v) -> version++; copyHead(store, h)
       :: else
       fi;
       v = 0;
       clearHead(h)
     }
  od
}

inline tell(rq, verdict)
{
  if
  :: nfull(reply[rq]) -> reply[rq]!verdict
  :: true /* lost */
  fi
}

inline propose(xState, xRequest, xTrimmed)
{
  next.writer = me;
  next.epoch = held.epoch;
  next.batch = held.batch + 1;
  next.state = xState;
  next.request = xRequest;
  next.trimmed = xTrimmed;
  phase = WRITING
}

inline leave()
{
  phase = OUT;
  base = 0;
  withdrawn = 0;
  clearHead(held);
  clearHead(next)
}

/* The owner has the confirmation that its write took effect. */
inline committed()
{
  copyHead(held, next);
  clearHead(next);
  base = version;
  phase = IDLE;
  if
  :: held.state == INTENT && asked && withdrawn ->
     withdrawn = 0;
     asked = 0;
     propose(NOT_RUN, held.request, held.trimmed)
  :: held.state == INTENT && asked && !withdrawn ->
     asked = 0;
     tell(held.request, PERMIT)
  :: else -> asked = 0
  fi
}

inline serveBegin(xCaller)
{
  if
  :: held.trimmed -> tell(xCaller, UNKNOWN)
  :: !held.trimmed && held.state == DONE -> tell(xCaller, RECORDED)
#ifdef PERMIT_ANY_REQUEST
  :: !held.trimmed && held.state == INTENT -> tell(xCaller, PERMIT)
#else
  :: !held.trimmed && held.state == INTENT && held.request == xCaller ->
     tell(xCaller, PERMIT)
  :: !held.trimmed && held.state == INTENT && held.request != xCaller ->
     tell(xCaller, UNKNOWN)
#endif
  :: !held.trimmed && (held.state == NONE || held.state == NOT_RUN) ->
     propose(INTENT, xCaller, 0);
     asked = 1;
#ifdef DISPATCH_BEFORE_COMMIT
     tell(xCaller, PERMIT)
#endif
  fi
}

inline serveEnd(xCaller, xEnd)
{
  if
  :: !held.trimmed && held.state == INTENT && held.request == xCaller ->
     propose(xEnd, xCaller, 0)
  :: else
  fi
}

inline claim()
{
  claims++;
  base = version;
  copyHead(held, store);
  held.epoch = store.epoch + 1;
  held.batch = 0;
  asked = 0;
  propose(held.state, held.request, held.trimmed)
}

proctype Owner(byte me)
{
  byte phase, base;
  bit withdrawn, asked;
  Head held;
  Head next;
end:
  do
  :: atomic { phase == OUT && claims < CLAIMS -> claim() }
  :: atomic { phase == OUT && nempty(mail[me]) -> mail[me]?_, _ }
  :: atomic { phase == IDLE && mail[me]?[BEGIN, 0] ->
              mail[me]?BEGIN, 0; serveBegin(0) }
  :: atomic { phase == IDLE && mail[me]?[BEGIN, 1] ->
              mail[me]?BEGIN, 1; serveBegin(1) }
  :: atomic { phase == IDLE && mail[me]?[RESULT, 0] ->
              mail[me]?RESULT, 0; serveEnd(0, DONE) }
  :: atomic { phase == IDLE && mail[me]?[RESULT, 1] ->
              mail[me]?RESULT, 1; serveEnd(1, DONE) }
  :: atomic { phase == IDLE && mail[me]?[RELEASE, 0] ->
              mail[me]?RELEASE, 0; serveEnd(0, NOT_RUN) }
  :: atomic { phase == IDLE && mail[me]?[RELEASE, 1] ->
              mail[me]?RELEASE, 1; serveEnd(1, NOT_RUN) }
#ifndef NO_TRIM
  :: atomic { phase == IDLE && held.state != NONE && !held.trimmed ->
#ifdef TRIM_WITHOUT_MARK
              propose(NONE, 0, 0)
#else
              propose(NONE, 0, 1)
#endif
            }
#endif
#ifdef NEW_OWNER_WITHDRAWS
  :: atomic { phase == IDLE && held.state == INTENT ->
              propose(NOT_RUN, held.request, held.trimmed) }
#endif
     /* The deadline of the request passes before the commit. */
  :: atomic { phase >= WRITING && next.state == INTENT && asked && !withdrawn ->
              withdrawn = 1; tell(next.request, REFUSED) }
     /* The store replies to the write. */
  :: atomic { phase == WRITING ->
              if
              :: MATCHES(base) -> version++; copyHead(store, next); committed()
              :: else -> phase = READING
              fi }
     /* The write takes effect, but its reply is lost. */
  :: atomic { phase == WRITING && MATCHES(base) ->
              version++; copyHead(store, next); phase = READING }
#ifndef NO_LATE
     /* The write arrives after its timeout, or never. */
  :: atomic { phase == WRITING && nfull(late) ->
              late!base, me, next.epoch, next.batch, next.state, next.request,
                next.trimmed;
              phase = READING }
#endif
     /* The owner reads the object back. */
  :: atomic { phase == READING ->
              if
              :: store.writer == me && store.epoch == next.epoch &&
                 store.batch == next.batch ->
                 committed()
#ifdef LOST_IS_FAILURE
              :: else ->
                 if
                 :: version < 8 -> base = version; phase = WRITING
                 :: else -> leave() /* limits the search */
                 fi
#else
              :: else ->
                 if
                 :: version == base -> phase = WRITING
                 :: else -> leave()
                 fi
#endif
              fi }
  od
}

inline send(kind)
{
  if
  :: nfull(mail[0]) -> mail[0]!kind, me
  :: nfull(mail[1]) -> mail[1]!kind, me
  :: true /* lost */
  fi
}

inline dispatch()
{
  runs++;
  ran[me] = 1;
  assert(runs <= 1);
  assert(!told[me]);
#ifdef CANNOT_RUN
  assert(false);
#endif
  if
  :: send(RESULT)
#ifdef NOT_RUN_AFTER_SEND
  :: told[me] = 1; assert(!ran[me])
#endif
  fi
}

proctype Entry(byte me)
{
  byte asks;
  bit closed;
end:
  do
  :: atomic { !closed && asks < ASKS -> asks++; send(BEGIN) }
  :: atomic { !closed && reply[me]?[PERMIT] -> reply[me]?PERMIT;
              closed = 1; asks = ASKS;
              if
              :: dispatch()
              :: told[me] = 1; send(RELEASE) /* no byte was sent */
              fi }
  :: atomic { !closed && reply[me]?[REFUSED] -> reply[me]?REFUSED;
              closed = 1; asks = ASKS; told[me] = 1 }
  :: atomic { !closed && (reply[me]?[RECORDED] || reply[me]?[UNKNOWN]) ->
              reply[me]?_; closed = 1; asks = ASKS }
     /* Without a verdict the outcome is unknown. */
  :: atomic { !closed && asks == ASKS -> closed = 1 }
     /* After the end a permit is released, unless the call was dispatched. */
  :: atomic { closed && nempty(reply[me]) ->
              if
              :: reply[me]?[PERMIT] && !ran[me] -> reply[me]?_; send(RELEASE)
              :: else -> reply[me]?_
              fi }
  od
}

init
{
  atomic {
    run Network();
    run Owner(0);
    run Owner(1);
    run Entry(0);
    run Entry(1)
  }
}
