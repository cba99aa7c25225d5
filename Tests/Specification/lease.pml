/*
 * Model of the lease of the daemon that sends orders to an endpoint (design
 * page, decision 7), for an engine that ignores fencing numbers (default) or
 * checks them (FENCED).
 *
 * Time is counted in ticks. A holder of the lease checks the time and sends its
 * order at most GAP ticks later. After a longer pause the holder detects a
 * clock gap and ends its ownership. With FENCED the length of a pause is not
 * limited, because the engine refuses orders with old numbers.
 *
 * With RETURN, the store may come back from a copy without the lease at any
 * time. The new holder then finds none, and the old one does not hear of it.
 *
 * Checked: after an order of the new holder, no order of the old holder takes
 * effect, and no order has a lower number than an earlier one. Each macro removes
 * one mechanism; Spin must then find an error.
 *   NO_WAIT        the new holder does not wait for the end of the old lease
 *   NO_MARGIN      the old holder sends until the end of its lease
 *   NO_GAP_CHECK   the old holder does not detect a pause
 *   NUMBER_IGNORED the engine ignores the number although the length of a pause
 *                  is not limited
 *   NO_RETURN_WAIT the new holder does not wait for leases that were lost
 *   ERA_IGNORED    the number is the revision alone, which the store has
 *                  assigned again
 */

#define LEASE 6
#define GAP 2
#define END 12

byte now = 0;
byte highest = 0;
bit newApplied = 0;
bit oldAfterNew = 0;
bit hasFallen = 0;
bit hasReturned = 0;

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
     hasFallen = hasFallen || n < highest;
     highest = n;
     if
     :: n != 1 -> newApplied = 1
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

/* Holds the lease with fencing number 1 from tick 0 to LEASE. */
active proctype OldHolder()
{
  byte checked;
end:
  do
  :: atomic { now < LAST -> checked = now }
     /* A pause of any length may occur here. */
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

#ifdef RETURN
active proctype Store()
{
end:
  hasReturned = 1
}
#endif

#ifdef ERA_IGNORED
#define NUMBER (hasReturned -> 0 : 2)
#else
#define NUMBER 2
#endif

/* Acquires the lease by a conditional update at any time. Its number is 2,
 * which is higher than that of the old holder. */
active proctype NewHolder()
{
  byte taken;
  bit heard;
end:
  do
  :: atomic { taken = now; heard = hasReturned }
#if !defined(NO_WAIT) && !defined(FENCED)
     /* The new holder can read the length of the old lease, but not its start.
      * After a return it waits from the moment at which it hears of it. */
#ifdef NO_RETURN_WAIT
     heard || now >= taken + LEASE;
#else
     now >= taken + LEASE;
#endif
#endif
     if
     :: heard == hasReturned -> break
     /* The update fails, because its revision is of an earlier era. */
     :: else
     fi
  od;
  atomic { order(NUMBER) }
}

ltl orders_in_turn { [] (!oldAfterNew && !hasFallen) }
