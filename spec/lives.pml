/* One task on workers whose processes crash and start again under their ids
 * (docs/incidents/2026-12-07-order-to-a-later-process.md).
 *
 * A call carries a token and a lease. It is answered at once, or stays in
 * transit for up to LATE ticks, in which the process that the worker then has
 * may execute it, once, without an answer. The process that it was meant for
 * grants the rest of the lease GIVEN; another one grants LONGEST from the
 * execution on. A process that has just started has seen no token.
 *
 * The leader counts the ticks until no lease is valid (`given`), and until none
 * is valid on a later process that gets the calls (`later`). `given` counts for
 * a run that was listed in a report and whose starts were all answered, the
 * later of both for any other once a later process is expected.
 *
 * A leader may be followed by another one (CHANGES). The store tells the new one
 * the run, the process that it was meant for, and whether it is settled: that
 * process has listed it, and all of its starts were answered. The new leader
 * waits for a later process unless the run is settled, and counts `given` and
 * `later` from its takeover, or on from where its predecessor was if that had
 * listed the worker as lost: such a worker gets no calls.
 *
 * Assumed; without each of the first two there is a counterexample (see
 * lives.runs), so that the rules alone do not exclude these cases:
 * - ANY_RESTART: a process that the leader has reached under a raised token, or
 *   from whose report it has taken that a run is over, does not crash while
 *   calls sent before are in transit: its successor has seen no token. The same
 *   for a worker on which the leader has given a run up.
 * - LATE_LISTING: a later process is listed before the leader gives a run up.
 * - Clocks run at the same rate; a call is answered, or known to be unanswered,
 *   within a tick; start times of processes rise; requests under a raised token
 *   take effect at once or not at all.
 *
 * Left out: clocks, so that the first answer of another process always counts
 * as a lease of LONGEST, as does the first answer to a new leader; stops as calls of their own, paces, failed ends, gangs,
 * capacity and the store. Only worker 0 crashes and loses contact. Nothing is
 * requested once the task is done. A start in transit when an earlier run turns
 * out to be done may still begin: for that only the leader's decision is checked.
 */
#ifndef RUNS
#define RUNS 2
#endif
#ifndef PROCESSES
#define PROCESSES 2         /* of worker 0; worker 1 has one */
#endif
#ifndef REPEATS
#define REPEATS 0           /* times that a start may be sent again */
#endif
#ifndef CHANGES
#define CHANGES 0           /* of the leader */
#endif
#define TOKENS (PROCESSES + 1 + CHANGES)
#define WORKERS 2
#ifndef CALLS
#define CALLS 2
#endif
#define GIVEN 1
#define LONGEST 2
#define LATE 1

/* Workers; all but the process is lost in a crash. */
byte process[WORKERS] = 1;
byte fence[WORKERS] = 1;    /* highest token seen */
byte running[WORKERS];      /* number of the run, 0 if none */
byte last_run[WORKERS];     /* runs up to this number are refused */
byte done_run[WORKERS];     /* run that ended as done, until it is reported */
byte lease[WORKERS];        /* ticks left */

/* Calls in transit. */
typedef call {
  bool sent;
  bool is_void;             /* the leader counts on no effect of it */
  byte worker, number;      /* number of the run to start; 0: a lease only */
  byte meant_for, token, age;
}
call calls[CALLS];

/* The leader: what it knows of the workers. */
byte known[WORKERS] = 1;    /* process that answered last */
byte listed[WORKERS] = 1;   /* process in the list of workers */
byte token[WORKERS] = 1;
bool verified[WORKERS] = true;
bool expected[WORKERS];     /* a later process is */
byte given[WORKERS], later[WORKERS];
/* The leader: the task's last run. */
byte number, place, attempts;
bool alive, answered, is_listed, all_answered, done;
bool told_done;             /* a report has listed an end as done */
#if CHANGES > 0
byte changes;
byte meant;                 /* process that the last run was meant for */
bool listed_by_meant;       /* that process has listed the run */
bool settled;               /* as the store tells a new leader */
bool is_new;                /* the leader has not heard of worker 0 */
bool is_lost;               /* worker 0 is on the list of lost workers */
#ifdef NO_LISTING_PROCESS
#define IS_SETTLED (is_listed && all_answered)
#elif defined(NO_STORED_ATTEMPT)
#define IS_SETTLED listed_by_meant
#else
#define IS_SETTLED (listed_by_meant && all_answered)
#endif
#ifdef NO_SETTLED_RUN
#define TAKEN_AS_SETTLED true
#else
#define TAKEN_AS_SETTLED settled
#endif
#define LEASE_IS_USUAL(w) (given[w] <= GIVEN)
#else
#define LEASE_IS_USUAL(w) true
#endif

