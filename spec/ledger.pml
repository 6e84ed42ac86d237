/*
 * The ledger's core protocol: ballots, quorum appends, recovery, and the loss and
 * replacement of disks. docs/design/0017-specification.md maps each action to its Go function.
 *
 * There are N stores. An owner takes a ballot (ensemble version, number, owner), prepares on
 * R full members, rewrites the records that it read, and appends to W members. A lost disk
 * returns empty under a new incarnation; it is added to the ensemble as joining and promoted
 * to full later, both by compare-and-swap of the ensemble.
 *
 * Properties: a slot is never acknowledged with two values, and an owner that acknowledges
 * a later slot has the acknowledged value of the earlier one. Each guard has a MUTANT_ flag
 * that removes it; the checker must then find a violation.
 *
 * With PLANNED, three of the four stores are the ensemble, with a write quorum of two. One planned change moves a copy: the
 * fourth store is added as joining with a write quorum of three, promoted, and then a member is removed. Besides, with one
 * lost disk, the members that can be read are always enough for a read quorum.
 *
 * With SHORT, two stores are the ensemble, with a write quorum of two. A third is added as joining with a write quorum of three
 * and promoted, and then the write quorum is lowered to two. The same is asserted.
 *
 * Stores are interchangeable, so each action sorts them at its end (SORT): states that
 * differ only in the numbering of the stores become one state.
 */
#define N 4
#ifndef W
#define W 3
#endif
#ifndef R
#define R 2
#endif
#ifdef SHORT
#define PLANNED
#define INITIAL_MEMBERS 2
#define INITIAL_READ_QUORUM 1
#else
#define INITIAL_READ_QUORUM 2
#endif
#ifndef INITIAL_MEMBERS
#ifdef PLANNED
#define INITIAL_MEMBERS 3
#else
#define INITIAL_MEMBERS N
#endif
#endif
#ifdef PLANNED
#define WRITE_QUORUM(o) (owner[o].writeQuorum)
#define READ_QUORUM(o) (owner[o].readQuorum)
#else
#define WRITE_QUORUM(o) (W)
#define READ_QUORUM(o) (R)
#endif
#ifndef SLOTS
#define SLOTS 1
#endif
#ifndef LOSSES
#define LOSSES 2
#endif
/* The number of ballots that each owner may take. */
#ifndef ROUNDS
#define ROUNDS 2
#endif

#define NOTHING 0
/* Owner o appends the value o + 1; recovery fills a gap with NO_OPERATION. */
#define NO_OPERATION 3

#define IDLE 0
#define PREPARING 1
#define APPENDING 2

#ifdef MUTANT_BALLOT_WITHOUT_VERSION
#define BALLOT(version, number, owner) ((number) * 2 + (owner) + 1)
#else
#define BALLOT(version, number, owner) ((version) * 8 + (number) * 2 + (owner) + 1)
#endif

c_decl {
  /* Sorts the N (4) records of size bytes each at base, by their bytes. */
  static void sort_records(void *base, int size) {
    char held[256];
    char *records = (char *) base;
    int from, to;
    for (from = 1; from < 4; from++) {
      memcpy(held, records + from * size, size);
      for (to = from; to > 0 && memcmp(records + (to - 1) * size, held, size) > 0; to--)
        memcpy(records + to * size, records + (to - 1) * size, size);
      memcpy(records + to * size, held, size);
    }
  }
}
#define SORT c_code { sort_records(now.store, sizeof(now.store[0])); }

/* One owner's knowledge of one store, and its appends in flight to it. */
typedef View {
  /* The owner knows the store's current disk; false once that disk is lost. */
  bit current;
  bit joining;
  /* The store's promise counts towards the owner's R. */
  bit promised;
  /* The store's acknowledgement counts towards the owner's W. */
  bit acknowledged[SLOTS];
  /* An append to the store is in flight. */
  bit underWay[SLOTS];
#ifdef LATE
  /* An append under the owner's previous ballot is still in flight. */
  bit late[SLOTS];
#endif
};

typedef Store {
  byte promised;
  byte acceptedBallot[SLOTS];
  byte acceptedValue[SLOTS];
  /* The ensemble in the key-value service contains this disk, as joining or full. */
  bit member;
  bit joining;
  View view[2]
};

typedef Owner {
  byte phase;
  byte number;
  byte version;
  byte ballot;
  byte bestBallot[SLOTS];
  byte value[SLOTS];
#ifdef PLANNED
  /* The quorums of the ensemble that the owner knows. */
  byte writeQuorum;
  byte readQuorum;
#endif
#ifdef LATE
  byte lateBallot;
  byte lateValue[SLOTS];
#endif
};

