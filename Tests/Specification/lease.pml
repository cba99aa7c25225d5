/*
 * Lease of an endpoint's order holder (design page, decision 7), for an engine
 * that ignores fencing numbers (default) or checks them (FENCED).
 *
 * Time is counted in ticks. A holder checks the time, and its order leaves at
 * most GAP ticks later: a longer pause shows as a clock gap, and the holder
 * drops its ownership. With FENCED pauses have no bound, because the engine
 * itself refuses old numbers.
 *
 * Promise: after an order of the new holder no order of the old one takes
 * effect. Each macro removes one mechanism; Spin must then find an error.
 *   NO_WAIT        the new holder does not wait for the end of the old lease
 *   NO_MARGIN      the old holder sends until the end of its lease
 *   NO_GAP_CHECK   a pause is not noticed
 *   NUMBER_IGNORED the engine ignores the number although pauses have no bound
 */

#define LEASE 6
#define GAP 2
#define END 12

byte now = 0;
byte highest = 0;
bit newApplied = 0;
bit oldAfterNew = 0;

#ifdef NO_MARGIN
#define LAST (LEASE)
#else
#define LAST (LEASE - GAP)
#endif

#if defined(FENCED) && !defined(NUMBER_IGNORED)
#define ACCEPTS(n) (n >= highest)
#else
#define ACCEPTS(n) true
#endif

inline order(n)
{
  if
  :: ACCEPTS(n) ->
     highest = n;
     if
     :: n == 2 -> newApplied = 1
     :: n == 1 && newApplied -> oldAfterNew = 1
     :: else
     fi
  :: else
  fi
}

active proctype Time()
{
end:
  do
  :: now < END -> now++
  od
}

/* Has lease number 1 from tick 0 to LEASE. */
active proctype OldHolder()
{
  byte checked;
end:
  do
  :: atomic { now < LAST -> checked = now }
     /* Any pause happens here. */
     if
#if defined(NO_GAP_CHECK) || defined(FENCED)
     :: atomic { true -> order(1) }
#else
     :: atomic { now - checked <= GAP -> order(1) }
     :: now - checked > GAP -> break
#endif
     fi
  :: now >= LAST -> break
  od
}

/* Takes number 2 over by a conditional update at any time. */
active proctype NewHolder()
{
  byte taken;
end:
  taken = now;
#if !defined(NO_WAIT) && !defined(FENCED)
  /* It knows the length of the old lease, not its start. */
  now >= taken + LEASE;
#endif
  atomic { order(2) }
}

ltl old_never_after_new { [] !oldAfterNew }
