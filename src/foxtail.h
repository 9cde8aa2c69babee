/* foxtail.h - the interface and the manual of libfoxtail, the decision library.
 *
 * libfoxtail decides which request runs next, on which backend server, whether one is refused and
 * why, who is in charge and which catalogue is in force. It does no I/O, starts no thread, reads no
 * clock and keeps no global state: time, randomness, storage and messages are handed in.
 *
 * Conventions, unless a function says otherwise:
 *   - times are int64_t microseconds of a monotonic clock, durations too; names that end in _ms are
 *     milliseconds;
 *   - a function that can fail returns an FtStatus: FT_OK is 0, failures are negative;
 *   - FtError out parameters may be NULL;
 *   - strings handed in are copied, strings handed out belong to the object that returned them;
 *   - an object is used by one thread at a time, but FtCat, which never changes once made and is
 *     counted with ft_cat_ref and ft_cat_unref from any thread.
 */
#ifndef FOXTAIL_H
#define FOXTAIL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <urcu/list.h>

#define FT_VERSION        "0.1.0"
#define FT_VERSION_NUMBER 0x000100

/* The version of the library in use; a program compares it with its header's FT_VERSION. */
const char *ft_version (void);

/* ---- Status codes and errors (status.c) ------------------------------------------------- */

typedef enum
{
  FT_OK = 0,
  FT_INVALID = -1,     /* an argument or a document breaks a rule */
  FT_NOT_FOUND = -2,   /* no such object */
  FT_CONFLICT = -3,    /* another change, claim or object took the place */
  FT_STALE = -4,       /* an epoch, term or revision that has ended */
  FT_IO = -5,          /* storage failed; nothing was promised */
  FT_CORRUPT = -6,     /* stored data fails its checksum */
  FT_FULL = -7,        /* a stated bound is reached */
  FT_NOT_LEADER = -8,  /* this voter is not in charge; ask the one it names */
  FT_ALREADY_DONE = -9 /* the same was done before; its result stands */
} FtStatus;

/* One English line for a status; "unknown status" for any other number. */
const char *ft_strerror (int status);

typedef struct
{
  FtStatus status;
  unsigned line;  /* 1 is the first; 0 when no line applies */
  char field[96]; /* path of the field, "" when none applies */
  char text[256]; /* what is wrong and what is allowed */
} FtError;

/* Fills *error when it is not NULL. Returns status, so that a check can end with it. */
FtStatus ft_error_set (FtError *error, FtStatus status, unsigned line, const char *field,
                       const char *format, ...) G_GNUC_PRINTF (5, 6);

/* ---- Clock (status.c) ------------------------------------------------------------------ */

typedef struct FtClock FtClock;
typedef struct
{
  int64_t (*now) (FtClock *clock); /* monotonic microseconds */
} FtClockOps;
struct FtClock
{
  const FtClockOps *ops;
};

static inline int64_t
ft_clock_now (FtClock *clock)
{
  return clock->ops->now (clock);
}

#define FT_MS     G_GINT64_CONSTANT (1000)
#define FT_SECOND G_GINT64_CONSTANT (1000000)
#define FT_TIERS  5 /* tier 1 is the highest */

/* ---- Randomness and storage handed in ----------------------------------------------------- */

typedef struct FtRandom FtRandom;
typedef struct
{
  uint64_t (*next) (FtRandom *random); /* 64 random bits */
} FtRandomOps;
struct FtRandom
{
  const FtRandomOps *ops;
};

static inline uint64_t
ft_random_next (FtRandom *random)
{
  return random->ops->next (random);
}

/* A folder of files. All functions return FT_OK, FT_NOT_FOUND or FT_IO. */
typedef struct FtDisk FtDisk;
typedef struct
{
  FtStatus (*read) (FtDisk *disk, const char *name, GByteArray *out);
  FtStatus (*append) (FtDisk *disk, const char *name, const void *data, size_t size);
  FtStatus (*sync) (FtDisk *disk, const char *name); /* appended bytes last once it returned */
  FtStatus (*replace) (FtDisk *disk, const char *name, const void *data,
                       size_t size); /* atomic
                                        and synced */
  FtStatus (*truncate) (FtDisk *disk, const char *name, size_t size);
} FtDiskOps;
struct FtDisk
{
  const FtDiskOps *ops;
};

