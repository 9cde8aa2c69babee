/* voter.h - runs the replicated log and its storage in a thread of its own. */
#ifndef VOTER_H
#define VOTER_H

#include "loop.h"

#include "msg.h"
#include "route.h"

typedef struct Voter Voter;

/* Called in the loop's thread unless stated otherwise. */
typedef struct
{
  /* Called in the log's thread, once for each newer document. Returns the parsed catalogue; NULL:
   * it is invalid, error says why. *text: the unpacked text, NULL if it cannot be unpacked. The
   * callback itself may be NULL. */
  RtCat *(*parse) (void *host, GBytes *document, uint64_t number, GBytes **text, FtError *error);
  /* bytes: a packed Msg for the voter at address to; the callback unrefs it. */
  void (*send) (void *host, uint32_t to, GByteArray *bytes);
  /* A newer document was committed; read it with voter_document. */
  void (*committed) (void *host);
  /* The table of server crashes has changed; read it with voter_crash_table. */
  void (*crashes_changed) (void *host);
  /* The table of roll-outs has changed; read it with voter_rollouts. */
  void (*rollouts_changed) (void *host);
  /* The table of listed versions has changed; read it with voter_listed. */
  void (*listed_changed) (void *host);
  /* The outcome of a proposal. FT_OK: committed. */
  void (*verdict) (void *host, uint64_t ticket, FtStatus status);
} VoterOps;

typedef struct
{
  uint32_t self;         /* IPv4 of this instance */
  const uint32_t *seeds; /* IPv4 of the voters that form the first set; copied */
  unsigned seed_count;
  bool may_bootstrap;
  unsigned losses; /* voters that may fail at the same time */
  const char *folder;
} VoterConf;

/* Loads the state from the folder and starts the thread. Errors name the file. */
FtStatus voter_new (const VoterConf *conf, Loop *loop, const VoterOps *ops, void *host, Voter **out,
                    FtError *error);
/* Stops the thread. If this voter leads, call voter_transfer_leadership some time before. */
void voter_free (Voter *voter);
/* Handles a packed Msg of another voter; takes ownership of bytes. */
void voter_receive (Voter *voter, uint32_t from, GByteArray *bytes);
/* Tells the log about another instance that is, or wants to become, a voter. */
void voter_add_peer (Voter *voter, uint32_t id);
/* Proposes a new document with this number, or an operation on one of the tables. Returns
 * a ticket that the later verdict callback refers to. voter_propose: 0 while too many bytes are
 * queued for a disk that is busy. */
uint64_t voter_propose (Voter *voter, uint64_t number, GBytes *document);
uint64_t voter_propose_op (Voter *voter, const MsgOp *op);
/* If this voter leads, asks another one to take over. */
void voter_transfer_leadership (Voter *voter);

typedef struct
{
  uint64_t term;
  uint32_t leader; /* 0: unknown */
  bool proved;     /* this voter leads and its lease excludes any other leader at this moment */
  bool broken;     /* its storage failed: it takes no part until the log is reloaded */
  bool member;     /* it is in the log's configuration */
  unsigned count;  /* voters in the log's configuration */
  uint32_t voters[FT_VOTERS_MAX];
} VoterStatus;

/* To be called from the loop's thread; never waits for the disk. */
void voter_status (Voter *voter, VoterStatus *status);
/* The newest committed document that this voter knows; NULL and *number 0: none. The caller unrefs
 * it. */
GBytes *voter_document (Voter *voter, uint64_t *number);
/* The same with its unpacked text, NULL: it could not be unpacked. */
GBytes *voter_document_text (Voter *voter, uint64_t *number, GBytes **text);
/* The catalogue parsed from it; NULL: it is invalid, error says why. The caller unrefs it. */
RtCat *voter_catalogue (Voter *voter, uint64_t *number, FtError *error);
/* The number of that document; 0: none. */
uint64_t voter_newest_number (Voter *voter);
/* The committed table of server crashes that this voter knows, a packed MsgCrashTable; NULL: none
 * yet. The caller unrefs it. */
GBytes *voter_crash_table (Voter *voter);
/* The same for roll-outs, a packed MsgRollouts. */
GBytes *voter_rollouts (Voter *voter);
/* The same for listed versions, a packed MsgListedTable. */
GBytes *voter_listed (Voter *voter);

#endif
