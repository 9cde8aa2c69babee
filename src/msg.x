/* msg.x - messages between instances, as XDR (RFC 4506), and the ONC RPC program that carries
 * them. The files msg.h and msg_xdr.c are generated from this one by `make generate` and committed. */

const FT_NAME_MAX = 63;
const FT_TEXT_MAX = 4194304;
const FT_BLOCKS_IN_ASK_MAX = 64;
const FT_BATCH_MAX = 8388608;
const FT_VOTERS_MAX = 7;

/* ---- Between an entry and a pool's scheduler ----
 *
 * A request is identified by its entry and the number that the entry gave it. */

enum MsgAskState { MSG_ASK_WAITING = 0, MSG_ASK_RUNNING = 1, MSG_ASK_PAUSED = 2 };

/* From an entry: a request that waits for a grant, or one that an earlier scheduler granted. */
struct MsgAsk {
  string pool<FT_NAME_MAX>;
  unsigned hyper request;
  string org<FT_NAME_MAX>;
  string class_name<FT_NAME_MAX>;
  unsigned int prompt_tokens;
  unsigned int most_tokens;      /* the caller's limit on the answer; 0: none */
  hyper first_in_us;             /* the first token is due so long from now */
  hyper due_in_us;               /* the whole answer is due so long from now */
  unsigned hyper blocks<FT_BLOCKS_IN_ASK_MAX>; /* chained hashes of the prompt's first blocks */
  MsgAskState state;
  string server<FT_NAME_MAX>; /* on which it runs or is paused; "": it waits */
  unsigned int tokens;         /* of its answer so far */
};

/* The scheduler grants a server, or pauses or resumes the request that runs there. */
struct MsgGrant {
  string pool<FT_NAME_MAX>;
  unsigned hyper epoch;
  unsigned hyper request;
  string server<FT_NAME_MAX>;
};

struct MsgRefuse {
  string pool<FT_NAME_MAX>;
  unsigned hyper epoch;
  unsigned hyper request;
  unsigned int reason; /* FtReason */
  unsigned int tier;
  hyper retry_after_ms;
  string rule<127>;    /* limit or estimate that decided, with its figures */
};

struct MsgProgress {
  string pool<FT_NAME_MAX>;
  unsigned hyper request;
  unsigned int tokens; /* of its answer so far */
};

/* The request has ended. */
struct MsgDone {
  string pool<FT_NAME_MAX>;
  unsigned hyper request;
  unsigned int how; /* FtOutcome */
  unsigned int tokens;
};

/* The holder of a pool's lease asks an entry to send all its requests in the pool. */
struct MsgReportRequest {
  string pool<FT_NAME_MAX>;
  unsigned hyper epoch;
};

/* Sent by the entry after these MsgAsk messages: it has sent all its requests. */
struct MsgReportEnd {
  string pool<FT_NAME_MAX>;
  unsigned hyper epoch;
};

/* ---- Contents that were running on backend servers when these crashed ---- */

const FT_CONTENTS_MAX = 64;
const FT_SUSPECT_CRASHES_MAX = 8;

typedef string MsgServerName<127>;

struct MsgServerCrash {
  MsgServerName server;
  hyper wall_ms;
};

/* A content that was running on servers when they crashed. */
struct MsgSuspect {
  unsigned hyper content;
  unsigned int ends;    /* crashes of servers that ran it */
  unsigned hyper index; /* in the log, of the latest crash */
  hyper first_ms;       /* time of the first crash */
  MsgServerCrash latest<FT_SUSPECT_CRASHES_MAX>; /* latest crashes, oldest first */
};

struct MsgCrashTable {
  unsigned hyper index; /* in the log, of the latest change */
  MsgSuspect suspects<4096>;
};

/* ---- Roll-outs: moving a service's requests to servers of another version ---- */

const FT_ROLLOUTS_MAX = 256;

enum MsgRolloutPhase {
  MSG_ROLLOUT_TRYING = 0,     /* servers of the target version get a small share */
  MSG_ROLLOUT_MOVING = 1,     /* they get all new requests; the others finish what they run */
  MSG_ROLLOUT_COMPLETED = 2,  /* final: the other servers get no requests */
  MSG_ROLLOUT_ROLLED_BACK = 3 /* final: servers of the target version get no requests */
};

/* Measurements of the target version so far. */
struct MsgTrial {
  hyper elapsed_ms;       /* since the order was accepted */
  unsigned int requests;  /* to the service since then */
  unsigned int reserved;  /* upper bound of those that servers of the target may have received */
  unsigned int answers;   /* of servers of the target, that were evaluated */
  unsigned int bad;       /* of these, evaluated as bad */
  unsigned int suspicion; /* evidence against the target; at 1000 it is rolled back */
};

