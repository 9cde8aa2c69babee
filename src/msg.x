/* msg.x - messages between instances, as XDR (RFC 4506), and the ONC RPC program that carries
 * them. Generated files msg.h and msg_xdr.c are committed; `make generate` makes them anew. */

const FT_NAME_MOST = 63;
const FT_TEXT_MOST = 4194304;
const FT_BLOCK_MOST = 64;
const FT_BATCH_MOST = 8388608;
const FT_VOTERS_MOST = 7;

/* ---- Entry and pool scheduler ---- */

enum MsgAskState { MSG_ASK_WAITING = 0, MSG_ASK_RUNNING = 1, MSG_ASK_PAUSED = 2 };

struct MsgAsk {
  string pool<FT_NAME_MOST>;
  unsigned hyper request;
  string org<FT_NAME_MOST>;
  string class_name<FT_NAME_MOST>;
  unsigned int prompt_tokens;
  unsigned int most_tokens;
  hyper first_in_us;
  hyper due_in_us;
  unsigned hyper blocks<FT_BLOCK_MOST>;
  MsgAskState state;
  string server<FT_NAME_MOST>; /* running or paused there */
  unsigned int tokens;
};

struct MsgGrant {
  string pool<FT_NAME_MOST>;
  unsigned hyper epoch;
  unsigned hyper request;
  string server<FT_NAME_MOST>;
};

struct MsgRefuse {
  string pool<FT_NAME_MOST>;
  unsigned hyper epoch;
  unsigned hyper request;
  unsigned int reason;
  unsigned int tier;
  hyper retry_after_ms;
  string rule<127>;
};

struct MsgProgress {
  string pool<FT_NAME_MOST>;
  unsigned hyper request;
  unsigned int tokens;
};

struct MsgDone {
  string pool<FT_NAME_MOST>;
  unsigned hyper request;
  unsigned int how;
  unsigned int tokens;
};

/* The new holder asks an entry to tell all it has in the pool. */
struct MsgTell {
  string pool<FT_NAME_MOST>;
  unsigned hyper epoch;
};

/* The entry has told everything; sent after its MsgAsk messages. */
struct MsgTold {
  string pool<FT_NAME_MOST>;
  unsigned hyper epoch;
};

/* ---- Contents that were running on backend servers as these ended ---- */

const FT_CONTENTS_MOST = 64;
const FT_SUSPECT_SERVERS = 8;

typedef string MsgServerName<127>;

struct MsgServerEnd {
  MsgServerName server;
  hyper wall_ms;
};

/* A content that was running on servers when they ended. */
struct MsgSuspect {
  unsigned hyper content;
  unsigned int ends;    /* of servers, under it */
  unsigned hyper index; /* in the log, of the latest of these */
  hyper first_ms;
  MsgServerEnd latest<FT_SUSPECT_SERVERS>; /* the latest of them, oldest first */
};

struct MsgBlame {
  unsigned hyper index; /* in the log, of the latest change */
  MsgSuspect suspects<4096>;
};

/* ---- Roll-outs: a service's requests move to servers of another version ---- */

const FT_ROLLOUTS_MOST = 256;

enum MsgRolloutPhase {
  MSG_ROLLOUT_TRYING = 0,     /* servers of the target get a small part */
  MSG_ROLLOUT_MOVING = 1,     /* they get everything; the others finish what they run */
  MSG_ROLLOUT_COMPLETED = 2,  /* the others get nothing, for good */
  MSG_ROLLOUT_ROLLED_BACK = 3 /* the target gets nothing, for good */
};

/* What is known of the target so far. */
struct MsgTrial {
  hyper elapsed_ms;       /* since the order was accepted */
  unsigned int requests;  /* for the service since then */
  unsigned int reserved;  /* of these, the most that the target's servers may have had */
  unsigned int answers;   /* of the target's that were judged */
  unsigned int bad;       /* of these */
  unsigned int suspicion; /* the evidence against it, thousandths of what rolls it back */
};

struct MsgRollout {
  MsgServerName service;
  MsgServerName target;  /* version */
  MsgServerName before;  /* version that served when the order was accepted; "": none known */
  unsigned hyper number; /* index of the order in the log */
  hyper limit_ms;        /* within which it is to end */
  MsgRolloutPhase phase;
  MsgTrial trial;
  string why<255>;       /* of the phase */
};

/* The newest of each service. */
struct MsgRollouts {
  unsigned hyper index; /* in the log, of the latest change */
  MsgRollout rollouts<FT_ROLLOUTS_MOST>;
};

/* ---- Freshness, membership and leases ---- */

