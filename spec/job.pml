/*
 * One job with its items on a partition's log, and the items' runs at engines.
 * docs/design/0017-specification.md maps each action to its Go function.
 *
 * The log has the properties that ledger.pml checks: an append by the current owner is
 * durable, one by a replaced owner is rejected. Two nodes own the partition in turn; a
 * replaced owner can be paused and later continue with stale state. Item 0 is repeatable,
 * item 1 is not (MARKED). Calls to engines can arrive late. Two clients can submit the job
 * with the same key; idempotency keys of single requests are in key.pml.
 */
#ifndef TAKEOVERS
#define TAKEOVERS 2
#endif
#ifndef RUNS
#define RUNS 2
#endif

#define REPEATABLE 0
#define MARKED 1
#define NONE 0
#define INDETERMINATE 9
#define NOBODY 2

/* The state recorded in the log. A result is the number of the run that produced it. */
typedef Log {
  bit accepted;
  bit cancelled;
  bit attempted;
  byte result[2]
};

typedef Node {
  bit up;
  /* The part of the log that the node has read or appended. */
  Log known;
  /* The node may start calls: it is the owner, or was replaced less than the window ago. */
  bit window;
  /* The checks before the item's call are done; the call has not been sent. */
  bit begun[2];
  /* A call of the item by this node is in flight to an engine. */
  bit sent[2];
  /* The run whose answer the node has received for the item. */
  byte answer[2];
  /* The marked item may already have been called: its attempt was in the log at takeover, or this node has called it. The
   * node then only attaches to its run. */
  bit attach
};

Log log;
Node node[2];
byte owner = NOBODY;
byte takeovers = 0;
byte acceptances = 0;
byte runs = 0;
byte runsOfMarked = 0;
/* The last run of the item that an engine has completed. */
byte finished[2];
bit cancelAcknowledged = 0;
/* The last result that a client has read; a later read must return the same. */
byte read[2];

#ifdef MUTANT_NO_FENCE
#define MAY_APPEND(n) (true)
#else
#define MAY_APPEND(n) (owner == n)
#endif

inline copyLog(n) {
  node[n].known.accepted = log.accepted;
  node[n].known.cancelled = log.cancelled;
  node[n].known.attempted = log.attempted;
  node[n].known.result[0] = log.result[0];
  node[n].known.result[1] = log.result[1]
}

/* takeOver: the node becomes the owner and reads the log before it serves. */
inline takeOver(n) {
  takeovers++;
  owner = n;
  node[n].up = 1;
  node[n].window = 1;
  copyLog(n);
  node[n].attach = log.attempted;
  node[n].begun[0] = 0; node[n].begun[1] = 0;
  node[n].answer[0] = NONE; node[n].answer[1] = NONE
}

/* crash: the node's memory is lost; calls that it has sent may still arrive. */
inline crash(n) {
  node[n].up = 0;
  node[n].window = 0;
  node[n].begun[0] = 0; node[n].begun[1] = 0;
  node[n].answer[0] = NONE; node[n].answer[1] = NONE;
  if
  :: owner == n -> owner = NOBODY
  :: else
  fi
}

#ifdef MUTANT_ACCEPT_RESEND
#define IS_NEW_JOB(n) (acceptances < 2)
#else
#define IS_NEW_JOB(n) (!node[n].known.accepted)
#endif

inline acceptJob(n) {
  acceptances++;
  assert(acceptances == 1);
  log.accepted = 1;
  copyLog(n)
}

inline recordAttempt(n) {
  log.attempted = 1;
  copyLog(n)
}

#define LIVE(n, item) (node[n].known.accepted && !node[n].known.cancelled && node[n].known.result[item] == NONE)

#ifdef MUTANT_CALL_AGAIN_AFTER_TAKEOVER
#define MAY_BEGIN_MARKED(n) (node[n].known.attempted)
#else
#ifdef MUTANT_CALL_BEFORE_ATTEMPT
#define MAY_BEGIN_MARKED(n) (true)
#else
#define MAY_BEGIN_MARKED(n) (node[n].known.attempted && !node[n].attach)
#endif
#endif

/* begin: all checks are done; the call itself is a later step. */
inline begin(n, item) { node[n].begun[item] = 1 }

inline call(n, item) {
  assert(!cancelAcknowledged);
  node[n].begun[item] = 0;
  node[n].sent[item] = 1;
  if
  :: item == MARKED -> node[n].attach = 1
  :: else
  fi
}

/* startRun: a call arrives at an engine, possibly late. */
inline startRun(n, item) {
  runs++;
  node[n].sent[item] = 0;
  if
  :: item == MARKED -> runsOfMarked++; assert(runsOfMarked <= 1)
  :: else
  fi;
  finished[item] = runs
}

