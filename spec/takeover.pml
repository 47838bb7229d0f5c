/* One task under leaders that follow each other (docs/notes/platform.md).
 *
 * Leader number e has epoch e. It claims the lease once that of leader e - 1 is
 * over, registers its epoch with the store, loads what is stored, and starts
 * the task whenever it knows that no run of it exists. Every start is stored
 * before its order is sent. An earlier leader may be paused at any point and go
 * on later. Orders are repeated, late and lost; a worker may be unreachable
 * for a leader and run on.
 *
 * Assumed: a leader's lease ends before another daemon claims it, and a
 * worker's clock runs within the bound that the wait for its lease allows.
 */
#ifndef LEADERS
#define LEADERS 3
#endif
#ifndef RUNS
#define RUNS 3
#endif
#define WORKERS 2
#define ORDERS 3

/* The store. */
byte claimed;               /* epoch of the last claim of the lease */
byte registered;            /* highest epoch registered as producer */
byte stored_run;            /* number of the last stored start, 0 if none */
byte stored_worker;
bool stored_alive;          /* the last run has no stored end */
bool stored_done;

/* Appends of starts in transit, by the leader's epoch. */
mtype = { none, sent, accepted, refused };
mtype appends[LEADERS + 1] = none;
byte appended_worker[LEADERS + 1], appended_number[LEADERS + 1];

/* Workers. */
byte fence[WORKERS];        /* highest fencing token seen */
byte running[WORKERS];      /* number of the run, 0 if none */
byte last_ended[WORKERS];   /* runs up to this number are refused */
byte done_run[WORKERS];     /* run that ended successfully, 0 if none */

/* Start orders in transit; they may be carried out any number of times. */
typedef start_order {
  bool sending;
  byte worker, number, token;
  bool expired;             /* the lease that it carries is over */
}
start_order orders[ORDERS];

#ifdef NO_LEADER_LEASE
#define MAY_ACT(e) true
#else
#define MAY_ACT(e) (claimed == e)
#endif
#ifdef NO_PRODUCER_EPOCH
#define APPEND_ACCEPTED(e) true
#else
#define APPEND_ACCEPTED(e) (registered == e)
#endif
#ifdef NO_FENCING_TOKEN
#define FENCED(w, token) false
#else
#define FENCED(w, token) (token < fence[w])
#endif
#ifdef NO_ORDER_DEADLINE
#define TOO_LATE(n) false
#else
#define TOO_LATE(n) orders[n].expired
#endif
#ifdef NO_ANSWER_WAIT
#define UNANSWERED(e, r) false
#else
#define UNANSWERED_AT(n, e, r) \
  (orders[n].sending && orders[n].token == e && orders[n].number == r && \
   !orders[n].expired)
#define UNANSWERED(e, r) \
  (UNANSWERED_AT(0, e, r) || UNANSWERED_AT(1, e, r) || UNANSWERED_AT(2, e, r))
#endif

inline check() {
  assert(running[0] == 0 || running[1] == 0)
}

inline expire_orders(w) {
  if :: orders[0].worker == w -> orders[0].expired = true :: else fi;
  if :: orders[1].worker == w -> orders[1].expired = true :: else fi;
  if :: orders[2].worker == w -> orders[2].expired = true :: else fi
}

proctype leader(byte e) {
  byte number, worker, n;
  bool alive, done;
  atomic { claimed == e - 1 -> claimed = e }
  if
  :: atomic { registered < e -> registered = e }
  :: atomic { registered > e -> goto end }
  fi;
  atomic { number = stored_run; worker = stored_worker; alive = stored_alive;
           done = stored_done }
  end: do
  /* Sends the append of a start on any worker; the store may carry it out
     later. */
  :: atomic { MAY_ACT(e) && !alive && !done && appends[e] == none &&
              number < RUNS ->
       if :: worker = 0 :: worker = 1 fi;
       appended_worker[e] = worker; appended_number[e] = number + 1;
       appends[e] = sent }
  :: atomic { appends[e] == accepted ->
       number = appended_number[e]; worker = appended_worker[e];
       alive = true; appends[e] = none }
  :: atomic { appends[e] == refused -> goto superseded }
  /* Sends or repeats the order of a stored start. */
  :: atomic { MAY_ACT(e) && alive ->
       if :: n = 0 :: n = 1 :: n = 2 fi;
       if
       :: !orders[n].sending ->
          orders[n].sending = true; orders[n].worker = worker;
          orders[n].number = number; orders[n].token = e; orders[n].expired = false
       :: else
       fi; n = 0 }
  /* Asks the worker for its runs, under its own epoch. */
  :: atomic { MAY_ACT(e) && alive ->
       if
       :: FENCED(worker, e) -> goto superseded
       :: else
       fi;
#ifndef NO_FENCE_BY_REPORT
       if :: fence[worker] < e -> fence[worker] = e :: else fi;
#endif
       if
       :: running[worker] == number
       :: running[worker] != number && done_run[worker] == number ->
          if
          :: APPEND_ACCEPTED(e) ->
             alive = false; done = true;
             stored_alive = false; stored_done = true
          :: else -> goto superseded
          fi
       :: running[worker] != number && done_run[worker] != number ->
          if
          :: !UNANSWERED(e, number) -> alive = false
          :: else
          fi
       fi }
  /* The worker does not answer; its lease and those of orders end. */
  :: atomic { MAY_ACT(e) && alive ->
#ifndef NO_LEASE_WAIT
       if
       :: running[worker] != 0 ->
          last_ended[worker] = running[worker]; running[worker] = 0
       :: else
       fi;
       expire_orders(worker);
#endif
       alive = false }
  od;
  superseded: skip
}

proctype store() {
  byte e;
  end: do
  :: atomic {
       select (e : 1 .. LEADERS);
       if
       :: appends[e] == sent && APPEND_ACCEPTED(e) ->
          appends[e] = accepted;
          stored_run = appended_number[e];
          stored_worker = appended_worker[e];
          stored_alive = true;
          assert(!stored_done)
       :: appends[e] == sent && !APPEND_ACCEPTED(e) -> appends[e] = refused
       :: else
       fi; e = 0 }
  od
}

proctype worker_process(byte w) {
  byte n;
  end: do
  /* Carries out an order, which stays in transit. */
  :: atomic {
       if :: n = 0 :: n = 1 :: n = 2 fi;
       if
       :: orders[n].sending && orders[n].worker == w &&
          !FENCED(w, orders[n].token) && !TOO_LATE(n) &&
          orders[n].number > last_ended[w] && running[w] != orders[n].number ->
          running[w] = orders[n].number;
          if :: fence[w] < orders[n].token -> fence[w] = orders[n].token
             :: else fi;
          check();
          assert(!stored_done)
       :: else
       fi; n = 0 }
  /* An order is answered or lost. */
  :: atomic {
       if :: n = 0 :: n = 1 :: n = 2 fi;
       if
       :: orders[n].sending && orders[n].worker == w ->
          orders[n].sending = false; orders[n].worker = 0; orders[n].number = 0;
          orders[n].token = 0; orders[n].expired = false
       :: else
       fi; n = 0 }
  :: atomic { running[w] != 0 ->
       done_run[w] = running[w]; last_ended[w] = running[w]; running[w] = 0 }
  :: atomic { running[w] != 0 ->
       last_ended[w] = running[w]; running[w] = 0 }
  od
}

init {
  byte e;
  atomic {
    e = 1;
    do
    :: e <= LEADERS -> run leader(e); e++
    :: else -> break
    od;
    run store();
    run worker_process(0);
    run worker_process(1)
  }
}
