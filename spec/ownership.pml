/* Placement ownership with the worker's lease (docs/design.md, section 5).
 *
 * Two daemons compete for one shard with one worker that holds one task at a
 * time, and two tasks. A daemon may be paused between any two steps. FAULTS
 * bounds deaths with restart, expired leases, suspicions of a live owner,
 * releases, evictions and lost messages together.
 *
 * The log is modelled by its fold f_*: an append in flight takes effect or is
 * lost at any later time, and its validity is decided when it takes effect.
 * Daemons see only what they read (v), never the answer to an append. A daemon
 * that doesn't believe to be the owner has no use for a view between its reads;
 * its claim may be out of date because it is in flight for any time.
 */
#ifndef FAULTS
#define FAULTS 3
#endif
#define DAEMONS 2
#define TASKS 2
/* With one task the other is finished from the start. */
#ifdef ONE_TASK
#define SECOND finished
#else
#define SECOND pending
#endif
#define NONE 255
#define NEXT_LEASE 8

mtype = { pending, started, finished };
mtype = { no_record, owner_claimed, owner_released, tasks_started, tasks_ended };

byte faults = FAULTS;

/* Fold of the shard stream. */
byte f_epoch = 1, f_owner = 0;
bool f_current = true; /* the owner's process still lives */
mtype f_state[TASKS] = pending;
byte f_attempt[TASKS], f_epoch_of[TASKS];

/* Worker: leases that are valid, and the attempt that runs of each task. */
bool lease_valid[NEXT_LEASE];
byte next_lease = 1;
byte run_attempt[TASKS], run_lease[TASKS], finished_attempt[TASKS];
byte last_run[TASKS]; /* highest attempt that ever ran, for the properties */

/* A daemon's view, a copy of the fold at its last read. */
typedef view {
  byte epoch;
  bool owner;
  mtype state[TASKS];
  byte attempt[TASKS], epoch_of[TASKS];
  bool behind
};
view v[DAEMONS];

typedef daemon {
  byte lease;
  bool adopted, deleted, listed; /* steps of the handover */
  byte sent[TASKS], sent_lease[TASKS];
  /* Append in flight. */
  mtype record; byte epoch, task, attempt; bool done;
  bool earlier; /* written by an earlier incarnation */
  /* Start in flight to the worker. */
  byte start_attempt, start_task, start_lease
};
daemon d[DAEMONS];

#define RUNNING ((run_attempt[0] > 0) + (run_attempt[1] > 0))
#define RESERVED(i) ((v[i].state[0] == started) + (v[i].state[1] == started))

#ifdef NO_INCARNATION
#define F_OWNER(i) (f_owner == i)
#else
#define F_OWNER(i) (f_owner == i && f_current)
#endif
#define OWNER(i) v[i].owner
#ifdef NO_VIEW_AFTER_LEASE
#define FRESH(i) true
#else
#define FRESH(i) (!v[i].behind)
#endif
/* With LATE_HANDOVER an owner may be paused between its check and the calls
 * that adopt tasks and delete leases, which then arrive after another daemon
 * has taken over. */
#ifdef LATE_HANDOVER
#define MAY_TAKE_OVER(i) true
#else
#define MAY_TAKE_OVER(i) FRESH(i)
#endif
#ifdef NO_SECOND_LIST
#define READY(i) (OWNER(i) && d[i].lease > 0)
#else
#define READY(i) (OWNER(i) && d[i].lease > 0 && d[i].listed)
#endif
/* The epoch and the attempt rule of the fold each suffice for the properties
 * below; without both they fail. */
#ifdef NO_FOLD_RULES
#define EPOCH_OK(i) true
#else
#define EPOCH_OK(i) (d[i].epoch == f_epoch && f_owner != NONE)
#endif
#ifdef NO_FOLD_RULES
#define START_OK(i) true
#else
#define START_OK(i) (f_state[d[i].task] == pending && \
                     d[i].attempt == f_attempt[d[i].task] + 1)