struct MsgHello {
  unsigned hyper number;      /* counts up; the answer repeats it */
  unsigned hyper revision;    /* catalogue in force at the sender */
  unsigned hyper lease_epoch; /* newest lease known at the sender */
  unsigned hyper incarnation; /* of the sender's process */
  unsigned hyper live_version; /* of the live instances known at the sender */
  unsigned hyper blame_index;  /* of the account of ended servers known at the sender */
  bool leaving;
  string region<FT_NAME_MOST>;
  string failure_domain<FT_NAME_MOST>;
};

struct MsgLease {
  string pool<FT_NAME_MOST>;
  unsigned int holder; /* 0: none */
  unsigned hyper epoch;
};

struct MsgFresh {
  unsigned hyper number;
  unsigned hyper revision;
  unsigned hyper lease_epoch;
  bool has_catalogue; /* sent when the asker's revision is older */
  string catalogue<FT_TEXT_MOST>;
  bool has_leases;
  MsgLease leases<4096>;
  unsigned hyper live_version;
  bool has_live;           /* sent when the asker's version differs */
  unsigned int live<1024>; /* instances that said hello lately */
  MsgBlame blame<1>;       /* contents with two ends or more; none: the asker has it */
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
  MSG_OP_ENDED = 8,
  MSG_OP_SURVIVED = 9,
  MSG_OP_CLEARED = 10,
  MSG_OP_ROLLOUT_START = 11,
  MSG_OP_ROLLOUT_STEP = 12
};

struct MsgChange {
  string change_id<FT_NAME_MOST>;
  string author<FT_NAME_MOST>;
  unsigned hyper base;
  hyper wall_ms;
  string catalogue<FT_TEXT_MOST>;
};

struct MsgClaim {
  string key<127>;
  string digest<64>;
  unsigned int entry;
  unsigned hyper incarnation;
  string request_id<FT_NAME_MOST>;
  hyper wall_ms;
};

enum MsgClaimEnd { MSG_CLAIM_RELEASED = 0, MSG_CLAIM_ANSWERED = 1, MSG_CLAIM_UNKNOWN = 2 };

struct MsgClaimDone {
  string key<127>;
  unsigned int entry;
  unsigned hyper incarnation;
  string request_id<FT_NAME_MOST>;
  MsgClaimEnd end;
  hyper wall_ms;
};

struct MsgVoter {
  unsigned int id;
  unsigned hyper incarnation;
};

struct MsgVoters {
  MsgVoter voters<FT_VOTERS_MOST>;
};

struct MsgRecord {
  string id<FT_NAME_MOST>;
  string org<FT_NAME_MOST>;
  unsigned int reason;
  unsigned int tier;
  unsigned hyper revision;
  hyper retry_after_ms;
  hyper wall_ms;
  string rule<127>;
};

struct MsgRecords {
  MsgRecord records<4096>;
};

/* A document kept for whoever reads it; the highest number wins, whatever came first. */
struct MsgDocument {
  unsigned hyper number;
  opaque text<FT_TEXT_MOST>;
};

/* The process of a backend server has ended while it ran these contents. */
struct MsgEnded {
  MsgServerName server; /* of its lifetime */
  hyper wall_ms;        /* when it was noticed, by the proposer's time of day; for operators only */
  unsigned hyper contents<FT_CONTENTS_MOST>;
};

/* A backend server that was said to have ended has answered since. */
struct MsgSurvived {
  MsgServerName server;
};

/* What was said against these contents no longer counts. */
struct MsgCleared {
  unsigned hyper contents<FT_CONTENTS_MOST>;
};

/* An operator's order. */
struct MsgRolloutStart {
  MsgServerName service;
  MsgServerName target;
  MsgServerName before;
  hyper limit_ms;
  unsigned hyper after; /* number of the service's newest roll-out as the order was taken; 0: none */
};

/* A roll-out has come so far. */
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
case MSG_OP_REFUSALS: MsgRecords refusals;
case MSG_OP_DOCUMENT: MsgDocument document;
case MSG_OP_ENDED: MsgEnded ended;
case MSG_OP_SURVIVED: MsgSurvived survived;
case MSG_OP_CLEARED: MsgCleared cleared;
case MSG_OP_ROLLOUT_START: MsgRolloutStart rollout_start;
case MSG_OP_ROLLOUT_STEP: MsgRolloutStep rollout_step;
};

struct MsgEntry {
  unsigned hyper index;
  unsigned hyper term;
  opaque op<FT_TEXT_MOST>; /* MsgOp */
};

struct MsgVote {
  bool pre;
  unsigned hyper term;
  unsigned hyper incarnation;
  unsigned hyper last_index;
  unsigned hyper last_term;
  bool handed_over; /* the leader has stepped down in favour of the sender */
};

