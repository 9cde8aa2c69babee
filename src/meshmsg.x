/* meshmsg.x - messages between the instances of a deployment that discovers its members, as XDR
 * (RFC 4506). Each message is sent one way over TCP, with the record marking of ONC RPC (RFC 5531,
 * section 11). The files meshmsg.h and meshmsg_xdr.c are generated from this one by `make generate`
 * and committed.
 *
 * Programs of two versions run side by side while a deployment is upgraded. New fields are added at
 * the end of a message: an older program ignores them, and a newer one takes them as zero if they
 * are missing. New kinds are sent only to peers whose hello says that they know them. */

const MESH_NAME_MAX = 127;
const MESH_TEXT_MAX = 8388608; /* enough for a voter's snapshot */
const MESH_DEPUTIES_MAX = 16;
const MESH_VOTERS_MAX = 16;
const MESH_RELAYS_MAX = 4;
const MESH_SERVERS_MAX = 8192;
const MESH_ORGS_MAX = 8192;
const MESH_CONNECTED_MAX = 32;
const MESH_FILL_UNKNOWN = 4294967295;
const MESH_SCHEDULER_CHANGED = 0; /* as request in MeshDone: the sender now uses another scheduler */

enum MeshRole { MESH_ENTRY = 1, MESH_VOTER = 2 };

/* The first message in each direction of a connection; sent again when a field changes. */
struct MeshHello {
  unsigned int address;     /* IPv4 address of the sender, its identity */
  unsigned hyper lifetime;  /* random number, chosen at each start of the sender */
  MeshRole role;
  string domain<MESH_NAME_MAX>;
  bool leaving;
  unsigned hyper document;  /* version of the catalogue in force at the sender; 0: none */
  bool cut_off;             /* reaches no backend server, so it cannot relay for others */
  bool origins;             /* knows the messages about the origins of streams */
  bool listed;              /* knows MeshListed, and MSG_OP_LISTED in the log */
};

/* From the voter in charge to an entry: other entries that relay its connections to servers that it
 * cannot reach. Sent when they change. */
struct MeshRelays {
  unsigned int relays<MESH_RELAYS_MAX>; /* IPv4 addresses, in order of preference */
};

/* From a voter, several times a second: the leader and the newest versions. */
struct MeshView {
  unsigned hyper term;
  unsigned int leader;      /* IPv4 address; 0: unknown */
  bool proved;              /* the sender leads, confirmed by a recent majority */
  unsigned hyper document;  /* newest version of the catalogue known to be committed */
  unsigned int voters<MESH_VOTERS_MAX>;
  unsigned int entries;     /* number of entries connected to the sender */
  unsigned int deputies<MESH_DEPUTIES_MAX>; /* entries that schedule when no voter
                                                 does, in order of preference */
  bool reading;             /* the sender has the list of servers or reads it from the platform */
};

/* A committed catalogue: complete and compressed, or as a delta against an earlier one (delta.h). */
struct MeshDocument {
  unsigned hyper number;
  unsigned hyper base;      /* version that the delta applies to; 0: text is complete */
  opaque text<MESH_TEXT_MAX>;
};

enum MeshServerState { MESH_SERVER_LIVE = 0, MESH_SERVER_LEAVING = 1 };

struct MeshServer {
  string id<MESH_NAME_MAX>;   /* of the server's lifetime */
  string name<MESH_NAME_MAX>; /* the server's own name */
  hyper born_ms;               /* Unix time at which the lifetime began; 0: unknown */
  string service<MESH_NAME_MAX>;
  string domain<MESH_NAME_MAX>;
  unsigned int ip;
  unsigned int port;
  unsigned int slots;
  MeshServerState state;
  unsigned int cold_ms;      /* slow for this long after its start */
  string software<MESH_NAME_MAX>; /* version of its software */
};

typedef string MeshName<MESH_NAME_MAX>;

