/* foxtail.h - public interface and reference manual of libfoxtail, the decision library.
 *
 * libfoxtail decides which request runs next and on which backend server, which requests are
 * refused and why, which voter is the leader and which catalogue is in force. It does no I/O,
 * starts no thread, reads no clock and keeps no global state: the program around it (the shell)
 * provides time, randomness and storage and transports the messages.
 *
 * Conventions, unless a function says otherwise:
 *   - times are int64_t microseconds of a monotonic clock, and durations are microseconds too;
 * names that end in _ms are milliseconds;
 *   - a function that can fail returns an FtStatus: FT_OK is 0, failures are negative;
 *   - FtError out parameters may be NULL;
 *   - string arguments are copied; returned strings belong to the object that returned them;
 *   - an object may be used by one thread at a time. The exception is FtCat: it is immutable, and
 *     any thread may call ft_cat_ref and ft_cat_unref.
 */
#ifndef FOXTAIL_H
#define FOXTAIL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <urcu/list.h>

#define FT_VERSION        "0.1.0"
#define FT_VERSION_NUMBER 0x000100

/* Version of the linked library, to be compared with the FT_VERSION of the header. */
const char *ft_version (void);

/* ---- Status codes and errors (status.c) ------------------------------------------------- */

typedef enum
{
  FT_OK = 0,
  FT_INVALID = -1,     /* an argument or a document breaks a rule */
  FT_NOT_FOUND = -2,   /* the object does not exist */
  FT_CONFLICT = -3,    /* it conflicts with an earlier change, claim or object */
  FT_STALE = -4,       /* the epoch, term or revision has been superseded */
  FT_IO = -5,          /* storage failed; nothing was made durable */
  FT_CORRUPT = -6,     /* the checksum of stored data does not match */
  FT_FULL = -7,        /* a documented limit is reached */
  FT_NOT_LEADER = -8,  /* this voter is not the leader; ask the leader that it names */
  FT_ALREADY_DONE = -9 /* a repeat of an earlier operation, whose result stands */
} FtStatus;

/* English text for a status, one line; "unknown status" for any other number. */
const char *ft_strerror (int status);

typedef struct
{
  FtStatus status;
  unsigned line;  /* counted from 1; 0 when no line applies */
  char field[96]; /* path of the field, "" when none applies */
  char text[256]; /* what is wrong, and which values are allowed */
} FtError;

/* Fills *error unless error is NULL. Returns status, so that a check can return the result. */
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

/* ---- Randomness and storage, implemented by the shell ------------------------------------- */

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

/* A directory of files. All functions return FT_OK, FT_NOT_FOUND or FT_IO. */
typedef struct FtDisk FtDisk;
typedef struct
{
  /* Appends what the file holds from offset on, at most max bytes. */
  FtStatus (*read) (FtDisk *disk, const char *name, size_t offset, size_t max, GByteArray *out);
  FtStatus (*append) (FtDisk *disk, const char *name, const void *data, size_t size);
  FtStatus (*sync) (FtDisk *disk, const char *name); /* makes appended bytes durable */
  FtStatus (*replace) (FtDisk *disk, const char *name, const void *data,
                       size_t size); /* atomic and durable */
  FtStatus (*truncate) (FtDisk *disk, const char *name, size_t size);
} FtDiskOps;
struct FtDisk
{
  const FtDiskOps *ops;
};

/* ---- Reasons of refusals (reason.c) ----------------------------------------------------- */

typedef enum
{
  FT_RAN_NO,     /* no byte of the request was sent to a backend server */
  FT_RAN_YES,    /* a backend server ran it */
  FT_RAN_UNKNOWN /* it was dispatched and its outcome is not known */
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
  FT_REASON_VERSION_GONE,
  FT_REASON_COUNT
} FtReason;

typedef struct
{
  const char *code;    /* code that callers see, for example "shortage" */
  const char *message; /* one English sentence */
  int http_status;
  FtRan ran;
  bool shortage; /* true if more capacity would have avoided the refusal */
} FtReasonInfo;