/* ---- Reasons of refusals (reason.c) ----------------------------------------------------- */

typedef enum
{
  FT_RAN_NO,     /* no byte of the request went to any backend server */
  FT_RAN_YES,    /* a backend server ran it */
  FT_RAN_UNKNOWN /* it was dispatched and its outcome cannot be told */
} FtRan;

typedef enum
{
  FT_REASON_NONE,
  FT_REASON_BAD_REQUEST,
  FT_REASON_NO_KEY,
  FT_REASON_NO_SUCH_POOL,
  FT_REASON_NO_SUCH_CLASS,
  FT_REASON_TOO_LARGE,
  FT_REASON_DUPLICATE_ID,
  FT_REASON_SHORTAGE,
  FT_REASON_SHED_FOR_HIGHER_TIER,
  FT_REASON_DEADLINE_TOO_SHORT,
  FT_REASON_LIMIT_CONCURRENT,
  FT_REASON_LIMIT_REQUESTS,
  FT_REASON_LIMIT_TOKENS,
  FT_REASON_QUEUE_FULL,
  FT_REASON_NO_SERVER,
  FT_REASON_NO_SCHEDULER,
  FT_REASON_STALE_CATALOGUE,
  FT_REASON_SHUTTING_DOWN,
  FT_REASON_CLAIM_RUNNING,
  FT_REASON_CLAIM_MISMATCH,
  FT_REASON_CLAIM_UNAVAILABLE,
  FT_REASON_OUTCOME_UNKNOWN,
  FT_REASON_BACKEND_FAILED,
  FT_REASON_CALLER_GONE,
  FT_REASON_NO_SUCH_REQUEST,
  FT_REASON_QUARANTINED,
  FT_REASON_COUNT
} FtReason;

typedef struct
{
  const char *code;    /* as callers read it, for example "shortage" */
  const char *message; /* one English sentence */
  int http_status;
  FtRan ran;
  bool shortage; /* true when more capacity would have avoided it */
} FtReasonInfo;

/* Never NULL; an unknown number gives the entry of FT_REASON_NONE. */
const FtReasonInfo *ft_reason_info (FtReason reason);
const char *ft_ran_name (FtRan ran);

/* ---- JSON text with comments (jsrc.c) ---------------------------------------------------- */

typedef struct FtJson FtJson;

/* Reads the file of settings at path; *text is freed with g_free. FT_IO names what failed. */
FtStatus ft_text_read (const char *path, char **text, FtError *error);
/* Parses text (JSON with // and C comments). Refuses duplicate keys. Errors name line and field.
 * *doc is freed with ft_json_free. */
FtStatus ft_json_parse (const char *text, FtJson **doc, FtError *error);
void ft_json_free (FtJson *doc);
/* The root value, a struct json_object of json-c, borrowed. */
void *ft_json_root (FtJson *doc);
/* Line of the value at a path such as "pools[0].name"; 0 when there is none. */
unsigned ft_json_line (FtJson *doc, const char *path);

typedef enum
{
  FT_FIELD_STRING,
  FT_FIELD_INTEGER,
  FT_FIELD_TRUNCATED, /* the whole part of a number that may have a fraction */
  FT_FIELD_BOOL,
  FT_FIELD_STRINGS /* an array of strings, a GPtrArray with g_free */
} FtFieldType;

typedef struct
{
  const char *name; /* key within its object */
  FtFieldType type;
  bool required;
  int64_t low, high;    /* integers: allowed range; strings: allowed length; arrays: count */
  const char *fallback; /* default as text; NULL: 0, false, "" or empty */
  size_t offset;        /* where the value goes in the record */
  const char *help;     /* unit and meaning, one line */
} FtField;

