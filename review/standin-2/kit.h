/* kit.h - a small deployment of foxtailnode on loopback, with stand-ins for all others.
 *
 * The platform's list, the replicas, the operator and the requesters are threads of the test. Each
 * speaks as the users' pages say. All waits are on the real clock. */
#ifndef KIT_H
#define KIT_H

#include <glib.h>
#include <stdbool.h>

#define KIT_VOTERS  3
#define KIT_ENTRIES 3

/* Ports, the same on all addresses of the deployment. */
#define KIT_CALLERS 18080
#define KIT_CONTROL 18082
#define KIT_SERVER  18090

/* A message in HTTP/1.1. */
typedef struct
{
  char *start;   /* first line */
  GString *head; /* header lines */
  GString *body;
  bool whole; /* the body is complete as its framing says */
  int status; /* of an answer; 0: there was none */
} Msg;

void msg_clear (Msg *msg);
/* Copies a header's value to out; false: it is not there. */
bool msg_field (const Msg *msg, const char *name, char *out, size_t size);

typedef struct Replica Replica;
/* Called for each request but status checks. Writes to fd; false: the connection is closed. */
typedef bool (*ReplicaHandler) (Replica *replica, int fd, const Msg *request);

struct Replica
{
  const char *service;
  unsigned number;
  char ip[16];
  char id[24];
  unsigned life;
  bool listed;
  bool stopped;      /* between two processes */
  double busy_until; /* all its slots are taken until then, see now_s */
  gint64 born;       /* Unix milliseconds; 0: it does not say */
  int listener;      /* -1: none */
  GList *open;       /* descriptors of connections, as pointers */
  ReplicaHandler handler;
  void (*closing) (int fd); /* called before a connection is closed; may be NULL */
};

/* Opens DIR/record.txt, makes a temporary folder and chooses addresses; exits with 2 if it cannot.
 */
void kit_open (const char *record_folder);
bool kit_trouble (void); /* false: TROUBLE=0 */
void note (const char *format, ...) G_GNUC_PRINTF (1, 2);
double now_s (void); /* since kit_open */
void sleep_ms (unsigned ms);

/* Starts the list, the voters and the entries. */
void kit_start (void);
/* Sends SIGHUP to an entry, as the platform does after a change of the settings file. */
void kit_hup_entry (unsigned number);
/* Waits until the replica has a free slot. */
void replica_wait_for_slot (const Replica *replica);
/* How often processes of the role ended by themselves. */
unsigned kit_own_ends (const char *role, unsigned number);
unsigned kit_own_ends_least (const char *role, unsigned at_least);
/* Ends all processes, notes the result and exits with its code: 0 held, 1 broken, 2 did not run. */
void kit_finish (int code, const char *why) G_GNUC_NORETURN;

Replica *replica_new (const char *service, ReplicaHandler handler);
/* Closes its port and resets all its connections, as a process does that ends. */
void replica_crash (Replica *replica);
/* Starts it again, with a new Id or with the one that it had. */
void replica_restart (Replica *replica, bool same_id);
/* Its process is killed and started again under the same Id, ms later. The killed process's
 * connections end in order, as those of a process do that had read all. The listening socket is its
 * supervisor's and stays: what connects meanwhile waits for the new process. */
void replica_kill_and_restart (Replica *replica, unsigned ms);
/* Crashes it now; it is back after the time, with a new Id. */
void replica_crash_for (Replica *replica, unsigned ms);

/* One attempt; status 0: no answer. */
void call (const char *ip, int port, const char *method, const char *path, const char *fields,
           const char *body, unsigned timeout_ms, Msg *answer);
/* Sends a desired state as the operator of the pages does, until it gets a clear answer or the time
 * is over. Returns the final status, 0: none was clear. */
int operator_put (const char *state, unsigned max_ms);
const char *entry_ip (unsigned number);
const char *voter_ip (unsigned number);
bool write_all (int fd, const void *data, size_t size);

#endif
