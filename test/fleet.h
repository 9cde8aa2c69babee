/* fleet.h - a small deployment of real foxtailnode processes on loopback. The test itself plays the
 * platform's server list, the backend servers, the operators and the callers, all on one loop. */
#ifndef FLEET_H
#define FLEET_H

#include "hcli.h"
#include "hsrv.h"
#include "proxy.h"
#include "rules.h"

#include <sys/types.h>

#define FLEET_VOTERS       9     /* the first voter_count found the cluster; others can join it */
#define FLEET_CALLER_PORT  18080 /* on which an entry serves callers */
#define FLEET_READY_PORT   18081
#define FLEET_CONTROL_PORT 18082
#define FLEET_LINK_PORT    18083
#define FLEET_METRICS_PORT 18084
#define FLEET_RELAY_PORT   18085 /* on which entries relay for each other */
#define FLEET_ENTRIES      3     /* usually */
#define FLEET_ENTRIES_MAX  12    /* Fleet.entry_count at most */
#define FLEET_SERVERS      4
#define FLEET_HIDDEN       ".hidden"      /* added to the name of its settings file */
#define FLEET_CRASH_PREFIX "ends-servers" /* a body with it crashes its server */
#define FLEET_CRASH_PART                                                                           \
  "dead" /* so does a part of the prompt whose id begins so, if not the last */

typedef enum
{
  SERVER_HEALTHY,
  SERVER_RESET,      /* reads the request, then resets the connection; see Fleet.resets */
  SERVER_CUT_STREAM, /* aborts a stream in the middle of its third event */
  SERVER_PAUSING,    /* sends nothing for Fleet.pause_ms after a stream's second event */
  SERVER_FULL,       /* answers 503 and states that it did not run the request */
  SERVER_REPLACED,   /* another server answers at its address */
  SERVER_NO_ANSWER,  /* never answers */
  SERVER_SLOW_CRASH, /* crashes in two steps: listener and one call first, the rest later */
  SERVER_FAILING,    /* fails four in ten of the requests that it runs */
  SERVER_SLOW,       /* answers plain calls after Fleet.slow_ms */
  SERVER_SILENT,     /* sends nothing more after a stream's second event */
  /* The next three send bytes without end, until the connection closes: Fleet.flood_bytes every
   * Fleet.flood_ms. */
  SERVER_FLOOD_EVENT,  /* of one event, after Fleet.flood_after whole ones of a stream */
  SERVER_FLOOD_REFUSE, /* in the body of an answer 503 that states that nothing was run */
  SERVER_FLOOD_PLAIN   /* in the body of the answer to a plain call */
} ServerMode;

typedef struct Fleet Fleet;

/* A simulated backend server (backend.c). It crashes soon after it starts to run a crash body,
 * which breaks off all else that it runs. After Fleet.restart_ms it listens again at the same
 * address under a new id. */
typedef struct
{
  Fleet *fleet;
  unsigned number, restarts;
  char id[32];                /* of its incarnation */
  char version[8];            /* of its software */
  SockAddr addr, listen_addr; /* the address in the list, and the one that it listens at */
  HSrv *srv;                  /* NULL: it crashed and has not restarted yet */
  Proxy *proxy;               /* forwards from addr to listen_addr; NULL: both are the same */
  ServerMode mode;
  bool leaving, listed;
  double rate;            /* requests per second that its answers announce as its limit; 0: none */
  bool announces_leaving; /* its answers say that it leaves, whatever the list says */
  bool refuses_all;       /* answers 503 to everything, as SERVER_FULL does, whatever its mode */
  double backoff_s;       /* the Retry-After of such an answer; 0: none */
  unsigned arrived;       /* requests received, of all incarnations */
  unsigned capacity;      /* requests that it runs at once; it rejects more; 0: no bound */
  /* it announces this number of rejections a second, and crashes when it has made more; 0: none */
  unsigned brittleness;
  unsigned falls;      /* crashes for too many rejections, of all incarnations */
  GArray *rejected_at; /* when it rejected requests for want of room, this incarnation */
  LoopTimer fall_timer;
  GPtrArray *streams; /* running streams */
  GPtrArray *floods;  /* answers that never end */
  GPtrArray *delayed; /* plain calls to be answered later */
  GPtrArray *unread;  /* HCall, whose answers are not read yet; see Fleet.keeps_unread */
  /* the stream that ended last, whose end a crash may still take from its caller */
  char ended_id[64];
  int64_t ended_at;
  HCall *crash_call; /* a running call with a crash body; NULL: none */
  LoopTimer crash_timer, restart_timer;
} FleetServer;