enum MeshListKind {
  MESH_LIST_SAME = 0,   /* unchanged: the servers with this digest */
  MESH_LIST_WHOLE = 1,  /* all servers; in a MeshPackedList only */
  MESH_LIST_CHANGES = 2 /* changes of the list whose digest is base */
};

/* The platform's list of servers, as read by one voter. */
struct MeshList {
  hyper age_us;              /* since the platform was queried */
  unsigned int digest;       /* of all servers in the list */
  MeshListKind kind;
  unsigned int base;
  MeshServer servers<MESH_SERVERS_MAX>; /* for MESH_LIST_CHANGES: new or changed ones */
  MeshName removed<MESH_SERVERS_MAX>;   /* for MESH_LIST_CHANGES: their ids */
};

/* A compressed list: all servers, in reply to MESH_LIST_REQUEST, or many changes. */
struct MeshPackedList {
  hyper age_us;                  /* since the platform was queried */
  opaque list<MESH_TEXT_MAX>;   /* a compressed MeshList, whose age_us is not used */
};

/* ---- Between an entry and its scheduler ---- */

struct MeshAsk {
  unsigned hyper request;    /* number, unique within one lifetime of the entry */
  string service<MESH_NAME_MAX>;
  string org<MESH_NAME_MAX>;
  unsigned int tier;         /* 0 is the highest */
  bool stream;
  bool repeatable;
  unsigned int prompt_tokens;
  unsigned int output_tokens; /* expected */
  unsigned int spent_tokens; /* granted to this entry from the organisation's limit by other
                                schedulers since its last message to this one ... */
  unsigned int spent_ms;     /* ... over this time, until now */
  unsigned int org_fill;     /* per mille of the organisation's limit that was left at another
                                scheduler when it last decided for this entry ... */
  unsigned int org_fill_ms;  /* ... so long ago; MESH_FILL_UNKNOWN: no other has */
  unsigned int cost_tokens;   /* to charge to the organisation's limit; 0: already charged */
  unsigned int route;         /* digest of the route's name */
  unsigned hyper shared_part; /* identity of the prompt's first part; 0: none */
  unsigned hyper content;     /* identifies what is asked, the same in each retry of the caller;
                                 0: unknown */
  unsigned int gap_ms;        /* longest gap between two events that is on time; 0: no limit */
  hyper aim_in_us;            /* the first event, or the answer, is on time until then */
  hyper limit_in_us;          /* the caller gives up unless the answer has begun by then */
  hyper end_in_us;           /* the caller's time limit for the whole answer */
  unsigned int kept<MESH_CONNECTED_MAX>; /* digests of the ids of servers to which the sender
                                            has idle connections */
  string avoid<MESH_NAME_MAX>; /* server on which this request failed; "": none */
  bool running;               /* already granted by another scheduler: only to be accounted for */
  string server<MESH_NAME_MAX>; /* on which it runs */
  string software<MESH_NAME_MAX>; /* only servers of this version may run it; "": any */
};

/* What an entry knows of an organisation's use of its limit at other schedulers. */
struct MeshAccount {
  string org<MESH_NAME_MAX>;
  unsigned int spent_tokens; /* this and the following as in MeshAsk */
  unsigned int spent_ms;
  unsigned int org_fill;
  unsigned int org_fill_ms;
};

/* From an entry to its new scheduler, after a MeshAsk for each of its running requests. */
struct MeshReportEnd {
  unsigned int running; /* number of these requests */
  MeshAccount accounts<MESH_ORGS_MAX>;
  unsigned int entries; /* number of entries in the last view of a leader; 0: unknown */
};

struct MeshGrant {
  unsigned hyper request;
  string server<MESH_NAME_MAX>;
  string name<MESH_NAME_MAX>; /* the server's own name; "": the same as server */
  unsigned int ip;             /* address, with port, for an entry without a list of servers; 0: the
                                  server is no longer in the scheduler's list */
  unsigned int port;
  unsigned int max_idle_ms;   /* connections that were idle for longer are not used for a request
                                  that must not run twice */
  unsigned int list_age_ms;    /* of the scheduler's list, since the platform was queried */
  unsigned int org_fill;     /* per mille of the organisation's limit that can be used now */
  bool paced;                /* the scheduler limits the server's rate or takes it for brittle: the
                                entry reports by MeshNotice also that an answer names neither */
  string software<MESH_NAME_MAX>; /* version of the server's software; "": unknown */
};

