/*
 * One idempotency key of a request that is not repeatable, claimed by two gateways.
 * The partition's log has the properties that ledger.pml checks. A gateway calls an engine
 * only after its claim was granted; the owner's answer can be lost, and the gateway then
 * asks again.
 *
 * Properties: at most one run, and both callers receive the same result.
 */
#define NOBODY 2
#define NONE 0
#define INDETERMINATE 9

typedef Gateway {
  bit up;
  /* The gateway has received the answer that its claim is granted. */
  bit granted;
  bit called;
  byte answer;
  /* The result that the gateway returned to its caller. */
  byte told
};

Gateway gateway[2];
byte holder = NOBODY;
byte result = NONE;
byte runs = 0;
bit underWay = 0;
byte crashes = 0;

#ifdef MUTANT_GRANT_TO_ALL
#define MAY_GRANT(g) (true)
#else
#define MAY_GRANT(g) (holder == NOBODY || holder == g)
#endif

/* claim: recorded once; a holder that repeats its claim is granted again. */
inline claim(g, answered) {
  if
  :: holder == NOBODY -> holder = g
  :: else
  fi;
  if
  :: answered && result == NONE -> gateway[g].granted = 1
  :: else
  fi
}

inline completeKey(g, with) {
#ifdef MUTANT_LAST_RESULT_WINS
  result = with
#else
  if
  :: result == NONE -> result = with
  :: else
  fi
#endif
}

#ifdef MUTANT_CALL_AGAIN
#define NOT_CALLED(g) (true)
#else
#define NOT_CALLED(g) (!gateway[g].called)
#endif

proctype GatewayProcess(byte g) {
  do
  :: d_step { gateway[g].up && MAY_GRANT(g) && !gateway[g].granted -> claim(g, true) }
  :: d_step { gateway[g].up && MAY_GRANT(g) && !gateway[g].granted -> claim(g, false) }
  :: d_step { gateway[g].up && gateway[g].granted && NOT_CALLED(g) && !underWay -> gateway[g].called = 1; underWay = 1 }
  :: d_step { underWay && g == 0 -> underWay = 0; runs++; assert(runs <= 1) }
  :: d_step { gateway[g].up && gateway[g].called && runs > 0 -> gateway[g].answer = runs }
  :: d_step { gateway[g].up && gateway[g].called && gateway[g].answer == NONE -> gateway[g].answer = INDETERMINATE }
  :: d_step { gateway[g].up && gateway[g].answer != NONE -> completeKey(g, gateway[g].answer); gateway[g].answer = NONE }
  /* The holder is down: the owner of the partition completes the key as indeterminate. */
  :: d_step { holder != NOBODY && result == NONE && !gateway[holder % 2].up -> result = INDETERMINATE }
  :: d_step { gateway[g].up && result != NONE -> assert(gateway[g].told == NONE || gateway[g].told == result); gateway[g].told = result; assert(gateway[1 - g].told == NONE || gateway[1 - g].told == gateway[g].told) }
  :: d_step { gateway[g].up && crashes < 1 -> crashes++; gateway[g].up = 0; gateway[g].granted = 0; gateway[g].answer = NONE }
  od
}

init {
  d_step { gateway[0].up = 1; gateway[1].up = 1 };
  atomic {
    run GatewayProcess(0);
    run GatewayProcess(1)
  }
}