/* Never NULL; an unknown value gives the entry of FT_REASON_NONE. */
const FtReasonInfo *ft_reason_info (FtReason reason);
const char *ft_ran_name (FtRan ran);

/* ---- JSON text with comments (jsrc.c) ---------------------------------------------------- */

typedef struct FtJson FtJson;

/* Reads a text file; *text is freed with g_free. On FT_IO, error has the system's message. */
FtStatus ft_text_read (const char *path, char **text, FtError *error);
/* Parses JSON with // and C comments. Rejects duplicate keys. Errors give line and field. *doc is
 * freed with ft_json_free. */
FtStatus ft_json_parse (const char *text, FtJson **doc, FtError *error);
void ft_json_free (FtJson *doc);
/* The root value, a struct json_object of json-c, borrowed. */
void *ft_json_root (FtJson *doc);
/* Line of the value at a path such as "pools[0].name"; 0 if there is no such value. */
unsigned ft_json_line (FtJson *doc, const char *path);

typedef enum
{
  FT_FIELD_STRING,
  FT_FIELD_INTEGER,
  FT_FIELD_TRUNCATED, /* a number that may have a fraction, which is cut off */
  FT_FIELD_BOOL,
  FT_FIELD_STRINGS /* an array of strings, a GPtrArray with g_free */
} FtFieldType;

typedef struct
{
  const char *name; /* key within its object */
  FtFieldType type;
  bool required;
  int64_t low, high;    /* allowed range of a number, of a string's length or an array's count */
  const char *fallback; /* default value as text; NULL: 0, false, "" or an empty array */
  size_t offset;        /* of the value in the record */
  const char *help;     /* unit and meaning, one line */
} FtField;

/* Reads the object at path into record as the table describes (its last row has a NULL name). Keys
 * that are neither in the table nor in more (NULL-terminated, may be NULL) are rejected. Strings
 * become char * (g_free), both number types int64_t, booleans bool. */
FtStatus ft_json_fields (FtJson *doc, void *object, const char *path, const FtField *table,
                         const char *const *more, void *record, FtError *error);
/* Frees the strings and arrays that ft_json_fields allocated in record. */
void ft_json_fields_clear (const FtField *table, void *record);

/* ---- Catalogue (cat.c) -------------------------------------------------------------------- */

typedef struct
{
  int64_t concurrent;          /* concurrent requests in one pool; 0: no limit */
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
  int64_t first_token_ms; /* deadline of the first token, from arrival */
  int64_t deadline_ms;    /* deadline of the complete answer, from arrival */
  FtLimits limits;
} FtClass;

typedef struct
{
  char *name, *owner, *class_name, *kind, *model, *version, *path, *region;
  int64_t inter_token_ms; /* target time between two tokens of a stream */
  int64_t window;         /* maximum of concurrent requests on one backend server */
  bool idempotent;        /* services: false if no call may be repeated */
  bool fencing_check;     /* its backend servers reject outdated fencing numbers */
  FtLimits limits;
} FtPoolEntry;

typedef struct FtCat FtCat;

/* Parses and validates a complete catalogue. The caller owns the new reference. */
FtStatus ft_cat_new (const char *text, uint64_t revision, FtCat **cat, FtError *error);
FtCat *ft_cat_ref (FtCat *cat);
void ft_cat_unref (FtCat *cat);
uint64_t ft_cat_revision (const FtCat *cat);
const char *ft_cat_text (const FtCat *cat);
const FtOrg *ft_cat_org (const FtCat *cat, const char *name);
/* The organisation whose key has this SHA-256 (64 lower-case hex digits), or NULL. Compares in
 * constant time, so that the timing reveals nothing about the stored digests. */
const FtOrg *ft_cat_org_by_key (const FtCat *cat, const char *key_sha256);
const FtClass *ft_cat_class (const FtCat *cat, const char *name);
const FtPoolEntry *ft_cat_pool (const FtCat *cat, const char *name);
/* The model pool of a model's name and the service pool with the longest matching path prefix, or
 * NULL. */