struct MeshRefuse {
  unsigned hyper request;
  unsigned int reason;       /* FtReason */
  unsigned int retry_after_ms;
  string rule<MESH_NAME_MAX>;
  unsigned int org_fill;     /* as in MeshGrant */
};

/* The first event of the answer has arrived. */
struct MeshFirstEvent {
  unsigned hyper request;
  hyper after_us; /* since the request was sent */
};

/* No part of the answer has arrived for longer than expected; the entry is still waiting for it. */
struct MeshSilence {
  unsigned hyper request;
};

/* The request has ended, or was withdrawn while it waited. */
struct MeshDone {
  unsigned hyper request;
  unsigned int outcome;      /* SchedOutcome */
  hyper event_us;            /* mean time between events; 0: unknown */
  hyper answer_us;           /* from sending the request to the end of the answer; 0: unknown */
  bool broke;                /* the connection broke while the request was sent ... */
  unsigned int conn_idle_ms;    /* ... after it had been idle for so long; 0: it was new */
};

/* What a server announced about itself in an answer to an entry. */
struct MeshNotice {
  unsigned hyper request;    /* 0: the request was granted by another scheduler */
  unsigned int age_ms;       /* of the answer, if request is 0 */
  string server<MESH_NAME_MAX>;
  unsigned int rate_milli;   /* accepted rate, thousandths of a request a second; 0: none named */
  bool leaving;
  unsigned int backoff_ms;   /* it wants no requests from the entry for so long from now */
  unsigned int brittle_milli; /* thousandths of a rejection a second that it bears; 0: none named */
};

/* ---- Contents that were running when servers crashed ---- */

const MESH_CONTENTS_MAX = 64;
const MESH_CRASHES_MAX = 8;
const MESH_SUSPECTS_MAX = 1024;

/* From an entry: a server crashed while it ran these contents. Repeated until MeshCrashAck. */
struct MeshCrash {
  unsigned hyper number; /* chosen by the sender */
  string server<MESH_NAME_MAX>;
  unsigned int age_ms;   /* since the crash was noticed */
  unsigned hyper contents<MESH_CONTENTS_MAX>;
};

/* From the leader: the crash is in the replicated crash table. */
struct MeshCrashAck {
  unsigned hyper number;
};

/* From an entry: servers answered these completely, so they do not crash servers. */
struct MeshAnswered {
  unsigned hyper contents<MESH_CONTENTS_MAX>;
};

/* From an entry: a server whose crash was reported has answered since. */
struct MeshCrashRetracted {
  string server<MESH_NAME_MAX>;
};

struct MeshSuspect {
  unsigned hyper content;
  unsigned int ends;     /* crashes of servers that ran it */
  unsigned int servers<MESH_CRASHES_MAX>; /* digests of the ids of the latest ones */
};

/* From a voter: all contents with two or more crashes. */
struct MeshCrashTable {
  unsigned hyper index; /* in the log, of the crash table's latest change */
  MeshSuspect suspects<MESH_SUSPECTS_MAX>;
};

/* ---- Versions of servers ---- */

const MESH_VERSIONS_MAX = 256;

enum MeshVersionsPhase {
  MESH_VERSIONS_TRYING = 0, /* only the leader grants requests to servers of the target */
  MESH_VERSIONS_MOVED = 1,  /* only servers of the target get requests */
  MESH_VERSIONS_ROLLED_BACK = 2    /* servers of the target get none */
};

/* A service for which a roll-out was ordered. */
struct MeshVersions {
  string service<MESH_NAME_MAX>;
  string target<MESH_NAME_MAX>;
  string before<MESH_NAME_MAX>;
  MeshVersionsPhase phase;
};

