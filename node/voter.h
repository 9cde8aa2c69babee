/* voter.h - a voter's thread: the replicated log with its disk. */
#ifndef VOTER_H
#define VOTER_H

#include "loop.h"

#include "msg.h"
#include "route.h"

typedef struct Voter Voter;

/* Called in the loop's thread. */
typedef struct
{
  /* Called in the log's thread, once for each newer document: what it says, and its text, NULL if
   * it cannot be unpacked. NULL: it cannot be read, error says why. May itself be NULL. */
  RtCat *(*read) (void *host, GBytes *document, GBytes **text, FtError *error);
  /* bytes: a packed Msg for the voter; the receiver's to unref. */
  void (*send) (void *host, uint32_t to, GByteArray *bytes);
  /* A newer document is committed; read it with voter_document. */
  void (*committed) (void *host);
  /* The account of ended servers has changed; read it with voter_crash_table. */
  void (*blamed) (void *host);
  /* The account of roll-outs has changed; read it with voter_rollouts. */
  void (*rolled) (void *host);
  /* The end of a proposal. FT_OK: committed. */
  void (*verdict) (void *host, uint64_t ticket, FtStatus status);
} VoterOps;

typedef struct
{
  uint32_t self;         /* IPv4 of this instance */
  const uint32_t *seeds; /* of the voters that form the first set; copied */
  unsigned seed_count;
  bool may_bootstrap;
  unsigned losses; /* voters that may be lost at once */
  const char *folder;
} VoterConf;

/* Reads the folder and starts the thread. Errors name the file. */
FtStatus voter_new (const VoterConf *conf, Loop *loop, const VoterOps *ops, void *host, Voter **out,
                    FtError *error);
/* Ends the thread; a leader hands over first. */
void voter_free (Voter *voter);
/* A message of another voter; bytes are taken over. */
void voter_receive (Voter *voter, uint32_t from, GByteArray *bytes);
/* Another instance is, or wants to be, a voter. */
void voter_add_peer (Voter *voter, uint32_t id);
/* Asks for number to become the newest document, or for op to be applied, which is one on ended
 * servers or roll-outs. Returns a ticket, with which the verdict follows. */
uint64_t voter_propose (Voter *voter, uint64_t number, GBytes *document);
uint64_t voter_propose_op (Voter *voter, const MsgOp *op);
void voter_transfer_leadership (Voter *voter);

typedef struct
{
  uint64_t term;
  uint32_t leader; /* 0: unknown */
  bool proved;     /* this voter leads, and nobody else can at this moment */
  bool broken;     /* its storage failed: it takes no part until it is started again */
  bool member;     /* the log names it */
  unsigned count;  /* voters that the log names */
  uint32_t voters[FT_VOTERS_MOST];
} VoterStatus;

/* May be called from the loop's thread at any time; never waits for the disk. */
void voter_status (Voter *voter, VoterStatus *status);
/* The newest committed document that this voter knows; *number 0 and NULL: none. The reference is
 * the caller's. */
GBytes *voter_document (Voter *voter, uint64_t *number);
/* The same with its text, NULL: not read. */
GBytes *voter_document_text (Voter *voter, uint64_t *number, GBytes **text);
/* What it says; NULL: it was not read, error says why. The reference is the caller's. */
RtCat *voter_catalogue (Voter *voter, uint64_t *number, FtError *error);
/* Its number alone; 0: none. */
uint64_t voter_newest_number (Voter *voter);
/* The committed account of ended servers that this voter knows, a packed MsgBlame; NULL: none yet.
 * The reference is the caller's. */
GBytes *voter_crash_table (Voter *voter);
/* The same of roll-outs, a packed MsgRollouts. */
GBytes *voter_rollouts (Voter *voter);

#endif
