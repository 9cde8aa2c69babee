/* sim.h - many nodes in one process with a clock, links and disks of the test's own.
 *
 * Small fakes at the library's interfaces, no more: the nodes are the real ones. The same seed
 * gives the same run. Times are virtual microseconds from 0. */
#ifndef SIM_H
#define SIM_H

#include "foxtail.h"

typedef struct Sim Sim;

/* What nodes want of their shells; any may be NULL. instance: 1 and on. */
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
  unsigned instances, voters; /* the first voters instances are voters */
  uint64_t seed;
  int64_t delay, jitter; /* one way, between instances */
  double loss, doubling; /* share of the voters' messages lost and doubled */
  double clock_error;    /* each clock runs faster or slower by up to this share */
} SimConf;

Sim *sim_new (const SimConf *conf, const SimOps *ops, void *user);
void sim_free (Sim *sim);
void *sim_user (Sim *sim);
int64_t sim_now (const Sim *sim);
uint64_t sim_random (Sim *sim);
double sim_uniform (Sim *sim); /* 0 to 1 */
/* Runs fn (sim, data) at a time; data must live until then. */
typedef void (*SimFn) (Sim *sim, void *data);
void sim_at (Sim *sim, int64_t at, SimFn fn, void *data);
void sim_run (Sim *sim, int64_t until);

/* NULL while the instance is dead. */
FtNode *sim_node (Sim *sim, unsigned instance);
/* Counts the starts of the instance. */
unsigned sim_life (Sim *sim, unsigned instance);
/* To be called after using a node from outside. */
void sim_flush (Sim *sim, unsigned instance);
bool sim_frozen (Sim *sim, unsigned instance);

/* Dies at once: what was not synced is gone or torn. */
void sim_kill (Sim *sim, unsigned instance);
/* FT_CORRUPT or FT_IO when the disk refuses. */
FtStatus sim_restart (Sim *sim, unsigned instance);
void sim_wipe (Sim *sim, unsigned instance); /* its disk, while it is dead */
void sim_freeze (Sim *sim, unsigned instance, bool frozen);
/* One way; both calls for both ways. */
void sim_cut (Sim *sim, unsigned from, unsigned to, bool cut);
void sim_heal (Sim *sim); /* all cuts */
void sim_disk_fails (Sim *sim, unsigned instance, bool fails);
/* Flips a bit of a file; false: there is no such byte. */
bool sim_damage (Sim *sim, unsigned instance, const char *file, size_t offset);
size_t sim_file_size (Sim *sim, unsigned instance, const char *file);

typedef struct
{
  uint64_t messages, bytes;
} SimTraffic;
/* Sent by the instance since its last start. */
SimTraffic sim_traffic (const Sim *sim, unsigned instance);

/* Real time spent in nodes, nanoseconds; a caller that uses a node itself adds its part. */
int64_t sim_cpu_begin (void);
void sim_cpu_end (Sim *sim, int64_t begun);
uint64_t sim_cpu_ns (const Sim *sim);

#endif
