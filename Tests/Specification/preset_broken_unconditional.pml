/* Broken variant, must be rejected: the update is not conditional.
 *
 * Two operators change the same version of the preset at two daemons, with
 * conditional updates, a lost store reply and copies at a third daemon.
 * Checked: at most one change of a version is accepted, the other operator
 * receives a conflict, the version at a daemon never decreases, and the store
 * and at least two daemons have an accepted version. */
#define NONE 0
#define ACCEPTED 1
#define CONFLICT 2

byte storeVersion = 1;
byte storeWriter = 9;     /* 9: no operator */
byte held[3] = 1;         /* version that each daemon has */
byte answer[2] = NONE;    /* answer to operator i */
byte wrote[2] = 0;        /* version of operator i's change */
bool mayLose = true;      /* one store reply may be lost */

inline adopt(d, v)
{
  if
  :: v > held[d] -> held[d] = v
  :: else -> skip
  fi
}

proctype Operator(byte i)
{
  byte version;
  bool ok = false;
  bool lost = false;
  /* Conditional update of version 1. */
  atomic {
    if
    :: true ->
       storeVersion = 2; storeWriter = i; ok = true
    :: else -> ok = false
    fi;
    if
    :: mayLose -> mayLose = false; lost = true
    :: true -> skip
    fi
  }
  if
  :: lost ->
     /* Read the object back; it contains the identity of its writer. */
     atomic { ok = (storeWriter == i); version = storeVersion }
  :: else -> version = storeVersion
  fi;
  if
  :: ok ->
     wrote[i] = version;
     atomic { adopt(i, version) };
     /* A daemon acknowledges its copy before the operator is answered
      * "accepted". */
     atomic { adopt(2, version) };
     answer[i] = ACCEPTED
  :: else -> answer[i] = CONFLICT
  fi;
  assert(answer[i] != ACCEPTED || (held[i] >= wrote[i] && held[2] >= wrote[i]))
}

/* Old and new versions arrive in any order, repeatedly. */
proctype Network()
{
  byte n = 0;
  do
  :: n < 4 ->
     if
     :: atomic { byte before = held[0]; adopt(0, held[2]); assert(held[0] >= before) }
     :: atomic { byte before1 = held[1]; adopt(1, held[2]); assert(held[1] >= before1) }
     :: atomic { byte before2 = held[2]; adopt(2, 1); assert(held[2] >= before2) }
     fi;
     n++
  :: n >= 4 -> break
  od
}

init
{
  atomic { run Operator(0); run Operator(1); run Network() };
  (_nr_pr == 1);
  assert(!(answer[0] == ACCEPTED && answer[1] == ACCEPTED));
  assert(answer[0] == ACCEPTED || answer[1] == ACCEPTED);
  assert(answer[0] == CONFLICT || answer[1] == CONFLICT);
  assert(storeVersion == 2 && held[2] == 2)
}
