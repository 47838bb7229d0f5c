/* Configuration through the control stream (docs/design.md, sections 3, 4, 6).
 *
 * Three members, one log with retention, and three racing changes, all made
 * with version 0 and revision 0 in sight: patch 0 takes a domain out, patch 1
 * sets the same key to another value, and change 2 creates version 1.
 * FAULTS bounds repeated appends (whose answers were lost), restarts with an
 * empty state, and changes between a working and a failing log.
 *
 * s[m] is the state of a member, s[LOG] that of the whole log, which no member
 * sees.
 */
#ifndef FAULTS
#define FAULTS 3
#endif
#define MEMBERS 3
#define LOG 3
#define CHANGES 3
#define SNAPSHOT 3
/* Whether patch 1 is published; without it there is room for more faults. */
#ifdef WITHOUT_RIVAL
#define RIVAL false
#else
#define RIVAL true
#endif
#define LOG_SIZE 7

mtype = { undecided, valid, invalid };

typedef control_state {
  byte next_offset; /* offset after the last record applied */
  byte version, revision;
  byte value;    /* 0: domain in; 1: out, by patch 0; 2: by patch 1 */
  byte value_revision;
  mtype verdict[CHANGES]
};
control_state s[4], snapshot;
bool has_state[MEMBERS], recovered[MEMBERS];

byte log_record[LOG_SIZE], log_first, snapshot_at = LOG_SIZE;
bool log_up = true;
bool waiting[CHANGES]; /* an append is in flight */
bool snapshot_waiting;
bool told_accepted[CHANGES];
byte faults = FAULTS;

inline decide(m, c, ok) {
  if
  :: ok -> s[m].verdict[c] = valid
  :: else -> s[m].verdict[c] = invalid
  fi
}

#ifdef NO_REPEAT_RULE
#define REPEAT(m, c) false
#else
#define REPEAT(m, c) (s[m].verdict[c] != undecided)
#endif
#ifdef NO_CONFLICT_RULE
#define NO_CONFLICT(m) true
#else
#define NO_CONFLICT(m) (s[m].value_revision == 0)
#endif
#ifdef NO_BASE_REVISION
#define BASE_OK(m) true
#else
#define BASE_OK(m) (s[m].revision == 0)
#endif

/* The fold's rules for one record; the first record of a patch id decides.
 * Change 2 is a document made from revision 0. */
inline apply(m, c) {
  if
  :: c == SNAPSHOT -> skip
  :: c != SNAPSHOT && REPEAT(m, c) -> skip
  :: c < 2 && !REPEAT(m, c) ->
     decide(m, c, s[m].version == 0 && NO_CONFLICT(m));
     if
     :: s[m].verdict[c] == valid ->
        s[m].revision++; s[m].value = c + 1;
        s[m].value_revision = s[m].revision
     :: else
     fi
  :: c == 2 && !REPEAT(m, c) ->
     decide(m, c, s[m].version == 0 && BASE_OK(m));
     if
     :: s[m].verdict[c] == valid ->
        s[m].version = 1; s[m].revision = 0;
        s[m].value = 0; s[m].value_revision = 0
     :: else
     fi
  fi;
  s[m].next_offset++
}

inline copy(to, from) {
  to.next_offset = from.next_offset; to.version = from.version;
  to.revision = from.revision; to.value = from.value;
  to.value_revision = from.value_revision;
  to.verdict[0] = from.verdict[0]; to.verdict[1] = from.verdict[1];
  to.verdict[2] = from.verdict[2]
}

inline append(c) {
  log_record[s[LOG].next_offset] = c;
  if
  :: c == SNAPSHOT -> snapshot_at = s[LOG].next_offset
  :: else
  fi;
  apply(LOG, c);
  /* An accepted patch never reverts. */
  assert(!told_accepted[0] || s[LOG].value == 1);
  assert(!told_accepted[1] || s[LOG].value == 2);
  assert(!told_accepted[2] || s[LOG].version == 1)
}