Store store[N];
Owner owner[2];
byte ensembleVersion = 1;
byte losses = 0;
/* The value acknowledged to a client, per slot. */
byte chosen[SLOTS];
hidden byte i;
hidden byte k;
#ifdef PLANNED
byte writeQuorum = 2;
byte readQuorum = INITIAL_READ_QUORUM;
/* The number of members whose disk is lost and that are neither replaced nor removed. */
byte lostMembers = 0;
/* The planned change: not begun, a member more than wanted, complete. */
#define NOT_BEGUN 0
#define EXTENDED 1
#define MOVED 2
byte plan = NOT_BEGUN;

#define FULL_MEMBER(s) (store[s].member && !store[s].joining)
#define FULL_MEMBERS (FULL_MEMBER(0) + FULL_MEMBER(1) + FULL_MEMBER(2) + FULL_MEMBER(3))
#define JOINING_MEMBER(s) (store[s].member && store[s].joining)
#define WHOLE (lostMembers == 0 && !JOINING_MEMBER(0) && !JOINING_MEMBER(1) && !JOINING_MEMBER(2) && !JOINING_MEMBER(3))
#ifdef SHORT
#define MAY_REPLACE (true)
#else
#define MAY_REPLACE (plan != EXTENDED)
#endif
#define READABLE (FULL_MEMBERS >= readQuorum)
#endif

#define PROMISES(o) (store[0].view[o].promised + store[1].view[o].promised + store[2].view[o].promised + store[3].view[o].promised)
#define ACKNOWLEDGEMENTS(o, slot) (store[0].view[o].acknowledged[slot] + store[1].view[o].acknowledged[slot] + store[2].view[o].acknowledged[slot] + store[3].view[o].acknowledged[slot])

#ifdef MUTANT_NO_PROMISE_CHECK
#define MAY_ACCEPT(s, atBallot) (true)
#else
#define MAY_ACCEPT(s, atBallot) (store[s].promised <= (atBallot))
#endif

/* forgetRefused: removes the appends in flight that store s would refuse from now on; the deliver actions make no check. */
inline forgetRefused(s) {
  i = 0;
  do
  :: i < 2 ->
     k = 0;
     do
     :: k < SLOTS ->
        if
        :: !store[s].view[i].current || !MAY_ACCEPT(s, owner[i].ballot) -> store[s].view[i].underWay[k] = 0
        :: else
        fi;
#ifdef LATE
        if
        :: !store[s].view[i].current || !MAY_ACCEPT(s, owner[i].lateBallot) -> store[s].view[i].late[k] = 0
        :: else
        fi;
#endif
        k++
     :: else -> break
     od;
     i++
  :: else -> break
  od
}

/* takeBallot: a ballot above the owner's previous one; without refresh under the ensemble that it has, which may be stale. */
inline takeBallot(o, refresh) {
  i = 0;
  do
  :: i < N ->
     k = 0;
     do
     :: k < SLOTS ->
#ifdef LATE
        store[i].view[o].late[k] = store[i].view[o].underWay[k];
#endif
        store[i].view[o].underWay[k] = 0;
        store[i].view[o].acknowledged[k] = 0;
        k++
     :: else -> break
     od;
     store[i].view[o].promised = 0;
     if
     :: refresh ->
#ifdef LATE
        /* A late append was sent to a disk that has been replaced since; it never reaches the new one. */
        k = 0;
        do
        :: k < SLOTS ->
           if
           :: !store[i].view[o].current -> store[i].view[o].late[k] = 0
           :: else
           fi;
           k++
        :: else -> break
        od;
#endif
        store[i].view[o].current = store[i].member;
        store[i].view[o].joining = store[i].joining
     :: else
     fi;
     i++
  :: else -> break
  od;
  k = 0;
  do
  :: k < SLOTS ->
#ifdef LATE
     owner[o].lateValue[k] = owner[o].value[k];
#endif
     owner[o].value[k] = NOTHING;
     owner[o].bestBallot[k] = 0;
     k++
  :: else -> break
  od;
#ifdef LATE
  owner[o].lateBallot = owner[o].ballot;
#endif
  if
  :: refresh ->
#ifdef PLANNED
     owner[o].writeQuorum = writeQuorum;
     owner[o].readQuorum = readQuorum;
#endif
     owner[o].version = ensembleVersion
  :: else
  fi;
  owner[o].number++;
  owner[o].ballot = BALLOT(owner[o].version, owner[o].number, o);
  owner[o].phase = PREPARING
}

