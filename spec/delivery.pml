/*
 * Delivery of interactive requests (docs/design.md, sections 7 and 8).
 *
 * Two daemons, two backend servers, three submissions: 0 and 1 are the same
 * non-idempotent request, sent by its caller with one key through daemon 0 and
 * repeated through daemon 1; 2 is an idempotent request of another caller
 * through daemon 0. Exchanges are refused, answered, closed, cut in the middle
 * of a response or go silent, in any order; backend server 0 leaves; daemon 1
 * may lose contact; daemon 0 is stopped.
 *
 * Checked: an operation marked non-idempotent runs at most once; no operation
 * runs twice at the same time; "not run" is said only of submissions that did
 * not run; a response is whole and goes to its own caller; a leaving server
 * receives nothing once every daemon shows it as leaving or is stale; a
 * planned stop cuts no request; every submission ends.
 *
 * Not modelled: the window between the last check and the send; the log
 * behind the key claims, which is one atomic register here.
 *
 * Runs: delivery.runs, by prove.sh. Each NO_... removes one guard and must give
 * a counterexample.
 */

#define SUBMISSIONS 3
#define DAEMONS 2
#define MAX_ATTEMPTS 2

/* State of one attempt at a backend server; a silent one just stays as it is. */
mtype = { none, sent, runs_now, response, partial, closed, refused };
mtype exchange[SUBMISSIONS * MAX_ATTEMPTS] = none;

/* By operation: 0 is that of submissions 0 and 1, 1 is that of 2. */
bool has_run[2];
bool running[2];
bool ran[SUBMISSIONS];

bool key_taken;
bool leaving;            /* backend server 0 */
bool grace_over;         /* no daemon may use server 0 any more */
bool shows_leaving[DAEMONS];
bool fresh[DAEMONS] = true;
bool draining[DAEMONS];
bool exited[DAEMONS];
byte open[DAEMONS];

#define OPERATION(s) ((s) / 2)
#define DAEMON(s) ((s) % 2)
#define IDEMPOTENT(s) ((s) == 2)
#define SLOT(s, attempt) ((s) * MAX_ATTEMPTS + (attempt) - 1)
#define OF_SLOT(x) ((x) / MAX_ATTEMPTS)

/* What the backend servers do with one attempt. */
inline advance(x) {
  d_step {
    exchange[x] == sent ->
    assert(!running[OPERATION(OF_SLOT(x))]);
    assert(IDEMPOTENT(OF_SLOT(x)) || !has_run[OPERATION(OF_SLOT(x))]);
    ran[OF_SLOT(x)] = true;
    has_run[OPERATION(OF_SLOT(x))] = true;
    running[OPERATION(OF_SLOT(x))] = true;
    exchange[x] = runs_now
  }
}

inline complete(x, result) {
  d_step {
    exchange[x] == runs_now ->
    running[OPERATION(OF_SLOT(x))] = false;
    exchange[x] = result
  }
}

#define SERVE(x) \
  :: d_step { exchange[x] == sent -> exchange[x] = refused } \
  :: advance(x) \
  :: complete(x, response) \
  :: complete(x, partial) \
  :: complete(x, closed)

active proctype servers() {
end:
  do
  SERVE(0)
  SERVE(1)
  SERVE(2)
  SERVE(3)
  SERVE(4)
  SERVE(5)
  od
}

