/* node.h - what the parts of a node share: node.c, prop.c, find.c, ent.c, hold.c, lead.c and
 * susp.c; private to them.
 *
 *   node.c  messages in and out, freshness, servers
 *   prop.c  proposals to the replicated log
 *   find.c  questions to other instances
 *   ent.c   requests that this instance owns
 *   hold.c  pools whose lease it holds
 *   lead.c  duties of the voter in charge
 *   susp.c  contents that end servers
 */
#ifndef NODE_H
#define NODE_H

#include "quarantine.h"
#include "raft.h"

/* Tuning; each row with its reason. */
#define HELLO_EVERY (500 * FT_MS)  /* two a second: a lost one costs no freshness */
#define HELLO_LOST  (700 * FT_MS)  /* no answer by then: ask the next voter */
#define HOLD_LIMIT  (2000 * FT_MS) /* a holder stops this long after its last proof */
#define TAKEOVER    (2600 * FT_MS) /* HOLD_LIMIT, 1 % clock-rate error and a tick, with room */
#define FRESH_LIMIT (3000 * FT_MS) /* no new requests this long after the last proof */
#define OUT_AFTER                                                                                  \
  (3600 * FT_MS)                    /* an instance not heard for this long takes none: FRESH_LIMIT \
                                       with the same margins */
#define LIVE_EVERY    (100 * FT_MS) /* how old the leader's view of who lives may be */
#define TELL_WAIT     (600 * FT_MS) /* the longest wait for entries that may be dead */
#define PROPOSE_EVERY (400 * FT_MS)
#define PROPOSE_MOST  (8 * FT_SECOND)
#define FIND_MOST     (1500 * FT_MS)
#define RECORDS_EVERY FT_SECOND
#define RECORDS_MOST  512

typedef struct
{
  char *pool, *name;
  uint64_t incarnation;
  FtServerState state;
} NodeServer;

typedef struct Ent Ent;
typedef struct Hold Hold;
typedef struct Lead Lead;

struct FtNode
{
  FtNodeConf conf;
  GArray *instances, *voters; /* uint32_t */
  FtClock *clock;
  FtRandom *random;
  const FtNodeOps *ops;
  void *host;
  State *state; /* voters only */
  Raft *raft;
  Ent *ent;
  Hold *hold;
  Lead *lead;
  FtCat *cat;
  uint64_t lease_epoch;          /* newest known */
  GHashTable *servers;           /* "pool/name" -> NodeServer */
  GHashTable *peer_incarnations; /* id -> uint64_t * */
  GArray *live;                  /* uint32_t, as the leader last said */
  uint64_t live_version;
  uint32_t guess; /* voter that is asked */
  uint64_t hello_number;
  int64_t hello_sent[16];
  int64_t hello_at, heard_at, fresh_at; /* fresh_at: when the answered hello was sent */
  bool leaving;
  uint64_t next_number;
  GHashTable *proposals; /* number -> Proposal */
  GHashTable *finds;     /* number -> Find */
  Quarantine *quar;
  uint64_t blame_index; /* of the voters' account in quar */
  GArray *records;      /* MsgRecord not yet proposed */
  int64_t records_at;
};

/* node.c */
void node_send (FtNode *node, uint32_t to, const Msg *msg);
bool node_lease_valid (FtNode *node, int64_t now);
NodeServer *node_server (FtNode *node, const char *pool, const char *name);
void node_leases (FtNode *node, const MsgLease *leases, unsigned count);
void node_take_catalogue (FtNode *node, const char *text, uint64_t revision);

/* prop.c */
void prop_verdict (FtNode *node, uint32_t from, const MsgVerdict *verdict);
/* silent: the shell hears no verdict. Returns the proposal's number. */
uint64_t prop_propose (FtNode *node, const MsgOp *op, bool silent);
void prop_tick (FtNode *node, int64_t now);
void prop_tick_records (FtNode *node, int64_t now);
void prop_free (void *proposal);

/* find.c */
void find_asked (FtNode *node, uint32_t from, const MsgFind *find);
void find_found (FtNode *node, const MsgFound *found);
void find_tick (FtNode *node, int64_t now);
void find_free (void *find);

/* ent.c */
Ent *ent_new (FtNode *node);
void ent_free (Ent *ent);
unsigned ent_count (const Ent *ent);
/* The scheduler of pool is now at holder; epochs only grow. Returns false for an old epoch. */
bool ent_holder (Ent *ent, const char *pool, uint32_t holder, uint64_t epoch);
/* Sends everything that this instance has in the pool, then MSG_TOLD. */
void ent_tell (Ent *ent, const char *pool, uint32_t to, uint64_t epoch);
void ent_granted (Ent *ent, uint32_t from, const MsgGrant *grant);
void ent_refused (Ent *ent, uint32_t from, const MsgRefuse *refuse);
void ent_paused (Ent *ent, uint32_t from, const MsgGrant *stream, bool paused);
/* What was under way to or from the holder is lost: it gets everything again. */
void ent_peer_reset (Ent *ent, uint32_t peer);
void ent_tick (Ent *ent, int64_t now);
void ent_catalogue (Ent *ent);

/* hold.c */
Hold *hold_new (FtNode *node);
void hold_free (Hold *hold);
unsigned hold_count (const Hold *hold);
FtPool *hold_pool (Hold *hold, const char *pool);
void hold_take (Hold *hold, const char *pool, uint64_t epoch);
void hold_drop (Hold *hold, const char *pool);
void hold_ask (Hold *hold, uint32_t from, const MsgAsk *ask);
void hold_told (Hold *hold, uint32_t from, const MsgTold *told);
void hold_progress (Hold *hold, uint32_t from, const MsgProgress *progress);
void hold_done (Hold *hold, uint32_t from, const MsgDone *done);
void hold_entry_gone (Hold *hold, uint32_t entry);
/* An entry that was thought dead is not: it is asked to tell what it has. */
void hold_entry_back (Hold *hold, uint32_t entry);
void hold_server (Hold *hold, const NodeServer *server);
void hold_catalogue (Hold *hold);
void hold_tick (Hold *hold, int64_t now);

/* susp.c */
/* The voters' account has come. */
void susp_update_table (FtNode *node, const MsgBlame *blame);
/* The server has ended while it ran the content for this instance. */
void susp_propose_crash (FtNode *node, const char *pool, const char *server, uint64_t content,
                         int64_t wall_ms);
/* The content was answered whole here. */
void susp_on_answer (FtNode *node, uint64_t content);
uint64_t susp_propose_clear (FtNode *node, const uint64_t *contents, unsigned count, bool silent);

/* lead.c */
Lead *lead_new (FtNode *node);
void lead_free (Lead *lead);
void lead_hello (Lead *lead, uint32_t from, const MsgHello *hello);
void lead_propose (Lead *lead, uint32_t from, const MsgPropose *propose);
void lead_applied (Lead *lead, uint64_t index, const StateResult *verdict);
void lead_find (Lead *lead, uint32_t from, const MsgFind *find);
void lead_tick (Lead *lead, int64_t now);

#endif