#ifdef MUTANT_JOINING_COUNTS_FOR_READ
#define MAY_READ(o, s) (true)
#else
#define MAY_READ(o, s) (!store[s].view[o].joining)
#endif

/* prepare: store s promises the ballot; if the answer arrives, the owner learns what the store accepted. */
inline prepare(o, s, answered) {
  store[s].promised = owner[o].ballot;
  if
  :: answered && MAY_READ(o, s) ->
     store[s].view[o].promised = 1;
     k = 0;
     do
     :: k < SLOTS ->
        if
        :: store[s].acceptedBallot[k] > owner[o].bestBallot[k] ->
           owner[o].bestBallot[k] = store[s].acceptedBallot[k];
           owner[o].value[k] = store[s].acceptedValue[k]
        :: else
        fi;
        k++
     :: else -> break
     od
  :: else
  fi;
  forgetRefused(s)
}

inline send(o, slot) {
  i = 0;
  do
  :: i < N ->
     if
     :: store[i].view[o].current && MAY_ACCEPT(i, owner[o].ballot) -> store[i].view[o].underWay[slot] = 1
     :: else
     fi;
     i++
  :: else -> break
  od
}

/* recover: rewrites the values that were read; a gap below them is filled with a no-operation. */
inline recover(o) {
  owner[o].phase = APPENDING;
  i = 0;
  do
  :: i < N -> store[i].view[o].promised = 0; i++
  :: else -> break
  od;
  k = SLOTS;
  do
  :: k > 0 ->
     k--;
     owner[o].bestBallot[k] = 0;
#ifdef MUTANT_NO_REWRITE
     owner[o].value[k] = NOTHING;
#endif
#if SLOTS > 1
     if
     :: k == 0 && owner[o].value[0] == NOTHING && owner[o].value[1] != NOTHING -> owner[o].value[0] = NO_OPERATION
     :: else
     fi;
#endif
     if
     :: owner[o].value[k] != NOTHING -> send(o, k)
     :: else
     fi
  :: else -> break
  od
}

/* append: appends the owner's own value. */
inline append(o, slot) {
  owner[o].value[slot] = o + 1;
  send(o, slot)
}

/*
 * deliver: store s accepts the append. A lost acknowledgement needs no action of its own: it
 * only keeps the owner from later actions, all of which are optional anyway. A lost append
 * is one that is never delivered.
 */
inline deliver(o, s, slot) {
  store[s].promised = owner[o].ballot;
  store[s].acceptedBallot[slot] = owner[o].ballot;
  store[s].acceptedValue[slot] = owner[o].value[slot];
  store[s].view[o].underWay[slot] = 0;
  store[s].view[o].acknowledged[slot] = 1;
  forgetRefused(s)
}

#ifdef LATE
inline deliverLate(o, s, slot) {
  store[s].promised = owner[o].lateBallot;
  store[s].acceptedBallot[slot] = owner[o].lateBallot;
  store[s].acceptedValue[slot] = owner[o].lateValue[slot];
  store[s].view[o].late[slot] = 0;
  forgetRefused(s)
}
#endif

/* acknowledge: W stores have the value, and the client is answered. Slots are acknowledged in order. */
inline acknowledge(o, slot) {
  k = 0;
  do
  :: k <= slot ->
     assert(chosen[k] == NOTHING || chosen[k] == owner[o].value[k]);
     chosen[k] = owner[o].value[k];
     k++
  :: else -> break
  od;
  k = 0
}

inline loseDisk(s) {
  losses++;
  store[s].promised = 0;
  k = 0;
  do
  :: k < SLOTS -> store[s].acceptedBallot[k] = 0; store[s].acceptedValue[k] = NOTHING; k++
  :: else -> break
  od;
#ifdef PLANNED
  if
  :: store[s].member -> lostMembers++
  :: else
  fi;
#endif
  store[s].member = 0;
#ifdef PLANNED
  store[s].joining = 0;
  assert(READABLE);
#endif
  store[s].view[0].current = 0;
  store[s].view[1].current = 0;
  forgetRefused(s)
}

/* replaceMember: compare-and-swap of the ensemble; the new disk becomes a joining member. */
inline replaceMember(s) {
  store[s].member = 1;
#ifdef PLANNED
  lostMembers--;
#endif
#ifdef MUTANT_JOIN_AS_FULL
  store[s].joining = 0;
#else
  store[s].joining = 1;
#endif
  ensembleVersion++
}