#define SAME(a, b) (a.version == b.version && a.revision == b.revision && \
  a.value == b.value && a.value_revision == b.value_revision && \
  a.verdict[0] == b.verdict[0] && a.verdict[1] == b.verdict[1] && \
  a.verdict[2] == b.verdict[2])
/* Members at the same offset have the same state. */
#define AGREE(m) \
  (!has_state[(m + 1) % 3] || s[m].next_offset != s[(m + 1) % 3].next_offset || \
   SAME(s[m], s[(m + 1) % 3])) && \
  (!has_state[(m + 2) % 3] || s[m].next_offset != s[(m + 2) % 3].next_offset || \
   SAME(s[m], s[(m + 2) % 3])) && \
  (s[m].next_offset != s[LOG].next_offset || SAME(s[m], s[LOG]))

#define KNOWS(m, c) (recovered[m] && s[m].verdict[c] == valid)
/* Without reading back, the answer to the append is taken for the outcome. */
#if defined(NO_MAJORITY) || defined(NO_READ_BACK)
#define CONFIRMED(c) true
#else
#define CONFIRMED(c) (KNOWS(0, c) + KNOWS(1, c) + KNOWS(2, c) >= 2)
#endif
#ifdef NO_READ_BACK
#define READ_BACK_VALID(m, c) (s[LOG].verdict[c] != undecided)
#else
#define READ_BACK_VALID(m, c) (has_state[m] && s[m].verdict[c] == valid)
#endif
#ifdef NO_GAP_CHECK
#define GAP(m) false
#else
#define GAP(m) (s[m].next_offset < log_first)
#endif
/* A snapshot whose tail is incomplete would be found by GAP after loading it. */
#define LOADABLE (snapshot_at >= log_first && snapshot_at < s[LOG].next_offset && \
                  snapshot.next_offset >= log_first)
/* Retention removes records once there is a snapshot. Members can converge only
 * if it keeps the records after the offset that the snapshot covers, since the
 * model has one snapshot; safety holds without that. */
#ifdef TAIL_IS_KEPT
#define RETAINS (snapshot_at < LOG_SIZE && log_first < snapshot.next_offset)
#else
#define RETAINS (snapshot_at < LOG_SIZE && log_first < snapshot_at)
#endif
#ifdef NO_TAIL
#define START_OF_TAIL(m) s[m].next_offset = snapshot_at
#else
#define START_OF_TAIL(m) skip
#endif
#ifdef NO_RECOVERY_RULE
#define COUNTS(m) true
#else
#define COUNTS(m) recovered[m]
#endif
#define NOT_ABOVE(m, p) (COUNTS(p) && s[p].next_offset <= s[m].next_offset)
/* A round of heartbeats proves the view of m. */
#define ROUND(m) (COUNTS(m) + NOT_ABOVE(m, (m + 1) % 3) + \
                  NOT_ABOVE(m, (m + 2) % 3) >= 2)

/* Whoever can prove its view after the answer "accepted" knows the patch. */
#define INFORMED(m) (!has_state[m] || !ROUND(m) || s[m].verdict[0] == valid)
inline check_views() {
  assert(!told_accepted[0] || (INFORMED(0) && INFORMED(1) && INFORMED(2)))
}

/* Operators are told as soon as it is allowed, which is the hardest case.
 * "Rejected" is told on reading the record back. */
inline tell(m, c) {
  assert(!has_state[m] || s[m].verdict[c] != invalid ||
         s[LOG].verdict[c] == invalid);
  if
  :: READ_BACK_VALID(m, c) && CONFIRMED(c) ->
     told_accepted[c] = true;
     assert(s[LOG].verdict[c] == valid)
  :: else
  fi
}

inline after_step(m) {
  tell(m, 0);
  tell(m, 1);
  tell(m, 2);
  check_views()
}

inline clear(m) {
  s[m].next_offset = 0; s[m].version = 0; s[m].revision = 0; s[m].value = 0;
  s[m].value_revision = 0; s[m].verdict[0] = undecided;
  s[m].verdict[1] = undecided; s[m].verdict[2] = undecided;
  has_state[m] = (log_first == 0); recovered[m] = false
}