/* A server started to run a crash body, or crashed after it had run it. */
typedef struct
{
  char body[32], request[32];
  const FleetServer *server;
  bool crashed; /* false: the run started */
  int64_t at;
} FleetCrashEvent;

typedef struct
{
  char name[16], folder[256], settings[256];
  uint32_t ip;
  bool voter;
  bool older;          /* works as an older program (olderwrap.c); set it before the start */
  unsigned files;      /* descriptors that it may have open; 0: as many as the test */
  size_t file_size;    /* bytes that a file of it may have at first; 0: no bound */
  bool starts_without; /* its start finds the settings file renamed: FLEET_HIDDEN */
  pid_t pid;           /* 0: not running */
  int status;          /* wait status of its last exit that was no fleet_kill */
  Proxy *proxy;        /* before its port for links to other instances; NULL: none */
  ProxyCut cut;        /* whether its connections to servers are cut off */
  char log[256];
  char detour[256]; /* file that says where its connects to servers end up (connectwrap.c) */
} FleetNode;

struct Fleet
{
  Loop *loop;
  HCli *cli;
  char base[128];
  FleetNode voters[FLEET_VOTERS], entries[FLEET_ENTRIES_MAX];
  unsigned entry_count; /* set it before fleet_add_proxies and fleet_start_all */
  unsigned voter_count; /* the same */
  unsigned losses;      /* the setting of that name */
  FleetNode spare;      /* no deputy; not started by fleet_start_all */
  FleetServer servers[FLEET_SERVERS];
  int silent_fd;                /* listens where connects of cut entries hang; 0: none */
  HSrv *list;                   /* serves the platform's server list */
  unsigned list_readings;       /* of the server list, by all instances */
  uint64_t version;             /* of the newest acknowledged catalogue */
  GHashTable *run_counts;       /* request id: how often a server started to run it */
  GHashTable *lost_counts;      /* request id: how often a server lost it, see fleet_lost_count */
  GHashTable *crash_run_counts; /* crash body: how often a server started to run it */
  GArray *crash_events;         /* FleetCrashEvent, in order */
  GHashTable *senders;  /* request id: number of the entry it was sent to, 1 for the first */
  GArray *arrivals;     /* Arrival at servers; its server is number x 1000 + restarts */
  unsigned crash_count; /* of all servers so far */
  unsigned event_ms;    /* time between a stream's events */
  bool all_versions;    /* the setting of that name */
  bool own_sources;  /* connections of nodes come from their addresses; set it before the start */
  bool marks_events; /* events name the version of the server that sent them */
  unsigned pause_ms; /* silence in a stream of a SERVER_PAUSING */
  unsigned resets;   /* of all SERVER_RESET, after which they are healthy; 0: no bound */
  unsigned flood_bytes, flood_ms, flood_after; /* see SERVER_FLOOD_EVENT */
  bool flood_comments;   /* a SERVER_FLOOD_EVENT sends comments instead of an event */
  unsigned plain_ms;     /* time that a plain call takes */
  unsigned slots;        /* of each server, as listed */
  unsigned plain_bytes;  /* length of a plain answer; 0: its body is the request's id */
  bool keeps_unread;     /* such answers can be aborted until they are read: fleet_abort_unread */
  unsigned slow_ms;      /* time that a plain call takes at a SERVER_SLOW */
  unsigned budget_slack; /* the entries' setting of that name */
  unsigned start_wait_s; /* the setting of that name */
  unsigned entry_seeds;  /* how many of the first voters the entries have as seeds */
  unsigned header_timeout_ms; /* the catalogue's HeaderTimeoutMs; 0: not set */
  unsigned grace_s;           /* the setting of that name */
  bool unchecked;             /* the catalogue names no status check of the servers */
  unsigned restart_ms;        /* from a server's crash to its restart */
  const char *key;            /* of the callers; NULL: "key", "": none */
  uint64_t next_id;
};