/* promoteMember: compare-and-swap of the ensemble, once the joining disk has the rewritten log. */
inline promoteMember(s) {
  store[s].joining = 0;
  ensembleVersion++
}

#ifdef PLANNED
/* extend: the ensemble gets one member more than wanted; the read quorum stays the same. */
inline extend(s) {
  store[s].member = 1;
  store[s].joining = 1;
#ifndef MUTANT_EXTEND_KEEPS_WRITE_QUORUM
  writeQuorum = 3;
#endif
#ifdef MUTANT_EXTEND_RAISES_READ_QUORUM
  writeQuorum = 2;
  readQuorum = 2;
#endif
  plan = EXTENDED;
  ensembleVersion++
}

/* lowerWriteQuorum: the read quorum becomes larger, once all members are full ones. */
inline lowerWriteQuorum() {
  writeQuorum = 2;
  readQuorum = 2;
  plan = MOVED;
  ensembleVersion++;
  assert(READABLE)
}

/* removeMember: the removed store keeps its disk, so that owners of older versions may still write to it. */
inline removeMember(s) {
  store[s].member = 0;
  store[s].joining = 0;
  writeQuorum = 2;
  plan = MOVED;
  ensembleVersion++;
  assert(READABLE)
}

inline removeLost() {
  lostMembers--;
  writeQuorum = 2;
  plan = MOVED;
  ensembleVersion++
}

/* The faulty variant: a member that can be read is replaced by one that has no records yet. */
inline replaceSound(s, replacement) {
  store[s].member = 0;
  store[replacement].member = 1;
  store[replacement].joining = 1;
  plan = MOVED;
  ensembleVersion++
}

#ifdef MUTANT_REMOVE_BEFORE_PROMOTION
#define MAY_REMOVE(s) (FULL_MEMBER(s) && FULL_MEMBERS > R)
#else
#define MAY_REMOVE(s) (FULL_MEMBER(s) && WHOLE)
#endif
#endif

#ifdef MUTANT_PROMOTE_WITHOUT_REWRITE
#define REWRITTEN(o, s, slot) (true)
#else
#define REWRITTEN(o, s, slot) (ACKNOWLEDGEMENTS(o, slot) >= WRITE_QUORUM(o) && store[s].view[o].acknowledged[slot])
#endif

/*
 * MAY_PROMOTE: every slot that recovery read was rewritten to W stores, including the joining
 * one, under a ballot of the ensemble that it joined. If recovery read nothing, one append
 * accepted by the joining disk shows that the disk has promised that ballot.
 */
#ifdef MUTANT_FILL_UNDER_OLD_BALLOT
#define AT_PRESENT_VERSION(o) (true)
#else
#define AT_PRESENT_VERSION(o) (owner[o].version == ensembleVersion)
#endif
#if SLOTS == 1
#define LOG_REWRITTEN(o, s) (REWRITTEN(o, s, 0))
#else
#define LOG_REWRITTEN(o, s) (REWRITTEN(o, s, 0) && (owner[o].value[1] == NOTHING || REWRITTEN(o, s, 1)))
#endif
#define MAY_PROMOTE(o, s) (store[s].member && store[s].joining && AT_PRESENT_VERSION(o) && owner[o].phase == APPENDING && LOG_REWRITTEN(o, s))

#define CAN_PREPARE(o, s) (owner[o].phase == PREPARING && store[s].view[o].current && !store[s].view[o].promised && store[s].promised <= owner[o].ballot)

/* Actions of owner o on store s. */
#define PREPARE(s) \
  :: d_step { CAN_PREPARE(o, s) && MAY_READ(o, s) -> prepare(o, s, true); SORT } \
  :: d_step { CAN_PREPARE(o, s) && store[s].promised < owner[o].ballot -> prepare(o, s, false); SORT }
#define PROMOTE(s) \
  :: d_step { MAY_PROMOTE(o, s) -> promoteMember(s); SORT }
#define DELIVER(s, slot) \
  :: d_step { owner[o].phase == APPENDING && store[s].view[o].underWay[slot] -> deliver(o, s, slot); SORT }
#ifdef LATE
#define DELIVER_LATE(s, slot) \
  :: d_step { store[s].view[o].late[slot] -> deliverLate(o, s, slot); SORT }
#else
#define DELIVER_LATE(s, slot)
#endif
#define ACKNOWLEDGE(slot) \
  :: d_step { owner[o].phase == APPENDING && owner[o].value[slot] != NOTHING && ACKNOWLEDGEMENTS(o, slot) >= WRITE_QUORUM(o) && chosen[slot] != owner[o].value[slot] && (slot == 0 || ACKNOWLEDGEMENTS(o, 0) >= WRITE_QUORUM(o)) -> acknowledge(o, slot) }