/* Reads the object at path into record after the table's rows (ended by a NULL name). Keys outside
 * the table are refused unless listed in more (NULL-ended, may be NULL). Strings become char *
 * (g_free), integers and whole parts int64_t, booleans bool. */
FtStatus ft_json_fields (FtJson *doc, void *object, const char *path, const FtField *table,
                         const char *const *more, void *record, FtError *error);
/* Frees the strings and arrays that ft_json_fields put into record. */
void ft_json_fields_clear (const FtField *table, void *record);

/* ---- Catalogue (cat.c) -------------------------------------------------------------------- */

typedef struct
{
  int64_t concurrent;          /* requests at once in one pool; 0: no limit */
  int64_t requests_per_minute; /* 0: no limit */
  int64_t tokens_per_minute;   /* 0: no limit */
  int64_t queue;               /* waiting requests; 0: no limit */
} FtLimits;

typedef struct
{
  char *name, *owner, *class_name, *key_sha256;
  int64_t weight;
  FtLimits limits;
} FtOrg;

typedef struct
{
  char *name, *owner;
  int64_t tier;           /* 1 (highest) to FT_TIERS */
  int64_t first_token_ms; /* the first token is due this long after arrival */
  int64_t deadline_ms;    /* the whole answer is due this long after arrival */
  FtLimits limits;
} FtClass;

typedef struct
{
  char *name, *owner, *class_name, *kind, *model, *version, *path, *region;
  int64_t inter_token_ms; /* target between two tokens */
  int64_t window;         /* most requests at once on one backend server */
  bool idempotent;        /* services: false marks every call as not repeatable */
  bool fencing_check;     /* do its backend servers refuse old fencing numbers */
  FtLimits limits;
} FtPoolEntry;

typedef struct FtCat FtCat;

/* Parses and checks a catalogue as a whole. revision is kept with it. The reference is the
 * caller's. */
FtStatus ft_cat_new (const char *text, uint64_t revision, FtCat **cat, FtError *error);
FtCat *ft_cat_ref (FtCat *cat);
void ft_cat_unref (FtCat *cat);
uint64_t ft_cat_revision (const FtCat *cat);
const char *ft_cat_text (const FtCat *cat);
const FtOrg *ft_cat_org (const FtCat *cat, const char *name);
/* The organisation whose key has this SHA-256 (64 lower-case hex digits); NULL when none has. The
 * comparison takes the same time for every stored key. */
const FtOrg *ft_cat_org_by_key (const FtCat *cat, const char *key_sha256);
const FtClass *ft_cat_class (const FtCat *cat, const char *name);
const FtPoolEntry *ft_cat_pool (const FtCat *cat, const char *name);
/* The model pool for a model's name, the service pool for a path's prefix; NULL when there is
 * none. */
const FtPoolEntry *ft_cat_pool_for_model (const FtCat *cat, const char *model);
const FtPoolEntry *ft_cat_pool_for_path (const FtCat *cat, const char *path);
unsigned ft_cat_org_count (const FtCat *cat);
const FtOrg *ft_cat_org_at (const FtCat *cat, unsigned index);
unsigned ft_cat_pool_count (const FtCat *cat);
const FtPoolEntry *ft_cat_pool_at (const FtCat *cat, unsigned index);
/* A line per added, removed and changed entry, for plan; g_free. */
char *ft_cat_diff (const FtCat *before, const FtCat *after);

/* ---- Pairing heap (heap.c) ------------------------------------------------------------------ */

typedef struct FtHeapNode FtHeapNode;
struct FtHeapNode
{
  FtHeapNode *child, *next, *prev; /* prev: the left sibling, or the parent of a first child */
  double key;
};
typedef struct
{
  FtHeapNode *root;
} FtHeap;

/* Intrusive: a node is part of its user's record and is in at most one heap. All amortised
 * O(log n). */
void ft_heap_push (FtHeap *heap, FtHeapNode *node, double key);
void ft_heap_remove (FtHeap *heap, FtHeapNode *node);
static inline FtHeapNode *
ft_heap_top (const FtHeap *heap)
{
  return heap->root;
}

