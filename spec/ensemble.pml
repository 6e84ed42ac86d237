/*
 * The members of one ensemble decide on the next ensemble. Three owners of the same version, each with its own ballot, propose
 * different ones. Requests are delayed, lost and duplicated, owners stop at any point, one disk is lost.
 *
 * Property: at most one next ensemble is decided. How an owner prepares under the next version is modelled in ledger.pml.
 */
#ifndef W
#define W 2
#endif
#ifndef R
#define R 2
#endif
#ifndef JOINING
/* The first JOINING stores are joining members: they count for the write quorum, never for the read quorum. */
#define JOINING 0
#endif
#ifndef LOSSES
#define LOSSES 1
#endif
#define STORES 3
#define OWNERS 3
#define NONE 0

byte promised[STORES];
byte acceptedBallot[STORES];
byte acceptedValue[STORES];
bit lost[STORES];
byte losses = 0;
byte decided = NONE;

typedef Owner {
  /* Sets of stores, as bit masks: those that promised, and those that accepted the proposal. */
  byte promises;
  byte answers;
  /* The value that the owner proposes; NONE while it prepares. */
  byte value;
  byte inheritedBallot;
  byte inheritedValue
};

/* Owner o has ballot o + 1 and proposes value o + 1 unless it inherits another. */
Owner owner[OWNERS];

#define HAS(set, s) ((set >> (s)) & 1)
#define COUNT(set) (((set) & 1) + (((set) >> 1) & 1) + (((set) >> 2) & 1))
#define FULL(set) ((set) >> JOINING)

#ifdef MUTANT_NO_PROMISE_CHECK
#define MAY_ACCEPT(s, ballot) (true)
#else
#define MAY_ACCEPT(s, ballot) (promised[s] <= ballot)
#endif

/* prepare: a promise that arrives after the owner has proposed is not counted. */
inline prepare(o, s) {
  d_step {
    promised[s] = o + 1;
    if
    :: owner[o].value == NONE && !HAS(owner[o].promises, s) ->
       owner[o].promises = owner[o].promises | (1 << s);
#ifndef MUTANT_NO_INHERITANCE
       if
       :: s >= JOINING && acceptedBallot[s] > owner[o].inheritedBallot ->
          owner[o].inheritedBallot = acceptedBallot[s];
          owner[o].inheritedValue = acceptedValue[s]
       :: else
       fi
#endif
    :: else
    fi
  }
}

inline propose(o) {
  d_step {
    if
    :: owner[o].inheritedValue != NONE -> owner[o].value = owner[o].inheritedValue
    :: else -> owner[o].value = o + 1
    fi
  }
}

inline accept(o, s) {
  d_step {
    if
    :: promised[s] < o + 1 -> promised[s] = o + 1
    :: else
    fi;
    acceptedBallot[s] = o + 1;
    acceptedValue[s] = owner[o].value;
    owner[o].answers = owner[o].answers | (1 << s)
  }
}

inline decide(o) {
  d_step {
    assert(decided == NONE || decided == owner[o].value);
    decided = owner[o].value
  }
}

active proctype world() {
  byte o = 0;
  byte s = 0;
  do
  :: d_step { o = (o + 1) % OWNERS }
  :: d_step { s = (s + 1) % STORES }
  :: !lost[s] && promised[s] <= o + 1 -> prepare(o, s)
  :: owner[o].value == NONE && COUNT(FULL(owner[o].promises)) >= R -> propose(o)
  :: owner[o].value != NONE && !lost[s] && MAY_ACCEPT(s, o + 1) -> accept(o, s)
  :: owner[o].value != NONE && COUNT(owner[o].answers) >= W -> decide(o)
  :: !lost[s] && losses < LOSSES -> d_step { lost[s] = 1; losses++ }
  od
}