struct MsgRollout {
  MsgServerName service;
  MsgServerName target;  /* version */
  MsgServerName before;  /* version in use when the order was accepted; "": unknown */
  unsigned hyper number; /* index of the order in the log */
  hyper limit_ms;        /* time limit of the roll-out */
  MsgRolloutPhase phase;
  MsgTrial trial;
  string why<255>;       /* reason for the phase */
};

/* The newest roll-out of each service. */
struct MsgRollouts {
  unsigned hyper index; /* in the log, of the latest change */
  MsgRollout rollouts<FT_ROLLOUTS_MAX>;
};

/* ---- Versions of the listed servers ---- */

const FT_LISTED_SERVICES_MAX = 256;
const FT_LISTED_VERSIONS_MAX = 16;

/* The versions whose servers may have begun a stream of the service that still goes on. */
struct MsgListedService {
  MsgServerName service;
  MsgServerName versions<FT_LISTED_VERSIONS_MAX>; /* the one in use at the leader comes first */
};

struct MsgListedTable {
  unsigned hyper index; /* in the log, of the latest change; 0: the table is not complete */
  MsgListedService services<FT_LISTED_SERVICES_MAX>;
};

/* ---- Freshness, membership and leases ---- */

/* Sent by an instance to the leader to prove its freshness and its leases. */
struct MsgHello {
  unsigned hyper number;      /* increases with each hello; the reply repeats it */
  unsigned hyper revision;    /* of the catalogue in force at the sender */
  unsigned hyper lease_epoch; /* newest lease known at the sender */
  unsigned hyper incarnation; /* of the sender's process */
  unsigned hyper live_version; /* of the sender's list of live instances */
  unsigned hyper blame_index;  /* of the sender's crash table */
  bool leaving;
  string region<FT_NAME_MAX>;
  string failure_domain<FT_NAME_MAX>;
};

struct MsgLease {
  string pool<FT_NAME_MAX>;
  unsigned int holder; /* 0: none */
  unsigned hyper epoch;
};

struct MsgHelloReply {
  unsigned hyper number;
  unsigned hyper revision;
  unsigned hyper lease_epoch;
  bool has_catalogue; /* only if the sender of the hello has an older one */
  string catalogue<FT_TEXT_MAX>;
  bool has_leases;
  MsgLease leases<4096>;
  unsigned hyper live_version;
  bool has_live;           /* only if the sender of the hello has another version */
  unsigned int live<1024>; /* ids of instances that have sent a hello recently */
  MsgCrashTable blame<1>;       /* contents with two or more crashes; empty: unchanged */
};

/* ---- Replicated log ---- */

enum MsgOpKind {
  MSG_OP_NOOP = 0,
  MSG_OP_CHANGE = 1,
  MSG_OP_LEASE = 2,
  MSG_OP_CLAIM = 3,
  MSG_OP_CLAIM_END = 4,
  MSG_OP_VOTERS = 5,
  MSG_OP_REFUSALS = 6,
  MSG_OP_DOCUMENT = 7,
  MSG_OP_CRASH = 8,
  MSG_OP_CRASH_RETRACTED = 9,
  MSG_OP_CLEARED = 10,
  MSG_OP_ROLLOUT_START = 11,
  MSG_OP_ROLLOUT_STEP = 12,
  MSG_OP_LISTED = 13 /* only proposed where all voters that are linked know it */
};

struct MsgChange {
  string change_id<FT_NAME_MAX>;
  string author<FT_NAME_MAX>;
  unsigned hyper base;
  hyper wall_ms;
  string catalogue<FT_TEXT_MAX>;
};

struct MsgClaim {
  string key<127>;
  string digest<64>;
  unsigned int entry;
  unsigned hyper incarnation;
  string request_id<FT_NAME_MAX>;
  hyper wall_ms;
};

enum MsgClaimEnd { MSG_CLAIM_RELEASED = 0, MSG_CLAIM_ANSWERED = 1, MSG_CLAIM_UNKNOWN = 2 };

struct MsgClaimDone {
  string key<127>;
  unsigned int entry;
  unsigned hyper incarnation;
  string request_id<FT_NAME_MAX>;
  MsgClaimEnd end;
  hyper wall_ms;
};

struct MsgVoter {
  unsigned int id;
  unsigned hyper incarnation;
};

