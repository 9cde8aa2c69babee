/* lostserver.h - a backend server in a process of its own, which can be killed. It sends each
 * stream without framing, so that only the end of the connection ends it. */
#ifndef LOSTSERVER_H
#define LOSTSERVER_H

#include "sock.h"

#include <sys/types.h>

#define LOSTSERVER_EVENTS 12 /* of a whole answer */
#define LOSTSERVER_GAP_MS 60 /* between two events */
#define LOSTSERVER_HEALTH "/health"
/* Signals. */
#define LOSTSERVER_GIVE_UP   SIGUSR1 /* ends the answers that it is sending, as the mode says */
#define LOSTSERVER_RESET_ONE SIGUSR2 /* resets one of them */

typedef enum
{
  GIVE_UP_IN_ORDER,
  GIVE_UP_RESET,
  GIVE_UP_THEN_RESET /* ends its side in order, and resets the connection later */
} LostServerMode;

/* What it does with a status check. */
typedef enum
{
  CHECK_ANSWERED,
  CHECK_SILENT,
  CHECK_RESET,    /* as a server does with connections beyond its limit */
  CHECK_REJECTED, /* 503, not executed; it names nobody */
  CHECK_FAILING   /* 503, named: the server lives and is not healthy */
} LostServerCheck;

typedef struct
{
  SockAddr addr;
  const char *id; /* of this lifetime */
  LostServerMode mode;
  unsigned reset_after_ms; /* GIVE_UP_THEN_RESET */
  unsigned processes;      /* that serve the same listener */
  int listener; /* a socket that listens at addr and outlives the processes; 0: they open one */
  unsigned conns_max; /* of each process, which accepts no more; 0: no bound */
  size_t memory;      /* bytes that each process holds, which take time to be freed */
  LostServerCheck check;
  unsigned check_ms;        /* from the first one; later ones are answered. 0: all are treated so */
  bool listens_only;        /* accepts connections and never answers */
  unsigned answer_delay_ms; /* before the head of a status check's answer */
} LostServerConf;

/* Starts the processes and stores their ids; they end with the calling process. They listen once
 * the address is free. */
void lostserver_start (const LostServerConf *conf, pid_t *pids);
/* A socket that listens at the address, once that is free; the caller closes it. */
int lostserver_listen (SockAddr addr);
/* The body of a whole answer; g_free. */
char *lostserver_whole_answer (void);
/* Ends one of them by SIGKILL, and waits for it. */
void lostserver_kill (pid_t pid);

#endif