/* An answer to a caller or operator. */
typedef struct
{
  bool done, broken; /* broken: the connection ended before the answer did */
  unsigned status;
  GString *body;
  char location[128], connection[32];
  bool has_signature; /* it names the server that answered */
  bool framed;        /* it has a length or chunks; else its connection's end ends it */
  bool retry_after;   /* it has a Retry-After field */
  Fleet *fleet;
  int64_t sent_at, done_at; /* done_at: valid if done */
  HXfer *xfer;
} Answer;

/* Starts the server list and the backend servers, but no process. */
Fleet *fleet_new (void);
void fleet_free (Fleet *fleet); /* kills the processes that it started */
void fleet_start (Fleet *fleet, FleetNode *node, bool first_start);
void fleet_signal (FleetNode *node, int number);
/* Whether the process handles SIGHUP and SIGTERM; until then, just started, they end it. */
bool fleet_handles_signals (const FleetNode *node);
/* Sends SIGKILL and waits for the process. */
void fleet_kill (FleetNode *node);
/* Deletes all files of the node's data folder. */
void fleet_wipe_data (FleetNode *node);
/* Crashes a backend server now, as a crash body does. */
void fleet_crash_server (FleetServer *server);
/* An operator's call to the voter in charge; retries until one answers. */
void fleet_operator_call (Fleet *fleet, const char *method, const char *path, Answer *answer);
/* The text of the catalogue as fleet_put_catalogue puts it, with this version; g_free. */
char *fleet_catalogue_text (const Fleet *fleet, uint64_t version);
/* The same with about so many bytes, which hardly compress; g_free. */
char *fleet_large_catalogue (const Fleet *fleet, uint64_t version, size_t size);
/* Like fleet_operator_call, with a body. */
void fleet_operator_call_body (Fleet *fleet, const char *method, const char *path, const char *body,
                               Answer *answer);
/* One try of an operator's call at one voter; status 0: it did not answer. */
void fleet_try_operator_call (Fleet *fleet, const FleetNode *voter, const char *method,
                              const char *path, const char *body, Answer *answer);
/* Whether the process has exited; if so, reaps it and sets node->status. */
bool fleet_has_exited (FleetNode *node);
/* Puts a proxy before every link port and every server. Call it before any node is started. */
void fleet_add_proxies (Fleet *fleet);
/* Cuts the entry off from all servers, also those that restart meanwhile; its links and its callers
 * are not concerned. Needs the proxies. */
void fleet_cut_from_servers (Fleet *fleet, FleetNode *entry, ProxyCut how);
void fleet_heal (Fleet *fleet, FleetNode *entry);
/* Like fleet_add_proxies, for servers of the test's own, which listen at the listed addresses. */
void fleet_add_detours (Fleet *fleet);
/* Cuts the entry off from all servers, and sends it plain calls until it relays at once. */
void fleet_relay_all (Fleet *fleet, FleetNode *entry);
/* Value of a counter of the node's metrics: "NAME". */
uint64_t fleet_counter (Fleet *fleet, const FleetNode *node, const char *name);
/* Requests that the entry has sent through relays. */
uint64_t fleet_relayed_count (Fleet *fleet, const FleetNode *entry);
/* Cuts the links that the node has dialled to another one, or heals that. Needs the proxies and
 * Fleet.own_sources. */