#endif
#ifdef NO_RESERVATION
#define ROOM(i) (RUNNING == 0)
#else
#define ROOM(i) (RESERVED(i) == 0)
#endif
/* The attempt under the lease it was sent with can no longer start. */
#ifdef NO_PROOF_OF_END
#define LEASE_GONE(l) true
#else
#define LEASE_GONE(l) (!lease_valid[l])
#endif

inline forget_lease(i) {
  d[i].lease = 0; d[i].adopted = false; d[i].deleted = false;
  d[i].listed = false
}

inline read_task(i, t) {
  v[i].state[t] = pending; v[i].attempt[t] = 0; v[i].epoch_of[t] = 0;
  if
  :: OWNER(i) ->
     v[i].state[t] = f_state[t]; v[i].attempt[t] = f_attempt[t];
     v[i].epoch_of[t] = f_epoch_of[t]
  :: else
  fi;
  if
  :: v[i].state[t] != started -> d[i].sent[t] = 0; d[i].sent_lease[t] = 0
  :: else
  fi
}

inline read(i) {
  v[i].epoch = 0;
  v[i].owner = F_OWNER(i);
  if
  :: OWNER(i) -> v[i].epoch = f_epoch
  :: else -> forget_lease(i)
  fi;
  read_task(i, 0);
  read_task(i, 1);
  v[i].behind = false
}

inline append(i, KIND, EPOCH, TASK, ATTEMPT, DONE) {
  d[i].record = KIND; d[i].epoch = EPOCH; d[i].task = TASK;
  d[i].attempt = ATTEMPT; d[i].done = DONE; d[i].earlier = false
}

inline forget_record(i) {
  d[i].record = no_record; d[i].epoch = 0; d[i].task = 0; d[i].attempt = 0;
  d[i].done = false; d[i].earlier = false
}

/* An append takes effect: the fold's rules. */
inline apply(i) {
  if
  :: d[i].record == owner_claimed && d[i].epoch == f_epoch + 1 ->
     f_epoch = d[i].epoch; f_owner = i; f_current = !d[i].earlier
  :: d[i].record == owner_released && EPOCH_OK(i) ->
     f_owner = NONE; f_current = false
  :: d[i].record == tasks_started && EPOCH_OK(i) && START_OK(i) ->
     f_state[d[i].task] = started; f_attempt[d[i].task] = d[i].attempt;
     f_epoch_of[d[i].task] = d[i].epoch
  :: d[i].record == tasks_ended && EPOCH_OK(i) &&
     f_state[d[i].task] == started && f_attempt[d[i].task] == d[i].attempt ->
     if
     :: d[i].done -> f_state[d[i].task] = finished
     :: else -> f_state[d[i].task] = pending
     fi;
     f_epoch_of[d[i].task] = 0
  :: else
  fi;
  forget_record(i);
  v[1 - i].behind = OWNER(1 - i);
  /* An owner that was up to date reads its own record at once: a pause before
   * the read is the same as one after it. */
  if
  :: v[i].behind -> skip
  :: !v[i].behind && OWNER(i) -> read(i)
  :: else
  fi
}

inline restart(i) {
  d[i].earlier = (d[i].record != no_record);
  if
  :: f_owner == i -> f_current = false
  :: else
  fi;
  forget_lease(i);
  d[i].sent[0] = 0; d[i].sent[1] = 0;
  d[i].sent_lease[0] = 0; d[i].sent_lease[1] = 0;
  v[i].owner = false; v[i].epoch = 0; v[i].behind = false;
  read_task(i, 0);
  read_task(i, 1)
}

inline stop_task(t) { run_attempt[t] = 0; run_lease[t] = 0 }

/* The worker stops the tasks under leases that are no longer valid. */
inline stop_unleased() {
  if
  :: run_attempt[0] > 0 && !lease_valid[run_lease[0]] -> stop_task(0)
  :: else
  fi;
  if
  :: run_attempt[1] > 0 && !lease_valid[run_lease[1]] -> stop_task(1)
  :: else
  fi
}