/* ---- Prefix index (prefix.c) ----------------------------------------------------------------- */

typedef struct FtPrefix FtPrefix;

/* capacity: most blocks kept for each server; servers: most servers, numbered from 0. */
FtPrefix *ft_prefix_new (unsigned servers, unsigned capacity);
void ft_prefix_free (FtPrefix *index);
/* The server now holds the blocks (chained hashes of the prompt's leading blocks). */
void ft_prefix_add (FtPrefix *index, unsigned server, const uint64_t *blocks, unsigned count);
/* The server said that it dropped one block. */
void ft_prefix_remove (FtPrefix *index, unsigned server, uint64_t block);
/* Events of the server are missing: trust in what is known of it is halved. */
void ft_prefix_note_gap (FtPrefix *index, unsigned server);
/* The server restarted or left: nothing is known of it. */
void ft_prefix_clear (FtPrefix *index, unsigned server);
/* Expected number of leading blocks that the server holds, 0 to count. */
double ft_prefix_match (FtPrefix *index, unsigned server, const uint64_t *blocks, unsigned count);
/* Servers that hold some leading part, deepest first, at most most of them. Returns how many. */
unsigned ft_prefix_holders (FtPrefix *index, const uint64_t *blocks, unsigned count,
                            unsigned *servers, unsigned most);

/* Chained block hashes of a prompt: block i covers bytes 0 to (i + 1) * FT_BLOCK_BYTES. Returns
 * how many were written. */
#define FT_BLOCK_BYTES  256
#define FT_BLOCK_TOKENS 64 /* a token is taken as four bytes of text */
#define FT_BLOCKS_MAX   64
unsigned ft_prefix_hash (const char *prompt, size_t length, uint64_t seed, uint64_t *blocks,
                         unsigned most);

/* ---- Pool scheduler (pool.c) ------------------------------------------------------------------
 */

typedef struct FtPool FtPool;

typedef struct
{
  uint32_t entry;   /* number of the instance that owns the request */
  uint64_t request; /* its number there */
  unsigned tier;    /* 1 to FT_TIERS */
  const char *org;  /* organisation's name */
  const char *class_name;
  unsigned weight; /* the organisation's share within its tier */
  FtLimits limits; /* the organisation's limits in this pool */
  unsigned prompt_tokens;
  unsigned most_tokens;      /* the caller's own bound on the answer; 0: none */
  int64_t first_token_in_us; /* first token due this long from now */
  int64_t deadline_in_us;    /* whole answer due this long from now */
  const uint64_t *blocks;
  unsigned block_count;
} FtPoolRequest;

typedef struct
{
  uint32_t entry;
  uint64_t request;
  const char *server; /* name of the backend server */
} FtGrant;

typedef struct
{
  uint32_t entry;
  uint64_t request;
  FtReason reason;
  unsigned tier;
  int64_t retry_after_ms;
  char rule[128]; /* which limit or estimate decided, with its figures */
} FtRefusal;

/* The scheduler's decisions. Called from within the functions below; must not call back. */
typedef struct
{
  void (*grant) (void *host, const FtGrant *grant);
  void (*refuse) (void *host, const FtRefusal *refusal);
  void (*pause) (void *host, const FtGrant *stream);  /* stop the stream, keep its place */
  void (*resume) (void *host, const FtGrant *stream); /* go on at the next offset */
} FtPoolOps;

typedef struct
{
  int64_t inter_token_ms; /* target, 1 to 10000 */
  int64_t window;         /* most requests at once on one server */
  int64_t queue;          /* most waiting requests; 0: no limit */
  bool service;           /* a plain service: one unit of work a call */
} FtPoolConf;

FtPool *ft_pool_new (const FtPoolConf *conf, FtClock *clock, const FtPoolOps *ops, void *host);
void ft_pool_free (FtPool *pool);
/* New limits and targets of the catalogue; act on queued requests too. */
void ft_pool_configure (FtPool *pool, const FtPoolConf *conf);