const FtPoolEntry *ft_cat_pool_for_model (const FtCat *cat, const char *model);
const FtPoolEntry *ft_cat_pool_for_path (const FtCat *cat, const char *path);
unsigned ft_cat_org_count (const FtCat *cat);
const FtOrg *ft_cat_org_at (const FtCat *cat, unsigned index);
unsigned ft_cat_pool_count (const FtCat *cat);
const FtPoolEntry *ft_cat_pool_at (const FtCat *cat, unsigned index);
/* Lists added, removed and changed entries as text for the command "plan"; freed with g_free. */
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

/* Min-heap by key, intrusive: the node is embedded in the user's record and is in at most one heap.
 * Removal takes amortised O(log n). */
void ft_heap_push (FtHeap *heap, FtHeapNode *node, double key);
void ft_heap_remove (FtHeap *heap, FtHeapNode *node);
static inline FtHeapNode *
ft_heap_top (const FtHeap *heap)
{
  return heap->root;
}

/* ---- Prefix index (prefix.c) ----------------------------------------------------------------- */

typedef struct FtPrefix FtPrefix;

/* servers: maximum of servers, numbered from 0; capacity: maximum of blocks kept per server. */
FtPrefix *ft_prefix_new (unsigned servers, unsigned capacity);
void ft_prefix_free (FtPrefix *index);
/* The server now caches these blocks (chained hashes of a prompt's leading blocks). */
void ft_prefix_add (FtPrefix *index, unsigned server, const uint64_t *blocks, unsigned count);
/* The server reported that it evicted a block. */
void ft_prefix_remove (FtPrefix *index, unsigned server, uint64_t block);
/* Cache events of the server were lost: halves the confidence in its records. */
void ft_prefix_note_gap (FtPrefix *index, unsigned server);
/* The server restarted or left: drops all its records. */
void ft_prefix_clear (FtPrefix *index, unsigned server);
/* Expected number of leading blocks that the server caches, 0 to count. */
double ft_prefix_match (FtPrefix *index, unsigned server, const uint64_t *blocks, unsigned count);
/* Finds up to max servers that cache some leading blocks, longest match first. Returns the number
 * found. */
unsigned ft_prefix_holders (FtPrefix *index, const uint64_t *blocks, unsigned count,
                            unsigned *servers, unsigned max);

/* Computes the chained block hashes of a prompt, at most max: hash i covers the first
 * (i + 1) * FT_BLOCK_BYTES bytes. Returns the number written. */
#define FT_BLOCK_BYTES  256
#define FT_BLOCK_TOKENS 64 /* estimated at four bytes of text per token */
#define FT_BLOCKS_MAX   64
unsigned ft_prefix_hash (const char *prompt, size_t length, uint64_t seed, uint64_t *blocks,
                         unsigned max);

/* ---- Pool scheduler (pool.c) ------------------------------------------------------------------
 */

typedef struct FtPool FtPool;

typedef struct
{
  uint32_t entry;   /* id of the instance that received the request */
  uint64_t request; /* its number at that instance */
  unsigned tier;    /* 1 to FT_TIERS */
  const char *org;  /* organisation's name */
  const char *class_name;
  unsigned weight; /* the organisation's share within its tier */
  FtLimits limits; /* the organisation's limits in this pool */
  unsigned prompt_tokens;
  unsigned most_tokens;      /* limit on the answer set by the caller; 0: none */
  int64_t first_token_in_us; /* deadline of the first token, from now */
  int64_t deadline_in_us;    /* deadline of the complete answer, from now */
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
  char rule[128]; /* the limit or estimate that decided, with figures */
} FtRefusal;

/* Callbacks with the scheduler's decisions. They run within the functions below and must not call
 * into the pool. */
typedef struct
{
  void (*grant) (void *host, const FtGrant *grant);
  void (*refuse) (void *host, const FtRefusal *refusal);
  void (*pause) (void *host, const FtGrant *stream);  /* stop the stream, to be resumed later */
  void (*resume) (void *host, const FtGrant *stream); /* continue at the next offset */
} FtPoolOps;

