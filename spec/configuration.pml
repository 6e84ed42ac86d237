/*
 * Distribution of the configuration. Two operators race to write revisions to the
 * key-value service, whose answers can be lost. Three nodes receive revisions from it and
 * from each other, late and out of order.
 *
 * Properties: a node's revision never decreases, a revision has one content, and an
 * operator that is told that its file was accepted or in conflict is told the truth.
 */
#ifndef REVISIONS
#define REVISIONS 4
#endif
#define NODES 3
#define PENDING 0
#define ACCEPTED 1
#define CONFLICT 2
#define UNKNOWN 3

byte head = 0;
/* The operator whose file became a revision: operator + 1. */
byte writer[REVISIONS + 1];
byte inForce[NODES];
byte contentInForce[NODES];
/* One message in flight to each node: the newest revision of its sender when it was sent. */
byte message[NODES];
byte messageContent[NODES];

byte expected[2];
byte outcome[2];
byte changes[2];

#ifdef MUTANT_NO_COMPARE
#define HEAD_IS(revision) (true)
#else
#define HEAD_IS(revision) (head == (revision))
#endif
#ifdef MUTANT_NO_MONOTONIC_CHECK
#define IS_NEWER(n) (true)
#else
#define IS_NEWER(n) (message[n] > inForce[n])
#endif

inline commit(operator) {
  head++;
  writer[head] = operator + 1;
  changes[operator]++;
  assert(changes[operator] <= 1);
  assert(head == expected[operator] + 1)
}

proctype Operator(byte operator) {
  /* The operator reads a revision and submits a file based on it. */
  d_step { expected[operator] = head };
  do
  :: d_step { (outcome[operator] == PENDING) && HEAD_IS(expected[operator]) && head < REVISIONS -> commit(operator); outcome[operator] = ACCEPTED }
  /* The answer is lost after the write took effect. */
  :: d_step { (outcome[operator] == PENDING) && HEAD_IS(expected[operator]) && head < REVISIONS -> commit(operator); outcome[operator] = UNKNOWN }
  /* The call is lost before the write takes effect. */
  :: d_step { (outcome[operator] == PENDING) -> outcome[operator] = UNKNOWN }
  :: d_step { (outcome[operator] == PENDING) && !HEAD_IS(expected[operator]) -> outcome[operator] = CONFLICT }
#ifdef MUTANT_BLIND_RETRY
  :: d_step { outcome[operator] == UNKNOWN -> expected[operator] = head; outcome[operator] = PENDING }
#else
  /* settle: read back the write id of the next revision, which names its writer. */
  :: d_step { outcome[operator] == UNKNOWN && head > expected[operator] -> outcome[operator] = (writer[expected[operator] + 1] == operator + 1 -> ACCEPTED : CONFLICT) }
  :: d_step { outcome[operator] == UNKNOWN && head == expected[operator] -> outcome[operator] = PENDING }
#endif
  :: d_step { outcome[operator] == ACCEPTED -> assert(changes[operator] == 1) }
  :: d_step { outcome[operator] == CONFLICT -> assert(changes[operator] == 0) }
  od
}

proctype NodeProcess(byte n) {
  byte before;
  do
  /* A watch answer or a relayed message, which may be stale when it arrives. */
  :: d_step { head > 0 -> message[n] = head; messageContent[n] = writer[head] }
  :: d_step { inForce[(n + 1) % NODES] > 0 -> message[n] = inForce[(n + 1) % NODES]; messageContent[n] = contentInForce[(n + 1) % NODES] }
  :: d_step { inForce[(n + 2) % NODES] > 0 -> message[n] = inForce[(n + 2) % NODES]; messageContent[n] = contentInForce[(n + 2) % NODES] }
  :: d_step {
       message[n] > 0 && IS_NEWER(n) ->
       before = inForce[n];
       inForce[n] = message[n];
       contentInForce[n] = messageContent[n];
       assert(inForce[n] >= before);
       assert(contentInForce[n] == writer[inForce[n]]);
       before = 0
     }
  od
}

init {
  atomic {
    run Operator(0);
    run Operator(1);
    run NodeProcess(0);
    run NodeProcess(1);
    run NodeProcess(2)
  }
}