typedef enum
{
  FT_SERVER_LIVE,
  FT_SERVER_LEAVING, /* streams go on, no new grant */
  FT_SERVER_GONE     /* nothing is expected of it any more */
} FtServerState;

/* Adds a server or changes its state. A new incarnation forgets cache and speed. */
FtStatus ft_pool_update_server (FtPool *pool, const char *name, uint64_t incarnation,
                                FtServerState state);
/* Numbers of the server's own report, age old when it was read. */
void ft_pool_report (FtPool *pool, const char *name, unsigned running, unsigned waiting,
                     int64_t age);
/* Cache events, number the event's own; stored false: dropped. */
void ft_pool_cache_event (FtPool *pool, const char *name, uint64_t number, bool stored,
                          uint64_t block);
/* A request asks to run. The decision may come at once or from a later call. */
FtStatus ft_pool_submit (FtPool *pool, const FtPoolRequest *ask);
/* A request that another scheduler granted before runs on server, having produced tokens. */
FtStatus ft_pool_adopt (FtPool *pool, const FtPoolRequest *ask, const char *server, unsigned tokens,
                        bool paused);
/* tokens: produced in all so far. */
void ft_pool_progress (FtPool *pool, uint32_t entry, uint64_t request, unsigned tokens);

typedef enum
{
  FT_OUTCOME_COMPLETE,
  FT_OUTCOME_FAILED,        /* the server failed it after the dispatch */
  FT_OUTCOME_NOT_CONNECTED, /* the connection was refused: the server never saw it */
  FT_OUTCOME_CANCELLED      /* the caller left */
} FtOutcome;

void ft_pool_end_request (FtPool *pool, uint32_t entry, uint64_t request, FtOutcome how,
                          unsigned tokens);
/* All requests of an entry that died are forgotten. */
void ft_pool_remove_entry (FtPool *pool, uint32_t entry);
/* The organisation's share and limits have changed; acts on its waiting requests too. */
void ft_pool_update_org (FtPool *pool, const char *org, unsigned weight, const FtLimits *limits);
/* Runs what is due: expiries, probes, grants. Call every 50 ms or so. */
void ft_pool_tick (FtPool *pool);
/* While held back, nothing is granted: a successor's ledger is being rebuilt. */
void ft_pool_set_held (FtPool *pool, bool held);

typedef struct
{
  unsigned waiting[FT_TIERS + 1], running[FT_TIERS + 1], paused[FT_TIERS + 1];
  unsigned servers, usable;
  double window; /* sum over usable servers */
  size_t bytes;  /* memory of the state, estimated from the records held */
  uint64_t decisions;
  uint64_t tier_violations; /* decisions that broke a rule of the tiers; must stay 0 */
} FtPoolStats;
void ft_pool_stats (const FtPool *pool, FtPoolStats *stats);

/* ---- Life of a request and its answer (req.c) ---------------------------------------------- */

typedef enum
{
  FT_REQ_RECEIVED,
  FT_REQ_SUBMITTED,
  FT_REQ_GRANTED,
  FT_REQ_DISPATCHED,
  FT_REQ_STREAMING,
  FT_REQ_ANSWERED,
  FT_REQ_REFUSED,
  FT_REQ_UNKNOWN
} FtReqState;

typedef struct FtReq FtReq;
typedef void (*FtReqTrace) (void *user, const FtReq *req, FtReqState from, FtReqState to);

FtReq *ft_req_new (const char *id, FtReqTrace trace, void *user);
FtReq *ft_req_ref (FtReq *req);
void ft_req_unref (FtReq *req);
const char *ft_req_id (const FtReq *req);
FtReqState ft_req_state (const FtReq *req);
const char *ft_req_state_name (FtReqState state);
/* Moves on; FT_INVALID when the state machine has no such step. In particular a dispatch is
 * possible once only, and a refusal that says "not run" only before it. */