/* The faulty variant: an owner learns of the new member and appends to it under its old ballot. */
#ifdef MUTANT_FILL_UNDER_OLD_BALLOT
#define FILL(s) \
  :: d_step { owner[o].phase == APPENDING && owner[o].value[0] != NOTHING && store[s].member && store[s].joining && !store[s].view[o].current -> \
       store[s].view[o].current = 1; store[s].view[o].acknowledged[0] = 0; store[s].view[o].underWay[0] = 1; SORT }
#else
#define FILL(s)
#endif

proctype OwnerProcess(byte o) {
  do
  :: d_step { owner[o].number < ROUNDS -> takeBallot(o, true); SORT }
  /* The key-value service is down: the owner uses the ensemble that it knows. */
  :: d_step { owner[o].number < ROUNDS && owner[o].version > 0 && owner[o].version < ensembleVersion -> takeBallot(o, false); SORT }
  PREPARE(0) PREPARE(1) PREPARE(2) PREPARE(3)
  :: d_step { owner[o].phase == PREPARING && PROMISES(o) >= READ_QUORUM(o) -> recover(o); SORT }
  :: d_step { owner[o].phase == APPENDING && owner[o].value[0] == NOTHING -> append(o, 0); SORT }
  DELIVER(0, 0) DELIVER(1, 0) DELIVER(2, 0) DELIVER(3, 0)
  DELIVER_LATE(0, 0) DELIVER_LATE(1, 0) DELIVER_LATE(2, 0) DELIVER_LATE(3, 0)
  ACKNOWLEDGE(0)
#if SLOTS > 1
  :: d_step { owner[o].phase == APPENDING && owner[o].value[0] != NOTHING && owner[o].value[1] == NOTHING -> append(o, 1); SORT }
  DELIVER(0, 1) DELIVER(1, 1) DELIVER(2, 1) DELIVER(3, 1)
  DELIVER_LATE(0, 1) DELIVER_LATE(1, 1) DELIVER_LATE(2, 1) DELIVER_LATE(3, 1)
  ACKNOWLEDGE(1)
#endif
  PROMOTE(0) PROMOTE(1) PROMOTE(2) PROMOTE(3)
  FILL(0) FILL(1) FILL(2) FILL(3)
  od
}

#define LOSE(s) \
  :: d_step { losses < LOSSES -> loseDisk(s); SORT }
#ifdef PLANNED
#define REPLACE(s) \
  :: d_step { !store[s].member && lostMembers > 0 && MAY_REPLACE -> replaceMember(s); SORT }
#ifdef SHORT
#define REMOVE(s)
#define COMPLETE \
  :: d_step { plan == EXTENDED && WHOLE -> lowerWriteQuorum(); SORT }
#else
#define REMOVE(s) \
  :: d_step { plan == EXTENDED && MAY_REMOVE(s) -> removeMember(s); SORT }
#define COMPLETE \
  :: d_step { plan == EXTENDED && lostMembers > 0 -> removeLost(); SORT }
#endif
#ifdef MUTANT_REPLACE_SOUND_MEMBER
#define MOVE(s, spare) \
  :: d_step { plan == NOT_BEGUN && WHOLE && store[s].member && !store[spare].member -> replaceSound(s, spare); SORT }
#define EXTEND(s)
#else
#define MOVE(s, spare)
#define EXTEND(s) \
  :: d_step { plan == NOT_BEGUN && WHOLE && !store[s].member -> extend(s); SORT }
#endif
#else
#define REPLACE(s) \
  :: d_step { !store[s].member -> replaceMember(s); SORT }
#endif

proctype Disks() {
  do
  LOSE(0) LOSE(1) LOSE(2) LOSE(3)
  REPLACE(0) REPLACE(1) REPLACE(2) REPLACE(3)
#ifdef PLANNED
  EXTEND(0) EXTEND(1) EXTEND(2) EXTEND(3)
  REMOVE(0) REMOVE(1) REMOVE(2) REMOVE(3)
  COMPLETE
  MOVE(0, 3) MOVE(3, 0)
#endif
  od
}

init {
  d_step {
    i = 0;
    do
    :: i < INITIAL_MEMBERS -> store[i].member = 1; i++
    :: else -> break
    od
  };
  atomic {
    run OwnerProcess(0);
    run OwnerProcess(1);
    run Disks()
  }
}