typedef struct
{
  int64_t inter_token_ms; /* target time between two tokens, 1 to 10000 */
  int64_t window;         /* maximum of concurrent requests on one server */
  int64_t queue;          /* maximum of waiting requests; 0: no limit */
  bool service;           /* a plain service: each call counts as one unit of work */
} FtPoolConf;

FtPool *ft_pool_new (const FtPoolConf *conf, FtClock *clock, const FtPoolOps *ops, void *host);
void ft_pool_free (FtPool *pool);
/* Sets new limits and targets of the catalogue. Later decisions use them, also for requests that
 * already wait. */
void ft_pool_configure (FtPool *pool, const FtPoolConf *conf);

typedef enum
{
  FT_SERVER_LIVE,
  FT_SERVER_LEAVING, /* running streams continue, nothing new is granted */
  FT_SERVER_GONE     /* it is no longer in the list of servers */
} FtServerState;

/* Adds a server or changes its state. A new incarnation resets what was learned of its cache and
 * speed. */
FtStatus ft_pool_update_server (FtPool *pool, const char *name, uint64_t incarnation,
                                FtServerState state);
/* A load report of the server, which was age old when it was read. */
void ft_pool_report (FtPool *pool, const char *name, unsigned running, unsigned waiting,
                     int64_t age);
/* A cache event of the server with its sequence number. stored false: the block was evicted. */
void ft_pool_cache_event (FtPool *pool, const char *name, uint64_t number, bool stored,
                          uint64_t block);
/* Submits a request. The decision may be made at once or in a later call. */
FtStatus ft_pool_submit (FtPool *pool, const FtPoolRequest *req);
/* Takes over a request that a previous scheduler granted: it runs on server and has produced tokens
 * so far. */
FtStatus ft_pool_adopt (FtPool *pool, const FtPoolRequest *req, const char *server, unsigned tokens,
                        bool paused);
/* tokens: total produced so far. */
void ft_pool_progress (FtPool *pool, uint32_t entry, uint64_t request, unsigned tokens);

typedef enum
{
  FT_OUTCOME_COMPLETE,
  FT_OUTCOME_FAILED,        /* the server failed after the dispatch */
  FT_OUTCOME_NOT_CONNECTED, /* the connection was refused: the server got nothing */
  FT_OUTCOME_CANCELLED      /* the caller left */
} FtOutcome;

void ft_pool_end_request (FtPool *pool, uint32_t entry, uint64_t request, FtOutcome how,
                          unsigned tokens);
/* Drops all requests of an entry that died. */
void ft_pool_remove_entry (FtPool *pool, uint32_t entry);
/* Applies changed limits of an organisation, also to its waiting requests, and a changed weight
 * unless it has active requests. */
void ft_pool_update_org (FtPool *pool, const char *org, unsigned weight, const FtLimits *limits);
/* Runs due timers: expiries, probes, grants. Call about every 50 ms. */
void ft_pool_tick (FtPool *pool);
/* While held, nothing is granted, paused or expired. Used while a new scheduler collects the
 * running requests. */
void ft_pool_set_held (FtPool *pool, bool held);