FtStatus ft_req_set_state (FtReq *req, FtReqState to);
/* A refused connect before any byte: back from granted to asked. */
FtStatus ft_req_undo_grant (FtReq *req);
bool ft_req_was_dispatched (const FtReq *req);

/* One piece of the answer, number offset (0 is the first). FT_CONFLICT: seen before, dropped;
 * FT_FULL: bound reached. A piece ahead of its turn is kept and put in order. */
FtStatus ft_req_add_piece (FtReq *req, unsigned offset, const char *data, size_t length);
/* The next offset that is missing, and the bytes before it. */
unsigned ft_req_next_piece (const FtReq *req);
const char *ft_req_bytes (const FtReq *req, size_t *length);
/* The backend server said that the answer has pieces pieces in all. Whole once all are here. */
void ft_req_set_piece_count (FtReq *req, unsigned pieces);
bool ft_req_is_complete (const FtReq *req);

/* ---- Node: one instance's part in everything (node.c) ---------------------------------------- */

typedef struct FtNode FtNode;

typedef enum
{
  FT_QUERY_ANSWER,    /* id: a request's; asked of every instance's shell */
  FT_QUERY_REFUSAL,   /* id: a request's; JSON of the record */
  FT_QUERY_CLAIM,     /* id: an idempotency key with its organisation; JSON */
  FT_QUERY_HISTORY,   /* id: "" or how many; JSON array of verdicts, newest first */
  FT_QUERY_IN_FORCE,  /* id: a revision; JSON with the instances that lack it */
  FT_QUERY_CATALOGUE, /* text of the catalogue */
  FT_QUERY_SUSPECTS   /* id: Unix time now, ms; JSON array of contents that ran on ended servers */
} FtQueryKind;

/* What a node wants done. Called from within the ft_node functions; must not call back. */
typedef struct
{
  /* msg is the receiver's to unref. A link delivers each message once and in order while both
   * incarnations live. */
  void (*send) (void *host, uint32_t to, GByteArray *msg);
  void (*grant) (void *host, uint64_t request, const char *server);
  void (*refuse) (void *host, const FtRefusal *refusal);
  void (*pause) (void *host, uint64_t request);
  void (*resume) (void *host, uint64_t request);
  /* The end of ft_node_propose_catalogue, ft_node_claim, ft_node_end_claim or
   * ft_node_release_content. */
  void (*verdict) (void *host, uint64_t number, FtStatus status, uint64_t revision,
                   const char *text);
  /* A catalogue came in force here. */
  void (*catalogue) (void *host, FtCat *cat);
  /* Another instance looks for an answer; reply with ft_node_reply_query. */
  void (*question) (void *host, uint32_t from, uint64_t number, const char *id);
  /* The end of ft_node_query. */
  void (*found) (void *host, uint64_t number, FtStatus status, const void *body, size_t size);
} FtNodeOps;

typedef struct
{
  uint32_t id;          /* 1 and on */
  uint64_t incarnation; /* of this process; another one after each start */
  const char *region, *failure_domain;
  const uint32_t *instances; /* all, this one among them */
  unsigned instance_count;
  const uint32_t *voters; /* those with a disk that keep the log */
  unsigned voter_count;
} FtNodeConf;

/* disk may be NULL on an instance that is no voter. */
FtStatus ft_node_new (const FtNodeConf *conf, FtClock *clock, FtRandom *random, FtDisk *disk,
                      const FtNodeOps *ops, void *host, FtNode **node, FtError *error);
void ft_node_free (FtNode *node);
/* A packed message that a link delivered; incarnation is the link's, another one after a restart
 * or a reset. FT_INVALID: not a message; ignored. */
FtStatus ft_node_receive (FtNode *node, uint32_t from, uint64_t incarnation, const void *data,
                          size_t size);
/* The link to peer had to drop messages: both ends start over. incarnation above changes too. */
void ft_node_link_reset (FtNode *node, uint32_t peer);
/* Call every 20 ms or so, and ft_node_flush after each batch of calls: it syncs and sends. */
void ft_node_tick (FtNode *node);
void ft_node_flush (FtNode *node);