/* complete: the first result of an item in the log is final; a cancelled job accepts none. */
inline complete(n, item, with) {
  if
#ifdef MUTANT_LAST_RESULT_WINS
  :: !log.cancelled -> log.result[item] = with
#else
#ifdef MUTANT_RESULT_AFTER_CANCEL
  :: log.result[item] == NONE -> assert(!cancelAcknowledged); log.result[item] = with
#else
  :: !log.cancelled && log.result[item] == NONE -> assert(!cancelAcknowledged); log.result[item] = with
#endif
#endif
  :: else
  fi;
  copyLog(n)
}

inline readResult(item) {
  assert(read[item] == NONE || read[item] == log.result[item]);
  read[item] = log.result[item]
}

#ifdef MUTANT_CANCEL_WITHOUT_WINDOW
#define PREDECESSOR_SETTLED(n) (true)
#else
#define PREDECESSOR_SETTLED(n) (!node[1 - n].window)
#endif
#ifdef MUTANT_CANCEL_WITHOUT_WAIT_FOR_CALLS
#define OWN_CALLS_BEGUN(n) (false)
#else
#define OWN_CALLS_BEGUN(n) (node[n].begun[0] || node[n].begun[1])
#endif

proctype NodeProcess(byte n) {
  do
  :: d_step { takeovers < TAKEOVERS && owner != n -> takeOver(n) }
  :: d_step { node[n].up && takeovers < TAKEOVERS -> crash(n) }
  /* The window of a replaced owner closes; its duration is not modelled. */
  :: d_step { node[n].window && owner != n -> node[n].window = 0; node[n].begun[0] = 0; node[n].begun[1] = 0 }
  :: d_step { node[n].up && MAY_APPEND(n) && IS_NEW_JOB(n) -> acceptJob(n) }
  :: d_step { node[n].up && MAY_APPEND(n) && LIVE(n, MARKED) && !node[n].known.attempted -> recordAttempt(n) }
  :: d_step { node[n].up && node[n].window && LIVE(n, REPEATABLE) && !node[n].begun[REPEATABLE] && !node[n].sent[REPEATABLE] && node[n].answer[REPEATABLE] == NONE && runs < RUNS -> begin(n, REPEATABLE) }
  :: d_step { node[n].up && node[n].window && LIVE(n, MARKED) && MAY_BEGIN_MARKED(n) && !node[n].begun[MARKED] && !node[n].sent[MARKED] && node[n].answer[MARKED] == NONE -> begin(n, MARKED) }
  :: d_step { node[n].begun[REPEATABLE] && node[n].window -> call(n, REPEATABLE) }
  :: d_step { node[n].begun[MARKED] && node[n].window -> call(n, MARKED) }
  :: d_step { node[n].sent[REPEATABLE] && runs < RUNS -> startRun(n, REPEATABLE) }
  :: d_step { node[n].sent[MARKED] -> startRun(n, MARKED) }
  /* The answer arrives; it is lost if this step is never taken. */
  :: d_step { node[n].up && finished[REPEATABLE] != NONE && node[n].known.accepted -> node[n].answer[REPEATABLE] = finished[REPEATABLE] }
  :: d_step { node[n].up && finished[MARKED] != NONE && node[n].attach -> node[n].answer[MARKED] = finished[MARKED] }
  /* attach: the engine has no such run, or is gone: the result is indeterminate. */
  :: d_step { node[n].up && node[n].attach && !node[n].sent[MARKED] && node[n].answer[MARKED] == NONE -> node[n].answer[MARKED] = INDETERMINATE }
  :: d_step { node[n].up && MAY_APPEND(n) && node[n].answer[REPEATABLE] != NONE -> complete(n, REPEATABLE, node[n].answer[REPEATABLE]); node[n].answer[REPEATABLE] = NONE }
  :: d_step { node[n].up && MAY_APPEND(n) && node[n].answer[MARKED] != NONE -> complete(n, MARKED, node[n].answer[MARKED]); node[n].answer[MARKED] = NONE }
  :: d_step { node[n].up && MAY_APPEND(n) && node[n].known.accepted && !log.cancelled -> log.cancelled = 1; copyLog(n) }
  :: d_step { node[n].up && owner == n && node[n].known.cancelled && PREDECESSOR_SETTLED(n) && !OWN_CALLS_BEGUN(n) -> cancelAcknowledged = 1 }
  :: d_step { log.result[REPEATABLE] != NONE -> readResult(REPEATABLE) }
  :: d_step { log.result[MARKED] != NONE -> readResult(MARKED) }
  od
}

init {
  atomic {
    run NodeProcess(0);
    run NodeProcess(1)
  }
}
