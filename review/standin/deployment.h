/* deployment.h - a small deployment on loopback addresses: foxtailnode processes, started as the
 * deploy file says, and stand-ins for the platform, the replicas, the operator and the requesters,
 * all on one loop. */
#ifndef DEPLOYMENT_H
#define DEPLOYMENT_H

#include "hcli.h"
#include "hsrv.h"

#include <stdio.h>
#include <sys/types.h>

#define NODES_MAX    16
#define REPLICAS_MAX 32
#define ZONES        3

typedef struct Deployment Deployment;
typedef struct Replica Replica;

/* A foxtailnode process. */
typedef struct
{
  char name[32], zone[16], ip[16], settings[256], folder[256], log[256];
  bool voter;
  bool started_before;
  pid_t pid;         /* 0: it does not run */
  unsigned own_ends; /* how often it ended without a signal of the test */
  int64_t restart_at;
} Node;

/* A replica of the model service. Each start is a new lifetime with a new id. */
struct Replica
{
  Deployment *deployment;
  char zone[16], id[32], version[8]; /* version: of its software */
  bool listed, draining;
  SockAddr addr;
  HSrv *srv;        /* NULL: it is down */
  GPtrArray *calls; /* Run: running, then waiting, in order of arrival */
  unsigned lifetimes;
  int64_t up_at; /* when it starts again; 0: not planned */
};

typedef struct
{
  unsigned entries, voters, replicas, slots;
  unsigned losses;                       /* FaultTolerance; 0: 1 */
  unsigned prefill_ms, events, event_ms; /* of a run: until its first event, and its events */
  unsigned long_events;                  /* of a run on the route /long/ */
  unsigned later;                        /* of the replicas, started by deployment_start_replica */
  bool moves_versions;                   /* versions are moved by order, with bounds of exposure */
  bool (*fails) (
      Replica *replica); /* whether the replica answers a request with 500; NULL: never */
  void (*arrived) (Replica *replica, const char *id); /* a request has arrived; may be NULL */
} DeploymentConf;

struct Deployment
{
  DeploymentConf conf;
  Loop *loop;
  HCli *cli;
  char base[256]; /* temporary folder */
  uint32_t net;   /* first address of the deployment's own /24 of the loopback range */
  FILE *record;
  int64_t started; /* of the loop's clock */
  Node nodes[NODES_MAX];
  unsigned node_count;
  Replica replicas[REPLICAS_MAX];
  HSrv *list;
  LoopTimer tick;
  GHashTable *runs; /* request id: how often a replica began it */
  bool ending;
};

/* An answer to the operator or a requester. */
typedef struct
{
  bool done;
  unsigned status; /* 0: no complete answer */
  GString *body;
  char location[128];
  bool signed_by_replica;
  HXfer *xfer;
} Reply;

/* Exits with 2 if the deployment cannot be set up. record: path of the record. */
Deployment *deployment_new (const DeploymentConf *conf, const char *record);
/* Ends all processes and removes the temporary folder. */
void deployment_free (Deployment *deployment);
void deployment_note (Deployment *deployment, const char *format, ...) G_GNUC_PRINTF (2, 3);
void deployment_run_for (Deployment *deployment, unsigned ms);
/* Starts all processes, lets the operator send the first desired state, version 1, and waits until
 * every entry says that it is ready. */
void deployment_start (Deployment *deployment);

/* The operator: sends a desired state until it is acknowledged, or for at most limit_ms. True: it
 * was acknowledged. */
bool deployment_put (Deployment *deployment, unsigned version, unsigned limit_ms);
/* The operator: reads the desired state back, from one node after another, for at most limit_ms.
 * Returns its version; 0: it did not come. */
unsigned deployment_read_back (Deployment *deployment, unsigned limit_ms);

/* The replica's process ends: what it runs is cut off, its port refuses connections, and down_ms
 * later it starts again. */
void deployment_crash (Deployment *deployment, Replica *replica, unsigned down_ms);

/* Starts a replica of this version; it is listed from then on. */
void deployment_start_replica (Deployment *deployment, Replica *replica, const char *version);
/* The platform stops the replica at once, for good. */
void deployment_stop_replica (Deployment *deployment, Replica *replica);
unsigned replica_running (const Replica *replica);
/* A call of the operator, at one node after another until one answers 200, for at most limit_ms.
 * Release reply with reply_clear. */
void deployment_operate (Deployment *deployment, const char *method, const char *path,
                         const char *body, unsigned limit_ms, Reply *reply);
/* Kills the process; the platform starts it again down_ms later, with its disk. */
void deployment_kill (Deployment *deployment, Node *node, unsigned down_ms);
/* The voter in charge by the metrics; NULL: none is. */
Node *deployment_leader (Deployment *deployment);

/* The metrics of a process; release with reply_clear. */
void deployment_metrics (Deployment *deployment, const Node *node, Reply *reply);

/* Sends a request over a new connection; release reply with reply_clear. */
void deployment_send (Deployment *deployment, const char *ip, unsigned port, const GString *request,
                      Reply *reply);
void reply_clear (Reply *reply);
#define FRONTEND_PORT 8221

#endif
