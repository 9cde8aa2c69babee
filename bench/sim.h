/* sim.h - discrete-event simulation of many nodes in one process.
 *
 * The nodes are the real library; only their clock, links, disks and random numbers are simulated.
 * The same seed gives the same run. Times are virtual microseconds from 0. */
#ifndef SIM_H
#define SIM_H

#include "foxtail.h"

typedef struct Sim Sim;

/* Callbacks of the nodes, see FtNodeOps; any may be NULL. Instances are numbered from 1. */
typedef struct
{
  void (*grant) (Sim *sim, unsigned instance, uint64_t request, const char *server);
  void (*refuse) (Sim *sim, unsigned instance, const FtRefusal *refusal);
  void (*pause) (Sim *sim, unsigned instance, uint64_t request);
  void (*resume) (Sim *sim, unsigned instance, uint64_t request);
  void (*verdict) (Sim *sim, unsigned instance, uint64_t number, FtStatus status, uint64_t revision,
                   const char *text);
  void (*catalogue) (Sim *sim, unsigned instance, FtCat *cat);
  void (*found) (Sim *sim, unsigned instance, uint64_t number, FtStatus status, const char *body,
                 size_t size);
  void (*killed) (Sim *sim, unsigned instance);
} SimOps;

typedef struct
{
  unsigned instances, voters; /* instances 1 to voters are voters */
  uint64_t seed;
  int64_t delay, jitter;    /* one way, between instances; jitter is added at random */
  double loss, duplication; /* fractions of the messages between voters */
  double clock_error;       /* each clock runs faster or slower by up to this fraction */
} SimConf;

Sim *sim_new (const SimConf *conf, const SimOps *ops, void *user);
void sim_free (Sim *sim);
void *sim_user (Sim *sim);
int64_t sim_now (const Sim *sim);
uint64_t sim_random (Sim *sim);
double sim_uniform (Sim *sim); /* from 0 inclusive to 1 exclusive */
/* sim_schedule calls fn (sim, data) at the given time; data must stay valid until then. */
typedef void (*SimEventFunc) (Sim *sim, void *data);
void sim_schedule (Sim *sim, int64_t at, SimEventFunc fn, void *data);
void sim_run (Sim *sim, int64_t until);

/* NULL while the instance is dead. */
FtNode *sim_node (Sim *sim, unsigned instance);
/* Number of times the instance was started. */
unsigned sim_start_count (Sim *sim, unsigned instance);
/* Sends the node's queued messages; call it after each direct use of a node. */
void sim_flush (Sim *sim, unsigned instance);
bool sim_is_frozen (Sim *sim, unsigned instance);

/* Kills the instance as a crash does: data not synced is lost or partly written. */
void sim_kill (Sim *sim, unsigned instance);
/* Starts the instance with its disk as it is. FT_CORRUPT or FT_IO if that cannot be read. */
FtStatus sim_restart (Sim *sim, unsigned instance);
void sim_wipe_disk (Sim *sim, unsigned instance); /* only while the instance is dead */
/* A frozen instance does nothing; messages to it wait. */
void sim_freeze (Sim *sim, unsigned instance, bool frozen);
/* Cuts or restores the link in one direction. */
void sim_set_link_cut (Sim *sim, unsigned from, unsigned to, bool cut);
void sim_heal_links (Sim *sim); /* restores all links */
void sim_set_disk_failing (Sim *sim, unsigned instance, bool fails);
/* Flips a bit of a file; false if the file has no byte at the offset. */
bool sim_corrupt_file (Sim *sim, unsigned instance, const char *file, size_t offset);
size_t sim_file_size (Sim *sim, unsigned instance, const char *file);

typedef struct
{
  uint64_t messages, bytes;
} SimTraffic;
/* What the instance sent since its last start. */
SimTraffic sim_traffic (const Sim *sim, unsigned instance);

/* Real time spent in nodes, in nanoseconds. A caller that uses a node directly adds its time with
 * sim_cpu_begin and sim_cpu_end. */
int64_t sim_cpu_begin (void);
void sim_cpu_end (Sim *sim, int64_t started);
uint64_t sim_cpu_ns (const Sim *sim);

#endif