void fleet_cut_link (const FleetNode *node, FleetNode *to, ProxyCut how);
/* The node's new connections to the platform's list hang. Not beside fleet_cut_from_servers. */
void fleet_cut_from_list (const Fleet *fleet, const FleetNode *node);
void fleet_heal_list (const FleetNode *node);
/* Starts three voters and all entries, puts a first catalogue and waits until entries are ready. */
void fleet_start_all (Fleet *fleet);

/* Runs the loop until done (data) is true. Fails the test after a minute, with what in the message.
 */
void fleet_run_until (Fleet *fleet, bool (*done) (void *data), void *data, const char *what);
void fleet_run_for (Fleet *fleet, int64_t us);

/* Sends a request and returns at once. path: "/plain/..", "/once/.." or "/stream/..". id: the
 * request id that the caller names. */
void fleet_send (Fleet *fleet, const FleetNode *entry, const char *path, const char *id,
                 Answer *answer);
/* Sends a request and waits for the end of the answer. */
void fleet_call (Fleet *fleet, const FleetNode *entry, const char *path, const char *id,
                 Answer *answer);
/* Like fleet_send and fleet_call, with a given body. */
void fleet_send_body (Fleet *fleet, const FleetNode *entry, const char *path, const char *id,
                      const char *body, Answer *answer);
void fleet_call_body (Fleet *fleet, const FleetNode *entry, const char *path, const char *id,
                      const char *body, Answer *answer);
/* Like fleet_send_body, with the parts of a prompt: "ID:TOKENS,ID:TOKENS". */
void fleet_send_parts (Fleet *fleet, const FleetNode *entry, const char *path, const char *id,
                       const char *parts, const char *body, Answer *answer);
/* Takes a stream up again after an event. resumes: id of the attempt that brought its first event;
 * NULL: not named. */
void fleet_resume (Fleet *fleet, const FleetNode *entry, const char *path, const char *id,
                   unsigned last_event, const char *resumes, const char *body, Answer *answer);
void fleet_answer_clear (Answer *answer);
/* Puts a catalogue of the next version, at one voter after another, until one accepts it. */
void fleet_put_catalogue (Fleet *fleet);
/* One try to put the next version, at one voter. True: it was acknowledged. */
bool fleet_try_put_catalogue (Fleet *fleet, const FleetNode *voter);
/* Sends the newest acknowledged catalogue again to one voter. Returns the status; 0: no answer. */
unsigned fleet_resend_catalogue (Fleet *fleet, const FleetNode *voter);
/* The catalogue version that one voter reports; 0: none. */
uint64_t fleet_try_get_version (Fleet *fleet, const FleetNode *voter);
/* The catalogue version from any voter that answers; retries until one does. */
uint64_t fleet_get_version (Fleet *fleet);
/* Waits until the entry is ready and has that version in force. */
void fleet_await_version (Fleet *fleet, const FleetNode *entry, uint64_t version);
/* The voter in charge: the one that answers operators without redirecting; NULL: none does. */
FleetNode *fleet_leader (Fleet *fleet);
void fleet_get_metrics (Fleet *fleet, const FleetNode *node, Answer *answer);
/* Waits until the node's start is done, so that it answers on its metrics port. */
void fleet_await_metrics (Fleet *fleet, const FleetNode *node);
bool fleet_is_ready (Fleet *fleet, const FleetNode *entry);
/* How often a server started to run the request. */
unsigned fleet_run_count (const Fleet *fleet, const char *id);
/* How often a server that got the request refused it, failed it, reset it, broke it off or fell
 * silent for good. */
unsigned fleet_lost_count (const Fleet *fleet, const char *id);
/* How often a server started to run the crash body, or a prompt with that crash part. */
unsigned fleet_crash_run_count (const Fleet *fleet, const char *body);
/* Aborts those answers of servers that are not read yet and whose request ids are s0 to s(below -
 * 1). Returns their number. */
unsigned fleet_abort_unread (Fleet *fleet, unsigned below);
/* Answers the call if it is a status check, for the server that it names. */
bool fleet_answer_check (HCall *call);
/* Everything that a node has logged so far; free with g_free. */
char *fleet_read_log (const FleetNode *node);

#endif