proctype member(byte m) {
  do
  /* Log follower. */
  :: d_step { log_up && has_state[m] && !GAP(m) && s[m].next_offset < s[LOG].next_offset ->
       if
       :: s[m].next_offset < log_first -> s[m].next_offset = log_first
       :: else
       fi;
       apply(m, log_record[s[m].next_offset]);
       if
       :: s[m].next_offset == s[LOG].next_offset -> recovered[m] = true
       :: else
       fi;
       assert(AGREE(m));
       after_step(m) }
  :: d_step { log_up && has_state[m] && !recovered[m] &&
              s[m].next_offset == s[LOG].next_offset ->
       recovered[m] = true;
       after_step(m) }
  :: d_step { log_up && has_state[m] && GAP(m) ->
       has_state[m] = false; recovered[m] = false }
  :: d_step { log_up && !has_state[m] && LOADABLE ->
       copy(s[m], snapshot); has_state[m] = true;
       START_OF_TAIL(m);
       assert(AGREE(m));
       after_step(m) }
  /* Records from a peer; an empty member needs a majority of the others. */
  :: d_step { !log_up && recovered[m] && recovered[(m + 1) % 3] &&
              s[(m + 1) % 3].next_offset > s[m].next_offset ->
       copy(s[m], s[(m + 1) % 3]);
       after_step(m) }
  :: d_step { !log_up && !recovered[m] && recovered[(m + 1) % 3] &&
              recovered[(m + 2) % 3] ->
       if
       :: s[(m + 1) % 3].next_offset > s[(m + 2) % 3].next_offset ->
          copy(s[m], s[(m + 1) % 3])
       :: else -> copy(s[m], s[(m + 2) % 3])
       fi;
       has_state[m] = true; recovered[m] = true;
       after_step(m) }
  /* A snapshot is appended some time after its state was read. It depends only
   * on the offset, so one writer is enough. */
  :: d_step { snapshot_at == LOG_SIZE && !snapshot_waiting && recovered[m] && m == 0 &&
              s[m].next_offset > 0 ->
       copy(snapshot, s[m]); snapshot_waiting = true }
  :: d_step { faults > 0 -> faults--; clear(m); after_step(m) }
  od
}

proctype log_service() {
  do
  :: d_step { log_up && waiting[0] -> waiting[0] = false; append(0) }
  :: d_step { log_up && waiting[1] -> waiting[1] = false; append(1) }
  :: d_step { log_up && waiting[2] -> waiting[2] = false; append(2) }
  :: d_step { log_up && snapshot_waiting ->
       snapshot_waiting = false; append(SNAPSHOT) }
  /* The answer was lost and the record is appended again. */
  :: d_step { faults > 0 && !waiting[0] -> faults--; waiting[0] = true }
  :: d_step { faults > 0 && RIVAL && !waiting[1] ->
       faults--; waiting[1] = true }
  :: d_step { faults > 0 && !waiting[2] -> faults--; waiting[2] = true }
  :: d_step { RETAINS -> log_first++ }
  :: d_step { faults > 0 && log_up -> faults--; log_up = false }
  :: d_step { !log_up -> log_up = true }
  od
}

init {
  atomic {
    byte m = 0;
    do
    :: m < 4 ->
       s[m].verdict[0] = undecided; s[m].verdict[1] = undecided;
       s[m].verdict[2] = undecided;
       m++
    :: else -> break
    od;
    m = 0;
    do
    :: m < 3 ->
       has_state[m] = true; recovered[m] = true;
       waiting[m] = (m != 1 || RIVAL);
       m++
    :: else -> break
    od;
    m = 0;
    run member(0); run member(1); run member(2); run log_service()
  }
}

/* Every change is decided and reaches every member, and the operator of an
 * accepted one is told. */
#define DONE(m) (s[m].next_offset == s[LOG].next_offset && SAME(s[m], s[LOG]))
ltl converges {
  <> (s[LOG].verdict[0] != undecided && s[LOG].verdict[1] != undecided &&
      s[LOG].verdict[2] != undecided && DONE(0) && DONE(1) && DONE(2) &&
      (told_accepted[0] || s[LOG].verdict[0] == invalid))
}