struct MsgVoters {
  MsgVoter voters<FT_VOTERS_MAX>;
};

struct MsgRefusalRecord {
  string id<FT_NAME_MAX>;
  string org<FT_NAME_MAX>;
  unsigned int reason;
  unsigned int tier;
  unsigned hyper revision;
  hyper retry_after_ms;
  hyper wall_ms;
  string rule<127>;
};

struct MsgRefusalRecords {
  MsgRefusalRecord records<4096>;
};

/* A document stored in the replicated state; the one with the highest number is kept. */
struct MsgDocument {
  unsigned hyper number;
  opaque text<FT_TEXT_MAX>;
};

/* A backend server crashed while it ran these contents. */
struct MsgCrash {
  MsgServerName server; /* id of the server's lifetime */
  hyper wall_ms;        /* Unix time when it was noticed; the same crash, and stale ones, go by it */
  unsigned hyper contents<FT_CONTENTS_MAX>;
};

/* A backend server whose crash was reported has answered since: the report was wrong. */
struct MsgCrashRetracted {
  MsgServerName server;
};

/* Earlier crashes no longer count against these contents. */
struct MsgCleared {
  unsigned hyper contents<FT_CONTENTS_MAX>;
};

/* An operator orders a roll-out. */
struct MsgRolloutStart {
  MsgServerName service;
  MsgServerName target;
  MsgServerName before;
  hyper limit_ms;
  unsigned hyper after; /* number of the service's newest roll-out at that time; 0: none */
};

/* New phase or measurements of a roll-out. */
struct MsgRolloutStep {
  MsgServerName service;
  unsigned hyper number;
  MsgRolloutPhase phase;
  MsgTrial trial;
  string why<255>;
};

union MsgOp switch (MsgOpKind kind) {
case MSG_OP_NOOP: void;
case MSG_OP_CHANGE: MsgChange change;
case MSG_OP_LEASE: MsgLease lease;
case MSG_OP_CLAIM: MsgClaim claim;
case MSG_OP_CLAIM_END: MsgClaimDone claim_done;
case MSG_OP_VOTERS: MsgVoters voters;
case MSG_OP_REFUSALS: MsgRefusalRecords refusals;
case MSG_OP_DOCUMENT: MsgDocument document;
case MSG_OP_CRASH: MsgCrash ended;
case MSG_OP_CRASH_RETRACTED: MsgCrashRetracted survived;
case MSG_OP_CLEARED: MsgCleared cleared;
case MSG_OP_ROLLOUT_START: MsgRolloutStart rollout_start;
case MSG_OP_ROLLOUT_STEP: MsgRolloutStep rollout_step;
case MSG_OP_LISTED: MsgListedService listed;
};

struct MsgEntry {
  unsigned hyper index;
  unsigned hyper term;
  opaque op<FT_TEXT_MAX>; /* MsgOp */
};

struct MsgVote {
  bool pre;
  unsigned hyper term;
  unsigned hyper incarnation;
  unsigned hyper last_index;
  unsigned hyper last_term;
  bool handed_over; /* the leader has transferred leadership to the sender */
};

struct MsgVoteReply {
  bool pre;
  unsigned hyper term;
  unsigned hyper incarnation;
  bool granted;
};

struct MsgAppend {
  unsigned hyper term;
  unsigned hyper round;
  unsigned hyper prev_index;
  unsigned hyper prev_term;
  unsigned hyper commit;
  MsgEntry entries<256>;
};

struct MsgAppendReply {
  unsigned hyper term;
  unsigned hyper round;
  unsigned hyper incarnation;
  bool ok;
  unsigned hyper match; /* ok: last index held; else: try from here */
};

struct MsgSnapshot {
  unsigned hyper term;
  unsigned hyper round;
  unsigned hyper index;
  unsigned hyper index_term;
  opaque state<FT_BATCH_MAX>; /* MsgState */
};

/* A voter without a log asks the others for the voter set, or another voter answers it: raftset.c. */
struct MsgBootstrap {
  unsigned hyper incarnation;
  bool answer;
  bool formed;
  MsgVoter voters<FT_VOTERS_MAX>;
};

struct MsgPropose {
  unsigned hyper number; /* chosen by the sender; the verdict repeats it */
  opaque op<FT_TEXT_MAX>;
};

struct MsgVerdict {
  unsigned hyper number;
  int status;          /* FtStatus */
  unsigned int leader; /* with FT_NOT_LEADER: the voter to ask instead, 0: unknown */
  unsigned hyper revision;
  string text<1023>;
};

