/* lifetime.h - finds out whether the run of a backend server that ended a connection goes on. */
#ifndef LIFETIME_H
#define LIFETIME_H

#include "adapter.h"
#include "egress.h"
#include "hcli.h"
#include "servers.h"

typedef struct Lifetimes Lifetimes;

typedef enum
{
  LIFETIME_GOES_ON,
  LIFETIME_ENDED
} LifetimeState;

/* Waits for the result of a check; embedded in a struct of its owner. evidence: for logs. */
typedef struct LifetimeWait LifetimeWait;
struct LifetimeWait
{
  struct cds_list_head link; /* empty while it does not wait */
  void (*decided) (LifetimeWait *wait, LifetimeState state, const char *evidence);
  uint64_t turn; /* private */
  int64_t asked_at;
};

/* The run of a server that is asked about. */
typedef struct
{
  const char *server; /* its id */
  const char *name;   /* by which the server is addressed */
  SockAddr addr;
  const char *check_path; /* of its status check; NULL: it has none */
} LifetimeTarget;

Lifetimes *lifetimes_new (Loop *loop, HCli *cli, Egress *egress, const AdapterOps *adapter_ops,
                          const Servers *servers);
void lifetimes_free (Lifetimes *lifetimes);
/* Asks whether that run still exists now. Without a status check the platform's list decides. wait
 * is told once that is known, which may be never; its owner removes it from its list to give up. */
void lifetimes_ask (Lifetimes *lifetimes, const LifetimeTarget *target, LifetimeWait *wait);
/* The server has run a request for that run alone, which was sent to it at this time. */
void lifetimes_note_answer (Lifetimes *lifetimes, const char *server, int64_t sent_at);

#endif