/* One submission, from its arrival at a daemon to its answer. */
proctype submission(byte s) {
  byte d = DAEMON(s);
  byte attempts = 0;
  mtype kind = none;
  byte got = s; /* whose response was taken */
  bool may_have_run = false;

  /* Accept. */
  atomic {
    if
    :: exited[d] -> goto ended /* connection refused by the stopped daemon */
    :: else
    fi;
    if
    :: draining[d] -> goto not_accepted
    :: else
    fi;
    open[d]++
  }

  /* Claim the key; the answer may be lost, with or without an effect. */
#ifndef NO_CLAIM
  if
  :: IDEMPOTENT(s)
  :: else ->
     if
     :: atomic {
          if
          :: key_taken -> goto answered_repeat
          :: else -> key_taken = true
          fi
        }
     :: atomic {
          if
          :: key_taken = true
          :: skip
          fi
        }
#ifndef NO_CLAIM_READ_BACK
        goto say_not_run
#else
        skip
#endif
     fi
  fi;
#endif

send:
  atomic {
#ifndef NO_FRESH_CHECK
    if
    :: !fresh[d] -> goto give_up
    :: else
    fi;
#endif
    if
    :: attempts == MAX_ATTEMPTS -> goto give_up
    :: else
    fi;
    if
#ifndef NO_LEAVING_CHECK
    :: !shows_leaving[d] ->
#else
    ::
#endif
       attempts++;
       assert(!grace_over);
       exchange[SLOT(s, attempts)] = sent
    :: attempts++; exchange[SLOT(s, attempts)] = sent /* at server 1 */
    :: attempts++; goto send /* connection refused: not sent */
    :: goto give_up /* no slot before the deadline */
    fi
  }

wait:
  atomic {
    if
    :: exchange[SLOT(s, attempts)] != none &&
       exchange[SLOT(s, attempts)] != sent &&
       exchange[SLOT(s, attempts)] != runs_now ->
       kind = exchange[SLOT(s, attempts)];
       exchange[SLOT(s, attempts)] = none
#ifdef NO_CONNECTION_MATCH
    :: s == 0 && exchange[SLOT(2, 1)] == response ->
       kind = response;
       got = 2
#endif
    :: /* The time limit passed, or the link was lost. */
#ifndef NO_TIMEOUT_RULE
       goto say_unknown
#else
       kind = closed
#endif
    fi;
    if
    :: kind == response -> goto deliver
    :: kind == refused -> goto send
#ifdef NO_WHOLE_CHECK
    :: kind == partial -> goto deliver
#else
    :: kind == partial
#endif
    :: kind == closed
    fi
  }
  /* Closed: may have run, and has ended. */
#ifndef NO_MAY_HAVE_RUN
  may_have_run = true;
#endif
#ifndef NO_IDEMPOTENT_CHECK
  if
  :: IDEMPOTENT(s) -> goto send
  :: else -> goto say_unknown
  fi;
#else
  goto send;
#endif

give_up:
  if
  :: may_have_run -> goto say_unknown
  :: else -> goto say_not_run
  fi;

deliver:
  assert(got == s);
  assert(kind == response);
  goto close;

say_not_run:
  assert(!ran[s]);
  goto close;

answered_repeat: /* 409; says nothing about this submission's operation */
say_unknown:
  skip;

close:
  atomic {
    assert(!exited[d]);
    open[d]--
  }
  goto ended;

not_accepted:
  assert(!ran[s]);

ended:
  skip
}

/* Backend server 0 leaves; the daemons learn of it or become stale. */
proctype leave() {
  leaving = true;
  do
  :: !shows_leaving[0] -> shows_leaving[0] = true
  :: !shows_leaving[1] && fresh[1] -> shows_leaving[1] = true
  :: fresh[1] -> fresh[1] = false
  :: atomic {
       shows_leaving[0] && (shows_leaving[1] || !fresh[1]) ->
       grace_over = true;
       break
     }
  od
}

/* A graceful stop of daemon 0; a second signal changes nothing. */
proctype stop() {
  draining[0] = true;
#ifndef NO_DRAIN_WAIT
  atomic { open[0] == 0 -> exited[0] = true }
#else
  exited[0] = true
#endif
  /* The process is gone; what is accepted now would be cut. */
end:
  (open[0] != 0) -> assert(false)
}

init {
  atomic {
    run submission(0);
    run submission(1);
    run submission(2);
    run leave();
    run stop()
  }
}