#define MAX(a, b) ((a) > (b) -> (a) : (b))
#ifdef NO_LATE_CALL_WAIT
#define LATE_WAIT 0
#else
#define LATE_WAIT LATE
#endif
#ifdef NO_LATER_PROCESS_BOUND
#define COUNTS_LATER(w) false
#elif defined(NO_UNANSWERED_ATTEMPT)
#define COUNTS_LATER(w) (expected[w] && !is_listed)
#else
#define COUNTS_LATER(w) (expected[w] && !(is_listed && all_answered))
#endif
#ifdef LATE_LISTING
#define IS_LISTED(w) true
#else
#define IS_LISTED(w) (listed[w] == process[w])
#endif
#if CALLS == 3
#define HAS_ROOM !(calls[0].sent && calls[1].sent && calls[2].sent)
#define ANY_CALL if :: n = 0 :: n = 1 :: n = 2 fi
#else
#define HAS_ROOM !(calls[0].sent && calls[1].sent)
#define ANY_CALL if :: n = 0 :: n = 1 fi
#endif
#define VOID_AT(n, w) (calls[n].sent && calls[n].worker == w && calls[n].is_void)
#ifdef ANY_RESTART
#define MAY_RESTART(w) true
#else
#define MAY_RESTART(w) !(VOID_AT(0, w) || VOID_AT(1, w) || VOID_AT(CALLS - 1, w))
#endif

/* Worker w executes a call. A start whose lease is over is refused. */
inline execute(w, run_number, call_token, process_meant, call_age) {
  if
  :: call_token < fence[w] -> skip
  :: else ->
     fence[w] = call_token;
     if
     :: process_meant == process[w] && call_age >= GIVEN -> skip
     :: else ->
        if
        :: process_meant == process[w] ->
           lease[w] = MAX(lease[w], GIVEN - call_age)
        :: else -> lease[w] = MAX(lease[w], LONGEST)
        fi;
        if
        :: run_number > last_run[w] ->
           assert(running[w] == 0);
           running[w] = run_number; last_run[w] = run_number;
           assert(running[0] == 0 || running[1] == 0)
        :: else
        fi
     fi
  fi
}

/* Sends a call that stays in transit. */
inline send_unanswered(w, run_number) {
  n = 0;
  do
  :: calls[n].sent -> n++
  :: else -> break
  od;
  calls[n].sent = true; calls[n].worker = w; calls[n].number = run_number;
  calls[n].meant_for = known[w]; calls[n].token = token[w];
  given[w] = MAX(given[w], GIVEN);
  later[w] = MAX(later[w], LATE_WAIT + LONGEST);
  n = 0
}

inline send_answered(w, run_number) {
  given[w] = MAX(given[w], GIVEN);
  later[w] = MAX(later[w], LONGEST);
  execute(w, run_number, token[w], known[w], 0)
}

inline send_start(w) {
  attempts++;
  if
  :: send_answered(w, number); answered = true
  :: HAS_ROOM ->
     send_unanswered(w, number); all_answered = false
  fi
}

inline forget(n) {
  calls[n].sent = false; calls[n].is_void = false; calls[n].worker = 0;
  calls[n].number = 0; calls[n].meant_for = 0; calls[n].token = 0;
  calls[n].age = 0
}

/* The leader counts on no effect of the calls in transit to worker w. */
inline mark_void(w) {
  n = 0;
  do
  :: n < CALLS ->
     if
     :: calls[n].sent && calls[n].worker == w && process[w] < PROCESSES ->
        calls[n].is_void = true
     :: calls[n].sent && calls[n].worker == w && process[w] == PROCESSES &&
        calls[n].token < fence[w] ->
        forget(n)           /* the last process refuses it */
     :: else
     fi;
     n++
  :: else -> break
  od;
  n = 0
}

inline end_run() {
  alive = false; answered = false; is_listed = false; all_answered = false;
  attempts = 0; place = 0
#if CHANGES > 0
  ; meant = 0; listed_by_meant = false; settled = false
#endif
}

/* A report: its ends, then its runs; the confirmation of the ends follows. */
inline apply_report(w, proves_absence) {
  if
  :: done_run[w] != 0 ->
     told_done = true;
     if
     :: alive && place == w && done_run[w] == number ->
        done = true; mark_void(w); end_run()
     :: else ->
#ifndef NO_END_OF_GIVEN_UP_RUN
        done = true
#else
        skip
#endif
     fi;
     done_run[w] = 0
  :: else
  fi;
  if
  :: running[w] != 0 && alive && place == w && running[w] == number ->
     is_listed = true; answered = true
#if CHANGES > 0
     ; listed_by_meant = listed_by_meant || process[w] == meant
#endif
  :: running[w] != 0 && !(alive && place == w && running[w] == number) ->
     running[w] = 0         /* not known: stopped */
  :: running[w] == 0 && alive && place == w && (answered || proves_absence) ->
     mark_void(w); end_run()
  :: else
  fi
}

