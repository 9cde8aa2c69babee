/* node.h - private interface between the modules of a node.
 *
 *   node.c  dispatch of messages, proof of freshness, list of servers
 *   prop.c  proposals to the replicated log
 *   find.c  queries to other instances
 *   ent.c   requests that this instance owns as their entry
 *   hold.c  schedulers of the pools whose lease this instance holds
 *   lead.c  duties of the leader of the voters
 *   susp.c  contents during which backend servers crashed
 */
#ifndef NODE_H
#define NODE_H

#include "quarantine.h"
#include "raft.h"

/* Intervals and timeouts. */
#define HELLO_INTERVAL (500 * FT_MS) /* short enough that one lost hello does not end freshness */
#define HELLO_TIMEOUT  (700 * FT_MS) /* without an answer for this long the next voter is asked */
/* A scheduler stops when its last proof of the lease is older than this. */
#define LEASE_PROOF_MAX_AGE (2000 * FT_MS)
/* The leader moves a lease when its holder has sent no hello for this long: LEASE_PROOF_MAX_AGE
 * plus 1 % for the difference in clock rates, one tick and a margin. */
#define LEASE_TAKEOVER_DELAY (2600 * FT_MS)
/* An instance takes no new requests when its last proof of freshness is older than this. */
#define FRESH_PROOF_MAX_AGE (3000 * FT_MS)
/* An instance that has sent no hello for this long takes no requests any more:
 * FRESH_PROOF_MAX_AGE with the same margins. */
#define INSTANCE_TIMEOUT (3600 * FT_MS)
/* Greatest age of the leader's list of live instances. */
#define LIVE_REFRESH_INTERVAL (100 * FT_MS)
#define REPORT_TIMEOUT        (600 * FT_MS) /* a new scheduler waits this long for entries' reports */
#define NODE_RESEND_INTERVAL  (400 * FT_MS) /* of proposals and queries without an answer */
#define PROPOSAL_TIMEOUT      (8 * FT_SECOND)
#define QUERY_TIMEOUT         (1500 * FT_MS)
#define REFUSALS_INTERVAL     FT_SECOND /* between proposals that record refusals */
#define REFUSALS_BATCH_MAX    512       /* records in one such proposal */

typedef struct
{
  char *pool, *name;
  uint64_t incarnation;
  FtServerState state;
} NodeServer;

typedef struct EntTable EntTable;
typedef struct HoldTable HoldTable;
typedef struct Leader Leader;

struct FtNode
{
  FtNodeConf conf;
  GArray *instances, *voters; /* ids, uint32_t */
  FtClock *clock;
  FtRandom *random;
  const FtNodeOps *ops;
  void *host;
  State *state; /* state, raft and lead: NULL unless this instance is a voter */
  Raft *raft;
  EntTable *ent;
  HoldTable *hold;
  Leader *lead;
  FtCat *cat;
  uint64_t lease_epoch;          /* newest known */
  GHashTable *servers;           /* "pool/name" -> NodeServer */
  GHashTable *peer_incarnations; /* id -> uint64_t * */
  GArray *live; /* ids of live instances, uint32_t, from the leader's last answer */
  uint64_t live_version;
  uint32_t assumed_leader; /* voter that receives hellos, proposals and queries */
  uint64_t hello_number;
  int64_t hello_sent_at[16];          /* by hello number, modulo the length */
  int64_t next_hello_at, answered_at; /* answered_at: when a voter last answered */
  int64_t fresh_at;                   /* when the newest hello that was answered was sent */
  bool leaving;
  uint64_t next_number;
  GHashTable *proposals; /* number -> Proposal */
  GHashTable *queries;   /* number -> Query */
  Quarantine *quar;
  uint64_t blame_index; /* log index of the voters' crash table that quar has */
  GArray *refusals;     /* MsgRefusalRecord not yet proposed */
  int64_t refusals_due_at;
};

/* node.c */
void node_send (FtNode *node, uint32_t to, const Msg *msg);
bool node_lease_valid (FtNode *node, int64_t now);
NodeServer *node_find_server (FtNode *node, const char *pool, const char *name);
void node_apply_leases (FtNode *node, const MsgLease *leases, unsigned count);
void node_apply_catalogue (FtNode *node, const char *text, uint64_t revision);