/* From a voter: all services for which a roll-out was ever ordered. */
struct MeshRollouts {
  unsigned hyper index; /* in the log, of the latest order or phase */
  MeshVersions services<MESH_VERSIONS_MAX>;
};

/* ---- Origins of streams ---- */

const MESH_ORIGINS_MAX = 64;

/* The servers that began a stream: only servers of that version may go on with it. */
struct MeshOrigin {
  unsigned hyper stream;          /* see origins_stream_id */
  string service<MESH_NAME_MAX>;
  string software<MESH_NAME_MAX>; /* version */
  unsigned int left_ms;           /* until the caller gives the stream up */
};

/* From an entry to voters: streams of which it has passed on the first event. */
struct MeshOrigins {
  MeshOrigin streams<MESH_ORIGINS_MAX>;
};

/* From an entry: which servers began this stream? */
struct MeshOriginAsk {
  unsigned hyper stream;
};

/* The answer to it. */
struct MeshOriginReply {
  MeshOrigin origin; /* service "": not known */
};

const MESH_LISTED_MAX = 4096;

struct MeshListedVersion {
  string service<MESH_NAME_MAX>;
  string software<MESH_NAME_MAX>; /* version */
  unsigned int age_ms;            /* since it was listed last */
  bool in_use;                    /* gets requests without an order */
};

/* From the leader to entries: all versions whose servers were listed within the last minute. */
struct MeshListed {
  MeshListedVersion versions<MESH_LISTED_MAX>;
};

enum MeshKind {
  MESH_HELLO = 1, MESH_VIEW, MESH_DOCUMENT, MESH_LIST, MESH_ASK, MESH_GRANT, MESH_REFUSE,
  MESH_FIRST_EVENT, MESH_SILENCE, MESH_DONE, MESH_RAFT,
  MESH_LIST_REQUEST, MESH_PACKED_LIST, MESH_ALIVE,
  MESH_CRASH, MESH_CRASH_ACK, MESH_ANSWERED, MESH_CRASH_RETRACTED, MESH_CRASH_TABLE,
  MESH_ROLLOUTS, MESH_NOTICE, MESH_REPORT_END, MESH_RELAYS,
  MESH_ORIGINS, MESH_ORIGIN_ASK, MESH_ORIGIN_REPLY, MESH_LISTED
};

union MeshMsg switch (MeshKind kind) {
case MESH_HELLO: MeshHello hello;
case MESH_VIEW: MeshView view;
case MESH_DOCUMENT: MeshDocument document;
case MESH_LIST: MeshList list;
case MESH_ASK: MeshAsk ask;
case MESH_GRANT: MeshGrant grant;
case MESH_REFUSE: MeshRefuse refuse;
case MESH_FIRST_EVENT: MeshFirstEvent first;
case MESH_SILENCE: MeshSilence silent;
case MESH_DONE: MeshDone done;
case MESH_LIST_REQUEST: void; /* the sender lacks the base of the changes and wants all servers */
case MESH_PACKED_LIST: MeshPackedList packed;
case MESH_ALIVE: void; /* nothing has changed since the last hello or view */
case MESH_CRASH: MeshCrash ended;
case MESH_CRASH_ACK: MeshCrashAck known;
case MESH_ANSWERED: MeshAnswered answered;
case MESH_CRASH_RETRACTED: MeshCrashRetracted survived;
case MESH_CRASH_TABLE: MeshCrashTable blamed;
case MESH_ROLLOUTS: MeshRollouts rollouts;
case MESH_NOTICE: MeshNotice notice;
case MESH_REPORT_END: MeshReportEnd reported;
case MESH_RELAYS: MeshRelays relays;
case MESH_ORIGINS: MeshOrigins origins;
case MESH_ORIGIN_ASK: MeshOriginAsk origin_ask;
case MESH_ORIGIN_REPLY: MeshOriginReply origin_reply;
case MESH_LISTED: MeshListed listed;
case MESH_RAFT: opaque raft<MESH_TEXT_MAX>; /* a packed Msg (msg.x), between voters */
};
