/* Broken variant, must be rejected: "accepted" is said before another daemon holds
 * a copy.
 *
 * Two operators change the preset at two daemons over the same version, with a
 * conditional update, a lost store answer and copies at a third daemon. Checked:
 * of the changes over one version at most one is accepted, the other operator
 * is told so, versions at a daemon never go back, and an accepted version is
 * held by the store and by at least two daemons. */
#define NONE 0
#define ACCEPTED 1
#define CONFLICT 2

byte storeVersion = 1;
byte storeWriter = 9;     /* 9: nobody */
byte held[3] = 1;         /* version that each daemon holds */
byte answer[2] = NONE;    /* what operator i is told */
byte wrote[2] = 0;        /* version of operator i's change */
bool mayLose = true;      /* one store answer may be lost */

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
  /* Conditional update over version 1. */
  atomic {
    if
    :: storeVersion == 1 ->
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
     /* Read back: the object names its writer. */
     atomic { ok = (storeWriter == i); version = storeVersion }
  :: else -> version = storeVersion
  fi;
  if
  :: ok ->
     wrote[i] = version;
     atomic { adopt(i, version) };
     /* The copy is acknowledged before the operator hears "accepted". */
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
