/* lostplay.h - plays of answers without framing at one entry, whose server is a process that is
 * lost, gives them up, or is slow to answer status checks. */
#ifndef LOSTPLAY_H
#define LOSTPLAY_H

#include "fleet.h"
#include "lostserver.h"

#define LOSTPLAY_STREAMS       40
#define LOSTPLAY_STREAMS_MANY  200 /* more than a loop takes reports of in one iteration */
#define LOSTPLAY_CONNS_SIBLING 28  /* of a process with a sibling: for some streams and checks */
#define LOSTPLAY_STREAM_ROUTES 3
#define LOSTPLAY_ROUTES        5

typedef enum
{
  FAULT_NONE,
  FAULT_SHUT,    /* the process is killed, and its address stays shut */
  FAULT_SWAP,    /* it is killed, and another lifetime listens at its address at once */
  FAULT_HUNG,    /* the same, and that one accepts connections and says nothing */
  FAULT_SIBLING, /* one of two processes that share a listener is killed */
  FAULT_GIVE_UP, /* the process ends the answers as its mode says, and lives on */
  FAULT_TERM,    /* the entry is told to stop */
  FAULT_RELOAD,  /* the entry is told to read its settings again */
  FAULT_AT_CHECK /* as FAULT_GIVE_UP, while the entry stands still, just before a check of the
                    process */
} Fault;

typedef struct
{
  const char *path;
  Fault fault;
  LostServerMode mode;
  unsigned reset_after_ms;
  size_t memory;
  unsigned streams;      /* 0: LOSTPLAY_STREAMS */
  unsigned slots;        /* of the server; 0: twice the streams */
  unsigned budget;       /* slack of the retry budget of all entries; 0: BUDGET_SLACK */
  bool held;             /* the address of the server listens without a pause, whoever has it */
  bool unchecked;        /* the service has no status check */
  LostServerCheck check; /* what the servers do with status checks, */
  unsigned check_ms;     /* for how long, 0: always, */
  unsigned delay_ms;     /* and how long they take to answer */
  bool relayed;          /* the entry is cut off and sends through another one */
} Case;

typedef struct
{
  Fleet *fleet;
  unsigned count;
  uint64_t relayed, repeated; /* requests before the play */
  Answer answers[LOSTPLAY_STREAMS_MANY];
  LostServerConf conf;
  pid_t pids[2], successor[2];
} Play;

/* What the callers of a play saw. */
typedef struct
{
  unsigned count, parts; /* parts: callers that got an event */
  unsigned whole, broken, early, refused;
  unsigned repeated; /* resumed after a part, or sent again */
  unsigned checks;   /* status checks that the entry has sent */
} Result;

/* Starts a deployment and the server. */
void lostplay_start (Play *play, const Case *on);
void lostplay_end (Play *play);
void lostplay_send_all (Play *play, const char *path);
bool lostplay_all_done (void *data);
Result lostplay_results (const Play *play);
/* A whole play, with the fault once all answers have begun. */
Result lostplay_run (const Case *on);
/* Adds a test for each of the first routes of: a stream that cannot be resumed, one that can, the
 * same with two attempts, a request that may run once only, and one that may be repeated. */
void lostplay_add_cases (const char *name, const Case *on, unsigned routes, GTestDataFunc run);
void lostplay_add_case (const char *name, const char *route, const char *target, const Case *on,
                        GTestDataFunc run);
/* Plays it, and fails if an answer ends as complete too soon or the fault took no effect on one. */
Result lostplay_none_early (const Case *on);
/* Tests. */
void lostplay_none_ends_early (gconstpointer data);
void lostplay_all_are_whole (gconstpointer data);

#define LOSTPLAY_ADD(name, routes, run, ...)                                                       \
  lostplay_add_cases (name, &(Case){ __VA_ARGS__ }, routes, run)

#endif