struct MsgVoted {
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

struct MsgAppended {
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
  opaque state<FT_BATCH_MOST>; /* MsgState */
};

/* A blank voter asks the others; see the comment atop raft.c. */
struct MsgBlank {
  unsigned hyper incarnation;
  bool answer;
  bool formed;
  MsgVoter voters<FT_VOTERS_MOST>;
};

struct MsgPropose {
  unsigned hyper number; /* the sender's own */
  opaque op<FT_TEXT_MOST>;
};

struct MsgVerdict {
  unsigned hyper number;
  int status;          /* FtStatus */
  unsigned int leader; /* FT_NOT_LEADER: whom to ask, 0 unknown */
  unsigned hyper revision;
  string text<1023>;
};

/* ---- Snapshot of the replicated state ---- */

struct MsgRevision {
  unsigned hyper revision;
  string change_id<FT_NAME_MOST>;
  string author<FT_NAME_MOST>;
  hyper wall_ms;
  string digest<64>;
  int status; /* FT_OK: accepted; else the verdict that a resend gets again */
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
  string catalogue<FT_TEXT_MOST>;
  MsgRevision history<65536>;
  MsgLease leases<4096>;
  unsigned hyper epoch;
  MsgClaimState claims<1048576>;
  MsgRecord refusals<65536>;
  MsgVoter voters<FT_VOTERS_MOST>;
  MsgDocument document;
  MsgBlame blame;
  MsgRollouts rollouts;
};

/* ---- Questions answered by any instance ---- */

enum MsgFindKind { MSG_FIND_ANSWER = 0, MSG_FIND_REFUSAL = 1, MSG_FIND_CLAIM = 2, MSG_FIND_HISTORY = 3,
                   MSG_FIND_IN_FORCE = 4, MSG_FIND_CATALOGUE = 5, MSG_FIND_SUSPECTS = 6 };

struct MsgFind {
  unsigned hyper number;
  MsgFindKind kind;
  string id<127>;
};

struct MsgFound {
  unsigned hyper number;
  int status;
  opaque body<FT_BATCH_MOST>;
};

enum MsgKind {
  MSG_ASK = 1, MSG_GRANT, MSG_REFUSE, MSG_PROGRESS, MSG_DONE, MSG_PAUSE, MSG_RESUME, MSG_TELL,
  MSG_TOLD, MSG_HELLO, MSG_FRESH, MSG_VOTE, MSG_VOTED, MSG_APPEND, MSG_APPENDED, MSG_SNAPSHOT,
  MSG_BLANK, MSG_PROPOSE, MSG_VERDICT, MSG_FIND, MSG_FOUND, MSG_STAND
};

union Msg switch (MsgKind kind) {
case MSG_ASK: MsgAsk ask;
case MSG_GRANT: MsgGrant grant;
case MSG_REFUSE: MsgRefuse refuse;
case MSG_PROGRESS: MsgProgress progress;
case MSG_DONE: MsgDone done;
case MSG_PAUSE: MsgGrant pause;
case MSG_RESUME: MsgGrant resume;
case MSG_TELL: MsgTell tell;
case MSG_TOLD: MsgTold told;
case MSG_HELLO: MsgHello hello;
case MSG_FRESH: MsgFresh fresh;
case MSG_VOTE: MsgVote vote;
case MSG_VOTED: MsgVoted voted;
case MSG_APPEND: MsgAppend append;
case MSG_APPENDED: MsgAppended appended;
case MSG_SNAPSHOT: MsgSnapshot snapshot;
case MSG_BLANK: MsgBlank blank;
case MSG_PROPOSE: MsgPropose propose;
case MSG_VERDICT: MsgVerdict verdict;
case MSG_FIND: MsgFind find;
case MSG_FOUND: MsgFound found;
case MSG_STAND: void; /* the leader hands over to the receiver */
};

/* ---- Links ---- */

/* Numbered messages of one sender's incarnation; first is the number of the first one. */
struct LinkBatch {
  unsigned int from;
  unsigned int to;
  unsigned hyper incarnation;
  unsigned hyper first;
  opaque messages<FT_BATCH_MOST>; /* Msg after Msg */
  opaque mac<32>;                 /* HMAC-SHA-256 over all above */
};

struct LinkAck {
  unsigned hyper incarnation; /* of the receiver */
  unsigned hyper next;        /* number expected next */
  bool accepted;
  opaque mac<32>;
};

program FT_LINK_PROGRAM {
  version FT_LINK_VERSION {
    LinkAck FT_LINK_DELIVER (LinkBatch) = 1;
  } = 1;
} = 0x20464f58;
