/* world.h - one run of the bench: callers, engines and a policy on a virtual clock. */
#ifndef WORLD_H
#define WORLD_H

#include "sim.h"

#define GENERATIONS  3
#define ENGINES_MOST 1400
#define ORGS_MOST    3700

typedef struct World World;
typedef struct Engine Engine;

typedef enum
{
  JOB_ASKED,
  JOB_RUNNING,
  JOB_PAUSED,
  JOB_WHOLE,
  JOB_REFUSED,
  JOB_LOST /* its entry died, or its engine failed it */
} JobEnd;

typedef struct Job
{
  struct cds_list_head link; /* of its engine or of a baseline's queue */
  uint64_t number;
  unsigned tier, org, class_index, prompt, out, produced, told, dispatches, entry, entry_life;
  char class_name[32];
  uint64_t blocks[FT_BLOCKS_MAX];
  unsigned block_count;
  int64_t arrived, first_by, due, first_at, last_at, told_at, ended_at, granted_at;
  double prefill_left, prefill_done;
  JobEnd state;
  Engine *engine;
} Job;

/* ---- Engines (engine.c) ---- */

typedef struct
{
  double step_ms, stream_ms; /* a step: step_ms + stream_ms * streams */
  double prefill_rate;       /* prompt tokens a ms */
} Generation;
extern const Generation generations[GENERATIONS];

struct Engine
{
  World *world;
  unsigned index, generation;
  char name[32], pool[32];
  double slow;
  bool gray, dead, leaving, stepping;
  struct cds_list_head prefilling, decoding; /* Job.link */
  unsigned running;                          /* both lists */
  unsigned reported;                         /* running, as of 2 s ago */
  GHashTable *cached;
  GQueue cache;
  uint64_t events;
};

Engine *engine_new (World *world, unsigned index, unsigned generation, const char *pool);
void engine_free (Engine *engine);
/* Admits it, as all engines do. */
void engine_start (Engine *engine, Job *job);
/* Takes it off; what was computed of its prompt is wasted when wasted is set. */
void engine_stop (Engine *engine, Job *job, bool wasted);
/* A paused job goes on; its prompt comes from the cache as far as that still has it. */
void engine_resume (Engine *engine, Job *job);
void engine_set_slow (Engine *engine, double slow);
void engine_set_gray (Engine *engine, bool gray);
void engine_die (Engine *engine);

/* ---- Policies ---- */

typedef struct Policy Policy;
typedef struct
{
  const char *name;
  void (*start) (World *world); /* before the first arrival */
  void (*arrive) (World *world, Job *job);
  void (*progress) (World *world, Job *job);
  void (*ended) (World *world, Job *job);        /* whole or lost after its dispatch */
  void (*server) (World *world, Engine *engine); /* its state in the platform's list changed */
} PolicyOps;
struct Policy
{
  const PolicyOps *ops;
};
extern const PolicyOps policy_foxtail;
extern const PolicyOps policy_baselines[];
extern const unsigned policy_baseline_count;

/* ---- The run (world.c) ---- */

typedef struct
{
  const char *name;
  unsigned tier, share, prompt, out;
  int64_t first_ms, due_ms;
  double spread; /* of lengths, sigma of the logarithm */
  double shared; /* share of the prompt that requests of the class have in common */
} ClassModel;

typedef struct
{
  const char *name;
  unsigned engines, instances, orgs, pools;
  int64_t delay;
  ClassModel classes[6];
  unsigned class_count;
} Profile;
extern const Profile profiles[];
extern const unsigned profile_count;

typedef struct
{
  unsigned offered, completed, refused, late, lost;
  GArray *first_ms, *gap_ms; /* float */
  double prefill, wasted;
} Tally;

struct World
{
  const Profile *profile;
  Policy policy;
  uint64_t seed;
  Sim *sim;
  Engine *engines[ENGINES_MOST];
  unsigned engine_count;
  GPtrArray *jobs; /* Job *, by number - 1 */
  double load;     /* of the capacity */
  double capacity; /* requests a second at the workload's mean */
  int64_t arrivals_until;
  unsigned hog;     /* organisation that sends ten times its share; 0: none */
  bool only_shared; /* prompts share most of their text */
  double burst;     /* factor on the load at present */
  Tally tiers[FT_TIERS + 1];
  Tally report_orgs[2];
  uint64_t violations, doubled, untrue, decisions;
  int64_t last_grant, grant_gap;
  bool gap_watch;
  uint64_t cpu_ns;
  void *policy_data;
};

World *world_new (const Profile *profile, const PolicyOps *ops, uint64_t seed, double load);
void world_free (World *world);
void world_run (World *world, int64_t until);
/* For policies: */
void world_dispatch (World *world, Job *job, Engine *engine);
void world_refuse (World *world, Job *job, bool shortage);
void world_lost (World *world, Job *job);
/* For engines: */
void world_token (World *world, Job *job);
void world_prefilled (World *world, Job *job, double tokens);
/* Mean cost of a request on an engine in ms of its time, at its best batch. */
double world_cost_ms (const Generation *generation, double prompt, double out);

#endif
