/* A job that moves between shards (docs/design.md, section 5).
 *
 * Two shards, each with an owner that may restart, and one job of one task.
 * Move number m goes to shard m % 2, and its submission carries m. Submissions
 * and answers are repeated, late and lost; an attempt that ends without a
 * result lets the job move again. The log of a shard is durable: `state`,
 * `moves` and `confirmed` are what its fold says. `sending` is the memory of
 * its owner, which a restart rebuilds from the fold.
 *
 * A shard forgets a job that has ended or left for good, since a fold keeps a
 * bounded number of them. Assumed: not while a submission is in transit (10 s
 * at most) or an owner still repeats one (every 2 s), as 4,096 jobs have to end
 * first.
 */
#ifndef MOVES
#define MOVES 5
#endif
#ifndef RESTARTS
#define RESTARTS 2
#endif

mtype = { unknown, live, running, away, ended };

mtype state[2];
byte moves[2];
bool confirmed[2], sending[2];
bool submission[MOVES + 1], answer[MOVES + 1]; /* in transit, by move */
byte restarts, runs_finished;

#define OTHER(i) (1 - i)
#define IN_TRANSIT \
  (submission[1] || submission[2] || submission[3] || submission[4] || \
   submission[5])

#ifdef NO_MOVE_CHECK
#define RETURNS(i, m) (state[i] == away)
#else
#define RETURNS(i, m) (state[i] == away && m > moves[i])
#endif
#ifdef NO_ANSWER_CHECK
#define ANSWERS(i, m) (state[i] == away && sending[i])
#else
#define ANSWERS(i, m) (state[i] == away && sending[i] && m == moves[i] + 1)
#endif
#ifdef NO_CONFIRMATION_RECORD
#define CONFIRMED(i) false
#else
#define CONFIRMED(i) confirmed[i]
#endif
#ifdef NO_END_PROOF
#define MAY_MOVE(i) (state[i] == live || state[i] == running)
#else
#define MAY_MOVE(i) (state[i] == live)
#endif

#define LIVE(i) (state[i] == live || state[i] == running)
#define LEAVING(i) (state[i] == away && !confirmed[i])

byte executing; /* attempts that a worker runs */

inline check() {
  assert(!(LIVE(0) && LIVE(1)));
  assert(executing <= 1);
  assert(runs_finished <= 1);
  /* The job is never lost. */
  assert(runs_finished == 1 || LIVE(0) || LIVE(1) || LEAVING(0) || LEAVING(1))
}

proctype owner(byte i) {
  byte m;
  end: do
  :: atomic { state[i] == live -> state[i] = running; executing++; check() }
  :: atomic { state[i] == running ->
       state[i] = ended; executing--; runs_finished++; check() }
  :: atomic { state[i] == running -> state[i] = live; executing-- }
  :: atomic { MAY_MOVE(i) && moves[i] < MOVES ->
       state[i] = away; confirmed[i] = false; sending[i] = true; check() }
  :: atomic { sending[i] && !submission[moves[i] + 1] ->
       submission[moves[i] + 1] = true }
  :: atomic { restarts < RESTARTS ->
       restarts++; sending[i] = (state[i] == away && !CONFIRMED(i)) }
  /* A submission arrives and is answered unless the answer is lost. */
  :: atomic { (submission[1] && i == 1) || (submission[3] && i == 1) ||
              (submission[5] && i == 1) || (submission[2] && i == 0) ||
              (submission[4] && i == 0) ->
       if
       :: submission[1] && i == 1 -> m = 1
       :: submission[2] && i == 0 -> m = 2
       :: submission[3] && i == 1 -> m = 3
       :: submission[4] && i == 0 -> m = 4
       :: submission[5] && i == 1 -> m = 5
       fi;
       submission[m] = false;
       if
       :: true /* lost */
       :: (state[i] == unknown || RETURNS(i, m)) ->
          state[i] = live; moves[i] = m; sending[i] = false;
          confirmed[i] = false;
          if
          :: answer[m] = true
          :: true
          fi
       :: state[i] != unknown && !RETURNS(i, m) ->
          /* Known already: the answer is the same. */
          if
          :: answer[m] = true
          :: true
          fi
       fi;
       m = 0; check() }
  :: atomic { answer[1] && i == 0 -> answer[1] = false;
       if :: ANSWERS(i, 1) -> confirmed[i] = true; sending[i] = false
          :: else fi; check() }
  :: atomic { answer[2] && i == 1 -> answer[2] = false;
       if :: ANSWERS(i, 2) -> confirmed[i] = true; sending[i] = false
          :: else fi; check() }
  :: atomic { answer[3] && i == 0 -> answer[3] = false;
       if :: ANSWERS(i, 3) -> confirmed[i] = true; sending[i] = false
          :: else fi; check() }
  :: atomic { answer[4] && i == 1 -> answer[4] = false;
       if :: ANSWERS(i, 4) -> confirmed[i] = true; sending[i] = false
          :: else fi; check() }
  :: atomic { answer[5] && i == 0 -> answer[5] = false;
       if :: ANSWERS(i, 5) -> confirmed[i] = true; sending[i] = false
          :: else fi; check() }
  /* Shard 1 is never a home shard, whose entry callers rely on. */
  :: atomic { i == 1 && !IN_TRANSIT && !sending[0] &&
              (state[1] == ended || (state[1] == away && confirmed[1])) ->
       state[1] = unknown; moves[1] = 0; confirmed[1] = false }
  od
}

init {
  atomic {
    state[0] = live; state[1] = unknown;
    run owner(0); run owner(1)
  }
}