inline delete_other_leases(i) {
  byte l = 1;
  do
  :: l < NEXT_LEASE ->
     if
     :: l != d[i].lease -> lease_valid[l] = false
     :: else
     fi;
     l++
  :: else -> break
  od;
  l = 0;
  stop_unleased()
}

/* The worker starts whatever it is given under a valid lease. */
inline accept_start(i) {
  if
  :: lease_valid[d[i].start_lease] ->
     assert(run_attempt[d[i].start_task] == 0);        /* never twice at once */
     assert(d[i].start_attempt > last_run[d[i].start_task]); /* resumes once */
     assert(d[i].start_attempt <= f_attempt[d[i].start_task]);
     run_attempt[d[i].start_task] = d[i].start_attempt;
     run_lease[d[i].start_task] = d[i].start_lease;
     last_run[d[i].start_task] = d[i].start_attempt;
     assert(RUNNING <= 1)                              /* capacity */
  :: else
  fi;
  d[i].start_attempt = 0; d[i].start_task = 0; d[i].start_lease = 0
}

/* What the owner does for one task. */
/* The tasks are alike, so the first to start is task 0. */
#define STARTS(i, t) (READY(i) && !v[i].behind && d[i].record == no_record && \
                      v[i].state[t] == pending && ROOM(i) && \
                      (t == 0 || v[i].attempt[0] > 0))
#ifdef NO_READ_BACK
#define INTENT(i, t) (d[i].record == tasks_started && d[i].task == t)
#define INTENT_ATTEMPT(i, t) d[i].attempt
#else
#define INTENT(i, t) (v[i].state[t] == started && \
                      v[i].epoch_of[t] == v[i].epoch)
#define INTENT_ATTEMPT(i, t) v[i].attempt[t]
#endif
#define SENDS(i, t) (READY(i) && INTENT(i, t) && d[i].start_attempt == 0 && \
                     d[i].sent[t] < INTENT_ATTEMPT(i, t))
#define OPEN(i, t) (READY(i) && !v[i].behind && d[i].record == no_record && \
                    v[i].state[t] == started)
#define FINISHED(i, t) (OPEN(i, t) && finished_attempt[t] == v[i].attempt[t])
#define ENDED(i, t) (OPEN(i, t) && finished_attempt[t] != v[i].attempt[t] && \
                     run_attempt[t] != v[i].attempt[t] && \
                     (v[i].epoch_of[t] < v[i].epoch || \
                      (d[i].sent[t] == v[i].attempt[t] && \
                       LEASE_GONE(d[i].sent_lease[t]))))

#define TASK_STEPS(i, t) \
  :: d_step { STARTS(i, t) -> \
       append(i, tasks_started, v[i].epoch, t, v[i].attempt[t] + 1, false) } \
  :: d_step { SENDS(i, t) -> \
       d[i].start_task = t; d[i].start_attempt = INTENT_ATTEMPT(i, t); \
       d[i].start_lease = d[i].lease; \
       d[i].sent[t] = d[i].start_attempt; d[i].sent_lease[t] = d[i].lease } \
  :: d_step { FINISHED(i, t) -> \
       append(i, tasks_ended, v[i].epoch, t, v[i].attempt[t], true) } \
  :: d_step { ENDED(i, t) -> \
       append(i, tasks_ended, v[i].epoch, t, v[i].attempt[t], false); \
       if /* the list shows the own lease gone, too */ \
       :: !lease_valid[d[i].lease] -> forget_lease(i) \
       :: else \
       fi } \
  :: d_step { faults > 0 && READY(i) && v[i].state[t] == started && \
              run_attempt[t] == v[i].attempt[t] && \
              run_lease[t] == d[i].lease -> /* eviction by a stop */ \
       faults--; stop_task(t); d[i].sent_lease[t] = 0 }