/* The platform's list: one backend server of a pool. */
void ft_node_update_server (FtNode *node, const char *pool, const char *name, uint64_t incarnation,
                            FtServerState state);
void ft_node_report (FtNode *node, const char *pool, const char *name, unsigned running,
                     unsigned waiting, int64_t age);
void ft_node_cache_event (FtNode *node, const char *pool, const char *name, uint64_t number,
                          bool stored, uint64_t block);

typedef struct
{
  uint64_t request; /* the caller's number, never used twice in one incarnation */
  const char *pool, *org, *class_name;
  unsigned prompt_tokens, most_tokens;
  int64_t first_token_in_us, deadline_in_us;
  const uint64_t *blocks;
  unsigned block_count;
  uint64_t content; /* identity of what is asked, the same for each repeat; 0: not known */
} FtNodeRequest;

/* Asks the pool's scheduler, wherever it is; ops->grant or ops->refuse follow. */
FtStatus ft_node_submit (FtNode *node, const FtNodeRequest *ask);
void ft_node_progress (FtNode *node, uint64_t request, unsigned tokens);
void ft_node_end_request (FtNode *node, uint64_t request, FtOutcome how, unsigned tokens);
/* The process of the backend server has ended while it ran the request. Before ft_node_end_request.
 */
void ft_node_report_crash (FtNode *node, uint64_t request, int64_t wall_ms);
/* The grant met a refused connection: asks again, elsewhere. */
void ft_node_resubmit (FtNode *node, uint64_t request);

/* Can the instance prove that its catalogue is in force? If not it must not take new requests. */
bool ft_node_is_fresh (FtNode *node);
/* Until when, if nothing more is heard. */
int64_t ft_node_fresh_until (FtNode *node);
/* The catalogue in force here, borrowed; NULL: none yet. */
FtCat *ft_node_catalogue (FtNode *node);

/* These return a number that ops->verdict or ops->found repeats. wall_ms: Unix time. */
uint64_t ft_node_propose_catalogue (FtNode *node, const char *change_id, const char *author,
                                    uint64_t base, const char *text, int64_t wall_ms);
uint64_t ft_node_claim (FtNode *node, const char *key, const char *digest, const char *request_id,
                        int64_t wall_ms);
typedef enum
{
  FT_CLAIM_RELEASED, /* it provably did not run */
  FT_CLAIM_ANSWERED,
  FT_CLAIM_UNKNOWN
} FtClaimOutcome;
uint64_t ft_node_end_claim (FtNode *node, const char *key, const char *request_id,
                            FtClaimOutcome end, int64_t wall_ms);
/* Lets a content under which servers ended go: it is sent again, and its ends count from 0. */
uint64_t ft_node_release_content (FtNode *node, uint64_t content);
uint64_t ft_node_query (FtNode *node, FtQueryKind kind, const char *id);
void ft_node_reply_query (FtNode *node, uint32_t to, uint64_t number, FtStatus status,
                          const void *body, size_t size);
/* Keeps a refusal for auditors, on the voters' disks within about a second. */
void ft_node_record_refusal (FtNode *node, const char *id, const char *org, FtReason reason,
                             unsigned tier, int64_t retry_after_ms, const char *rule,
                             int64_t wall_ms);
/* Shutdown: hands leases over; true once none is held. */
bool ft_node_leave (FtNode *node);

typedef struct
{
  uint32_t leader;
  uint64_t term, commit, revision;
  bool voter, member, broken, fresh;
  unsigned pools_held, requests, live;
} FtNodeStatus;
void ft_node_status (FtNode *node, FtNodeStatus *status);
/* Does the instance hold the pool's lease, proved, by its own clock? */
bool ft_node_holds_lease (FtNode *node, const char *pool);
/* The scheduler of a pool, when it runs here; NULL otherwise. */
FtPool *ft_node_pool (FtNode *node, const char *pool);

#endif