inline age_worker(w) {
  if
  :: lease[w] > 0 -> lease[w]--;
     if :: lease[w] == 0 -> running[w] = 0 :: else fi
  :: else
  fi;
  if :: given[w] > 0 -> given[w]-- :: else fi;
  if :: later[w] > 0 -> later[w]-- :: else fi
}

inline age_call(n) {
  if
  :: calls[n].sent && calls[n].age == LATE -> forget(n)
  :: calls[n].sent && calls[n].age < LATE -> calls[n].age++
  :: else
  fi
}

active proctype events() {
  byte n, w;
  end: do
  :: d_step { age_worker(0); age_worker(1);
              n = 0;
              do
              :: n < CALLS -> age_call(n); n++
              :: else -> break
              od;
              n = 0 }

  /* A call in transit is executed. */
  :: atomic {
       ANY_CALL;
       if
       :: calls[n].sent ->
          w = calls[n].worker;
          execute(w, calls[n].number, calls[n].token, calls[n].meant_for,
                  calls[n].age);
          forget(n)
       :: else
       fi; n = 0; w = 0 }

  /* Worker: the run is done; a later process starts; it is listed. */
  :: atomic { running[0] != 0 -> done_run[0] = running[0]; running[0] = 0 }
  :: atomic { running[1] != 0 -> done_run[1] = running[1]; running[1] = 0 }
  :: atomic { process[0] < PROCESSES && MAY_RESTART(0) ->
       process[0]++; fence[0] = 0; running[0] = 0; last_run[0] = 0;
       done_run[0] = 0; lease[0] = 0 }
  :: atomic { listed[0] < process[0] ->
       listed[0] = process[0];
       if
       :: listed[0] > known[0] -> expected[0] = true; verified[0] = false
       :: else
       fi }

  /* Leader: starts the task. */
  :: atomic { !alive && !done && number < RUNS ->
       if :: w = 0 :: w = 1 fi;
       if
       :: verified[w] && LEASE_IS_USUAL(w) ->
          assert(!told_done);
          number++; place = w; alive = true; all_answered = true;
#if CHANGES > 0
          meant = known[w];
#endif
          send_start(w)
       :: else
       fi; w = 0 }
  :: atomic { alive && !answered && attempts <= REPEATS && verified[place] ->
       w = place; send_start(w); w = 0 }
  /* Requests a report, with a lease; worker 1 is its known process. */
  :: atomic { !done ->
       send_answered(1, 0); apply_report(1, false) }
  :: atomic { !done && verified[0] ->
       if
       :: known[0] == process[0] -> send_answered(0, 0); apply_report(0, false)
       :: known[0] != process[0] ->
          send_answered(0, 0); expected[0] = true; verified[0] = false
       :: HAS_ROOM -> send_unanswered(0, 0); verified[0] = false
       :: verified[0] = false  /* not sent, or lost */
       fi }
  /* Requests a report under a raised token. */
  :: atomic { !done && !verified[0] && token[0] < TOKENS ->
#ifdef NO_PROCESS_TOKEN
       if :: process[0] == known[0] -> token[0]++ :: else fi;
#else
       token[0]++;
#endif
       fence[0] = token[0];
       mark_void(0);
       if
       :: process[0] != known[0] -> given[0] = LONGEST
#if CHANGES > 0
       :: process[0] == known[0] && is_new -> given[0] = LONGEST
#endif
       :: else
       fi;
#if CHANGES > 0
       is_new = false;
#endif
       known[0] = process[0]; expected[0] = false; verified[0] = true;
       apply_report(0, true) }
#if CHANGES > 0
  /* Stores that a run is settled. */
  :: atomic { alive && IS_SETTLED && !settled -> settled = true }
  /* Another leader follows. */
  :: atomic { changes < CHANGES && !done ->
       changes++;
       is_new = true; is_lost = !verified[0]; verified[0] = false; token[1]++;
       given[1] = GIVEN; later[1] = LATE_WAIT + LONGEST;
       if
       :: is_lost ->
#ifdef NO_LATER_BOUND_IN_LIST
          later[0] = given[0]
#else
          skip
#endif
       :: given[0] = GIVEN; later[0] = LATE_WAIT + LONGEST
       fi;
       is_lost = false;
       expected[0] = false;
       if
       :: alive ->
          is_listed = TAKEN_AS_SETTLED; all_answered = TAKEN_AS_SETTLED;
          listed_by_meant = settled; answered = true; attempts = REPEATS + 1;
          if
          :: place == 0 -> known[0] = meant; expected[0] = (listed[0] > meant)
          :: else
          fi
       :: else
       fi }
#endif
  /* Gives a run up. */
  :: atomic { alive && given[place] == 0 && IS_LISTED(place) &&
              (!COUNTS_LATER(place) || later[place] == 0) ->
       w = place; mark_void(w); w = 0; end_run() }
  od
}