proctype member(byte i) {
  do
  :: d_step { v[i].behind || (F_OWNER(i) && !OWNER(i)) -> read(i) }
  /* Claim a shard without an owner or of an owner that restarted, or of one
   * that is suspected without cause. */
  :: d_step { d[i].record == no_record && !OWNER(i) && !F_OWNER(i) &&
              !f_current ->
       append(i, owner_claimed, f_epoch + 1, 0, 0, false) }
  :: d_step { faults > 0 && d[i].record == no_record && f_owner == 1 - i &&
              !OWNER(i) ->
       faults--; append(i, owner_claimed, f_epoch + 1, 0, 0, false) }
  /* Handover: own lease, adopt, delete the old lease, list again. The lease may
   * be granted after a pause, so the view is read again after it. */
  :: d_step { OWNER(i) && d[i].lease == 0 && next_lease < NEXT_LEASE ->
       d[i].lease = next_lease; lease_valid[next_lease] = true; next_lease++;
       v[i].behind = true }
  :: d_step { OWNER(i) && MAY_TAKE_OVER(i) && d[i].lease > 0 && !d[i].adopted &&
              lease_valid[d[i].lease] ->
       if
       :: run_attempt[0] > 0 -> run_lease[0] = d[i].lease
       :: else
       fi;
       if
       :: run_attempt[1] > 0 -> run_lease[1] = d[i].lease
       :: else
       fi;
       d[i].adopted = true }
  :: d_step { OWNER(i) && MAY_TAKE_OVER(i) && d[i].adopted && !d[i].deleted &&
              lease_valid[d[i].lease] ->
#ifndef NO_LEASE_DELETION
       delete_other_leases(i);
#endif
       d[i].deleted = true }
  :: d_step { OWNER(i) && FRESH(i) && d[i].deleted && !d[i].listed &&
              lease_valid[d[i].lease] ->
       d[i].listed = true }
  /* The own lease has expired: take a new one. */
  :: d_step { d[i].lease > 0 && !lease_valid[d[i].lease] -> forget_lease(i) }
  TASK_STEPS(i, 0)
  TASK_STEPS(i, 1)
  :: d_step { faults > 0 && OWNER(i) && !v[i].behind &&
              d[i].record == no_record ->
       faults--; append(i, owner_released, v[i].epoch, 0, 0, false) }
  /* A restart changes nothing for a daemon that holds nothing. */
  :: d_step { faults > 0 && (OWNER(i) || F_OWNER(i)) ->
       faults--; restart(i) }
  od
}

/* The network: appends and starts arrive late or never. */
proctype network(byte i) {
  do
  :: d_step { d[i].record != no_record -> apply(i) }
  :: d_step { faults > 0 && d[i].record != no_record ->
       faults--; forget_record(i) }
  :: d_step { d[i].start_attempt > 0 -> accept_start(i) }
  od
}

proctype worker() {
  do
  :: d_step { run_attempt[0] > 0 ->
       finished_attempt[0] = run_attempt[0]; stop_task(0) }
  :: d_step { run_attempt[1] > 0 ->
       finished_attempt[1] = run_attempt[1]; stop_task(1) }
  :: d_step { faults > 0 && lease_valid[d[0].lease] ->
       faults--; lease_valid[d[0].lease] = false; stop_unleased() }
  :: d_step { faults > 0 && lease_valid[d[1].lease] ->
       faults--; lease_valid[d[1].lease] = false; stop_unleased() }
  od
}

init {
  atomic {
    f_state[0] = pending; f_state[1] = SECOND;
    v[0].state[0] = pending; v[0].state[1] = pending;
    v[1].state[0] = pending; v[1].state[1] = pending;
    d[0].record = no_record; d[1].record = no_record;
    v[0].owner = true; v[0].epoch = 1;
    run member(0); run member(1); run network(0); run network(1);
    run worker()
  }
}

/* Runnable work eventually runs to its end, under weak fairness. */
ltl completes { <> (f_state[0] == finished && f_state[1] == finished) }