/* ---- Snapshot of the replicated state ---- */

struct MsgRevision {
  unsigned hyper revision;
  string change_id<FT_NAME_MAX>;
  string author<FT_NAME_MAX>;
  hyper wall_ms;
  string digest<64>;
  int status; /* FT_OK: accepted; else the refusal, which a repeated proposal gets again */
  string text<1023>;
};

struct MsgClaimState {
  MsgClaim claim;
  bool ended;
  MsgClaimEnd end;
  hyper ended_ms;
};

struct MsgState {
  unsigned hyper revision;
  string catalogue<FT_TEXT_MAX>;
  MsgRevision history<65536>;
  MsgLease leases<4096>;
  unsigned hyper epoch;
  MsgClaimState claims<1048576>;
  MsgRefusalRecord refusals<65536>;
  MsgVoter voters<FT_VOTERS_MAX>;
  MsgDocument document;
  MsgCrashTable blame;
  MsgRollouts rollouts;
  MsgListedTable listed;
};

/* ---- Queries to other instances ---- */

enum MsgQueryKind {
  MSG_QUERY_ANSWER = 0,
  MSG_QUERY_REFUSAL = 1,
  MSG_QUERY_CLAIM = 2,
  MSG_QUERY_HISTORY = 3,
  MSG_QUERY_IN_FORCE = 4,
  MSG_QUERY_CATALOGUE = 5,
  MSG_QUERY_SUSPECTS = 6
};

struct MsgQuery {
  unsigned hyper number;
  MsgQueryKind kind;
  string id<127>;
};

struct MsgQueryReply {
  unsigned hyper number;
  int status;
  opaque body<FT_BATCH_MAX>;
};

enum MsgKind {
  MSG_ASK = 1, MSG_GRANT, MSG_REFUSE, MSG_PROGRESS, MSG_DONE, MSG_PAUSE, MSG_RESUME,
  MSG_REPORT_REQUEST, MSG_REPORT_END, MSG_HELLO, MSG_HELLO_REPLY, MSG_VOTE, MSG_VOTE_REPLY,
  MSG_APPEND, MSG_APPEND_REPLY, MSG_SNAPSHOT, MSG_BOOTSTRAP, MSG_PROPOSE, MSG_VERDICT, MSG_QUERY,
  MSG_QUERY_REPLY, MSG_TIMEOUT_NOW
};

union Msg switch (MsgKind kind) {
case MSG_ASK: MsgAsk ask;
case MSG_GRANT: MsgGrant grant;
case MSG_REFUSE: MsgRefuse refuse;
case MSG_PROGRESS: MsgProgress progress;
case MSG_DONE: MsgDone done;
case MSG_PAUSE: MsgGrant pause;
case MSG_RESUME: MsgGrant resume;
case MSG_REPORT_REQUEST: MsgReportRequest report_request;
case MSG_REPORT_END: MsgReportEnd report_end;
case MSG_HELLO: MsgHello hello;
case MSG_HELLO_REPLY: MsgHelloReply hello_reply;
case MSG_VOTE: MsgVote vote;
case MSG_VOTE_REPLY: MsgVoteReply voted;
case MSG_APPEND: MsgAppend append;
case MSG_APPEND_REPLY: MsgAppendReply appended;
case MSG_SNAPSHOT: MsgSnapshot snapshot;
case MSG_BOOTSTRAP: MsgBootstrap blank;
case MSG_PROPOSE: MsgPropose propose;
case MSG_VERDICT: MsgVerdict verdict;
case MSG_QUERY: MsgQuery query;
case MSG_QUERY_REPLY: MsgQueryReply query_reply;
case MSG_TIMEOUT_NOW: void; /* the leader asks the receiver to start an election at once */
};

/* ---- Links ---- */

/* Messages of one incarnation of the sender, numbered one by one. */
struct LinkBatch {
  unsigned int from;
  unsigned int to;
  unsigned hyper incarnation;
  unsigned hyper first;           /* number of the first message */
  opaque messages<FT_BATCH_MAX>; /* concatenated Msg */
  opaque mac<32>;                 /* HMAC-SHA-256 of all fields above */
};

struct LinkAck {
  unsigned hyper incarnation; /* of the receiver */
  unsigned hyper next;        /* number of the message expected next */
  bool accepted;
  opaque mac<32>;
};

program FT_LINK_PROGRAM {
  version FT_LINK_VERSION {
    LinkAck FT_LINK_DELIVER (LinkBatch) = 1;
  } = 1;
} = 0x20464f58;