typedef struct
{
  unsigned waiting[FT_TIERS + 1], running[FT_TIERS + 1], paused[FT_TIERS + 1];
  unsigned servers, usable;
  double window; /* sum of the windows of usable servers */
  size_t bytes;  /* estimated memory of the pool's records */
  uint64_t decisions;
  uint64_t tier_violations; /* decisions that broke a tier rule; must stay 0 */
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
/* Changes the state; FT_INVALID if the state machine does not allow the transition. In particular a
 * request is dispatched only once, and can be refused as "not run" only before that. */
FtStatus ft_req_set_state (FtReq *req, FtReqState to);
/* The connection was refused before any byte was sent: goes back from granted to asked. */
FtStatus ft_req_undo_grant (FtReq *req);
bool ft_req_was_dispatched (const FtReq *req);

/* Adds piece number offset (from 0) of the answer. A piece that arrives early is buffered.
 * FT_CONFLICT: a duplicate, dropped; FT_STALE: the buffer is full, so that the piece was dropped
 * and is to be got again once the gap is closed; FT_FULL: the answer is too large. */
FtStatus ft_req_add_piece (FtReq *req, unsigned offset, const char *data, size_t length);
/* Number of the first missing piece, and all bytes before it. */
unsigned ft_req_next_piece (const FtReq *req);
const char *ft_req_bytes (const FtReq *req, size_t *length);
/* Bytes of memory that all pieces, early ones too, will take with more bytes of them. */
size_t ft_req_memory (const FtReq *req, size_t more);
/* Bytes of memory that a string will take once more bytes are appended. */
size_t ft_grown_size (const GString *string, size_t more);
/* The backend server ended the answer after this total number of pieces. */
void ft_req_set_piece_count (FtReq *req, unsigned pieces);
/* True once the number of pieces is known and all have arrived. */
bool ft_req_is_complete (const FtReq *req);

/* ---- Node: everything that one instance decides (node.c) ------------------------------------- */

typedef struct FtNode FtNode;

typedef enum
{
  FT_QUERY_ANSWER,    /* id: of a request; the shell of every instance is asked */
  FT_QUERY_REFUSAL,   /* id: of a request; its refusal record as JSON */
  FT_QUERY_CLAIM,     /* id: idempotency key with organisation; JSON */
  FT_QUERY_HISTORY,   /* id: "" or a count; results of catalogue changes as JSON, newest first */
  FT_QUERY_IN_FORCE,  /* id: a revision; JSON with the instances that do not have it yet */
  FT_QUERY_CATALOGUE, /* text of the catalogue */
  FT_QUERY_SUSPECTS   /* id: current Unix time, ms; JSON array of contents under which servers
                         crashed */
} FtQueryKind;

/* Callbacks of a node. They run within the ft_node functions and must not call into the node. */
typedef struct
{
  /* The callee unrefs msg. The link must deliver each message once and in order as long as both
   * incarnations live. */
  void (*send) (void *host, uint32_t to, GByteArray *msg);
  void (*grant) (void *host, uint64_t request, const char *server);
  void (*refuse) (void *host, const FtRefusal *refusal);
  void (*pause) (void *host, uint64_t request);
  void (*resume) (void *host, uint64_t request);
  /* Result of ft_node_propose_catalogue, ft_node_claim, ft_node_end_claim or
   * ft_node_release_content. */
  void (*verdict) (void *host, uint64_t number, FtStatus status, uint64_t revision,
                   const char *text);
  /* A new catalogue is in force on this instance. */
  void (*catalogue) (void *host, FtCat *cat);
  /* Another instance queries for an answer; reply with ft_node_reply_query. */
  void (*question) (void *host, uint32_t from, uint64_t number, const char *id);
  /* Result of ft_node_query. */
  void (*found) (void *host, uint64_t number, FtStatus status, const void *body, size_t size);
} FtNodeOps;

typedef struct
{
  uint32_t id;          /* from 1 */
  uint64_t incarnation; /* of this process; differs after each start */
  const char *region, *failure_domain;
  const uint32_t *instances; /* all, including this one */
  unsigned instance_count;
  const uint32_t *voters; /* instances that store the replicated log */
  unsigned voter_count;
} FtNodeConf;

/* disk may be NULL unless the instance is a voter. */
FtStatus ft_node_new (const FtNodeConf *conf, FtClock *clock, FtRandom *random, FtDisk *disk,
                      const FtNodeOps *ops, void *host, FtNode **node, FtError *error);
void ft_node_free (FtNode *node);
/* An encoded message from a link. incarnation identifies the link's connection and changes after a
 * restart or a reset. FT_INVALID: the message cannot be decoded and is ignored. */
FtStatus ft_node_receive (FtNode *node, uint32_t from, uint64_t incarnation, const void *data,
                          size_t size);
/* The link to peer dropped messages: both ends start over, with a new incarnation of the link. */
void ft_node_link_reset (FtNode *node, uint32_t peer);
/* Call ft_node_tick about every 20 ms, and ft_node_flush after each batch of calls: it syncs the
 * disk and sends messages. */
void ft_node_tick (FtNode *node);
void ft_node_flush (FtNode *node);

/* One backend server of the platform's list. The next two are as ft_pool_report and
 * ft_pool_cache_event. */
void ft_node_update_server (FtNode *node, const char *pool, const char *name, uint64_t incarnation,
                            FtServerState state);
void ft_node_report (FtNode *node, const char *pool, const char *name, unsigned running,
                     unsigned waiting, int64_t age);
void ft_node_cache_event (FtNode *node, const char *pool, const char *name, uint64_t number,
                          bool stored, uint64_t block);

typedef struct
{
  uint64_t request; /* number chosen by the shell, never reused in one incarnation */
  const char *pool, *org, *class_name;
  unsigned prompt_tokens, most_tokens;
  int64_t first_token_in_us, deadline_in_us;
  const uint64_t *blocks;
  unsigned block_count;
  uint64_t content; /* hash of the request's content, the same for each repeat; 0: not known */
} FtNodeRequest;

/* Submits a request to the pool's scheduler on whichever instance; ops->grant or ops->refuse
 * follows. */
FtStatus ft_node_submit (FtNode *node, const FtNodeRequest *req);
void ft_node_progress (FtNode *node, uint64_t request, unsigned tokens);
void ft_node_end_request (FtNode *node, uint64_t request, FtOutcome how, unsigned tokens);
/* The backend server's process crashed while it ran the request. Call before ft_node_end_request.
 */
void ft_node_report_crash (FtNode *node, uint64_t request, int64_t wall_ms);
/* The granted server refused the connection: submits the request again for another server. */
void ft_node_resubmit (FtNode *node, uint64_t request);

/* True if the instance can prove that its catalogue is in force; otherwise it must not accept new
 * requests. */
bool ft_node_is_fresh (FtNode *node);
/* Time until which that holds if no further proof arrives. */
int64_t ft_node_fresh_until (FtNode *node);
/* The catalogue in force on this instance, borrowed; NULL if there is none yet. */
FtCat *ft_node_catalogue (FtNode *node);

/* Each returns a number that is passed to ops->verdict or ops->found with the result. wall_ms: Unix
 * time. */
uint64_t ft_node_propose_catalogue (FtNode *node, const char *change_id, const char *author,
                                    uint64_t base, const char *text, int64_t wall_ms);
uint64_t ft_node_claim (FtNode *node, const char *key, const char *digest, const char *request_id,
                        int64_t wall_ms);
typedef enum
{
  FT_CLAIM_RELEASED, /* it certainly did not run */
  FT_CLAIM_ANSWERED,
  FT_CLAIM_UNKNOWN
} FtClaimOutcome;
uint64_t ft_node_end_claim (FtNode *node, const char *key, const char *request_id,
                            FtClaimOutcome end, int64_t wall_ms);
/* Ends the quarantine of a content: it is sent again, and its crashes are counted from 0. */
uint64_t ft_node_release_content (FtNode *node, uint64_t content);
uint64_t ft_node_query (FtNode *node, FtQueryKind kind, const char *id);
void ft_node_reply_query (FtNode *node, uint32_t to, uint64_t number, FtStatus status,
                          const void *body, size_t size);
/* Records a refusal for audits; it is on the voters' disks within about a second. */
void ft_node_record_refusal (FtNode *node, const char *id, const char *org, FtReason reason,
                             unsigned tier, int64_t retry_after_ms, const char *rule,
                             int64_t wall_ms);
/* Hands over all leases before a shutdown; returns true once none is held. */
bool ft_node_leave (FtNode *node);

typedef struct
{
  uint32_t leader;
  uint64_t term, commit, revision;
  bool voter, member, broken, fresh;
  unsigned pools_held, requests, live;
} FtNodeStatus;
void ft_node_status (FtNode *node, FtNodeStatus *status);
/* True if by its own clock the instance has a valid lease on the pool. */
bool ft_node_holds_lease (FtNode *node, const char *pool);
/* The scheduler of a pool if it runs on this instance, otherwise NULL. */
FtPool *ft_node_pool (FtNode *node, const char *pool);

#endif