/* prop.c */
void prop_on_verdict (FtNode *node, uint32_t from, const MsgVerdict *verdict);
/* Proposes an operation and returns the proposal's number. With silent, ops->verdict is not called
 * when it ends. */
uint64_t prop_submit (FtNode *node, const MsgOp *op, bool silent);
void prop_tick (FtNode *node, int64_t now);
void prop_submit_refusals (FtNode *node, int64_t now);
void prop_free (void *proposal);

/* find.c */
void find_on_query (FtNode *node, uint32_t from, const MsgQuery *query);
void find_on_reply (FtNode *node, const MsgQueryReply *reply);
void find_tick (FtNode *node, int64_t now);
void find_free (void *query);

/* ent.c */
EntTable *ent_new (FtNode *node);
void ent_free (EntTable *ent);
unsigned ent_count (const EntTable *ent);
/* Records that the instance holder schedules the pool. Returns false, and changes nothing, if the
 * epoch is older than the known one. */
bool ent_set_holder (EntTable *ent, const char *pool, uint32_t holder, uint64_t epoch);
/* Sends a MSG_ASK for each request that this instance owns in the pool, then MSG_REPORT_END. */
void ent_report_requests (EntTable *ent, const char *pool, uint32_t to, uint64_t epoch);
void ent_on_grant (EntTable *ent, uint32_t from, const MsgGrant *grant);
void ent_on_refusal (EntTable *ent, uint32_t from, const MsgRefuse *refuse);
void ent_on_pause (EntTable *ent, uint32_t from, const MsgGrant *stream, bool paused);
/* Messages to or from the peer were lost: sends it again all requests in the pools it schedules. */
void ent_peer_reset (EntTable *ent, uint32_t peer);
void ent_tick (EntTable *ent, int64_t now);
void ent_on_catalogue (EntTable *ent);

/* hold.c */
HoldTable *hold_new (FtNode *node);
void hold_free (HoldTable *hold);
unsigned hold_count (const HoldTable *hold);
FtPool *hold_get_pool (HoldTable *hold, const char *pool);
/* Starts the scheduler of a pool whose lease this instance now holds. */
void hold_start_pool (HoldTable *hold, const char *pool, uint64_t epoch);
void hold_stop_pool (HoldTable *hold, const char *pool);
void hold_on_ask (HoldTable *hold, uint32_t from, const MsgAsk *ask);
void hold_on_report_end (HoldTable *hold, uint32_t from, const MsgReportEnd *end);
void hold_on_progress (HoldTable *hold, uint32_t from, const MsgProgress *progress);
void hold_on_done (HoldTable *hold, uint32_t from, const MsgDone *done);
/* Drops all requests of an entry that is dead or was reset. */
void hold_remove_entry (HoldTable *hold, uint32_t entry);
/* Asks an entry that is live again to report its requests in each scheduled pool. */
void hold_request_report (HoldTable *hold, uint32_t entry);
void hold_update_server (HoldTable *hold, const NodeServer *server);
void hold_on_catalogue (HoldTable *hold);
void hold_tick (HoldTable *hold, int64_t now);

/* susp.c */
/* Applies the voters' crash table. */
void susp_update_table (FtNode *node, const MsgCrashTable *table);
/* The server crashed while it ran a request of this instance that has these keys. */
void susp_propose_crash (FtNode *node, const char *pool, const char *server, const uint64_t *keys,
                         unsigned count, int64_t wall_ms);
/* A request with these keys was answered: a content completely, a part by its first token. */
void susp_on_answer (FtNode *node, const uint64_t *keys, unsigned count);
uint64_t susp_propose_clear (FtNode *node, const uint64_t *contents, unsigned count, bool silent);

/* lead.c */
Leader *lead_new (FtNode *node);
void lead_free (Leader *lead);
void lead_on_hello (Leader *lead, uint32_t from, const MsgHello *hello);
void lead_on_proposal (Leader *lead, uint32_t from, const MsgPropose *propose);
void lead_on_applied (Leader *lead, uint64_t index, const StateResult *verdict);
void lead_on_query (Leader *lead, uint32_t from, const MsgQuery *query);
void lead_tick (Leader *lead, int64_t now);

#endif
