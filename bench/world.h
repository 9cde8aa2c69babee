/* world.h - one simulated run of foxtailbench: callers, engines and a scheduling policy on a
 * virtual clock. */
#ifndef WORLD_H
#define WORLD_H

#include "sim.h"

#define GENERATIONS 3
#define ENGINES_MAX 1400
#define ORGS_MAX    3700

typedef struct World World;
typedef struct Engine Engine;

typedef enum
{
  JOB_SUBMITTED,
  JOB_RUNNING,
  JOB_PAUSED,
  JOB_COMPLETE,
  JOB_REFUSED,
  JOB_LOST /* its entry or its engine died */
} JobState;

typedef struct Job
{
  struct cds_list_head link; /* in a list of its engine or in a baseline's queue */
  uint64_t number;
  unsigned tier, org, class_index, prompt_tokens, output_tokens, produced, told, dispatches, entry,
      entry_start_count; /* sim_start_count() of the entry when the job was submitted */
  char class_name[32];
  uint64_t blocks[FT_BLOCKS_MAX];
  unsigned block_count;
  int64_t arrived_at, first_token_deadline, deadline, first_token_at, last_token_at,
      progress_sent_at, ended_at, granted_at;
  double prefill_left, prefill_done;
  JobState state;
  Engine *engine;
} Job;

/* ---- Engines (engine.c) ---- */

typedef struct
{
  double step_ms, stream_ms; /* a step takes step_ms + stream_ms * number of streams */
  double prefill_rate;       /* prompt tokens per millisecond */
} Generation;
extern const Generation generations[GENERATIONS];

struct Engine
{
  World *world;
  unsigned index, generation;
  char name[32], pool[32];
  double slow_factor; /* on the duration of a step */
  bool gray;          /* accepts requests but never answers */
  bool dead, leaving, step_scheduled;
  struct cds_list_head prefilling, decoding; /* Job.link */
  unsigned running;                          /* length of both lists */
  unsigned reported_running;                 /* running, as of 2 s ago */
  GHashTable *cache_index;                   /* block hash -> its link in cache */
  GQueue cache;                              /* block hashes, most recently used first */
  uint64_t events;
};

Engine *engine_new (World *world, unsigned index, unsigned generation, const char *pool);
void engine_free (Engine *engine);
/* Admits the job at once; an engine has no queue limit. */
void engine_start (Engine *engine, Job *job);
/* Removes the job. With wasted set, its prefill so far is counted as wasted. */
void engine_stop (Engine *engine, Job *job, bool wasted);
/* Resumes a paused job; only what has left the prefix cache is computed again. */
void engine_resume (Engine *engine, Job *job);
void engine_set_slow (Engine *engine, double factor);
void engine_set_gray (Engine *engine, bool gray);
void engine_die (Engine *engine);

/* ---- Policies ---- */

typedef struct Policy Policy;
typedef struct
{
  const char *name;
  void (*start) (World *world); /* before the first arrival */
  void (*on_arrival) (World *world, Job *job);
  void (*on_progress) (World *world, Job *job);
  void (*on_end) (World *world, Job *job);                /* complete, or lost after its dispatch */
  void (*on_server_state) (World *world, Engine *engine); /* the platform reports a new state */
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
  unsigned tier, share;                  /* share: weight among the arrivals */
  unsigned prompt_tokens, output_tokens; /* medians */
  int64_t first_ms, due_ms;
  double spread; /* standard deviation of the logarithm of both lengths */
  double shared; /* fraction of the prompt that requests of the class have in common */
} ClassModel;

typedef struct
{
  const char *name;
  unsigned engines, instances, orgs, pools;
  int64_t delay; /* one-way link delay, microseconds */
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
} TierStats;

struct World
{
  const Profile *profile;
  Policy policy;
  uint64_t seed;
  Sim *sim;
  Engine *engines[ENGINES_MAX];
  unsigned engine_count;
  GPtrArray *jobs; /* Job *; the index is the job's number - 1 */
  double load;     /* offered load as a fraction of the capacity */
  double capacity; /* requests per second at the workload's mean cost */
  int64_t arrivals_until;
  unsigned heavy_org;      /* organisation that sends ten times its share; 0: none */
  bool long_shared_prefix; /* prompts share most of their text */
  double load_factor;      /* multiplies the load during a burst */
  TierStats tiers[FT_TIERS + 1];
  TierStats report_orgs[2];
  uint64_t violations;           /* a higher tier was refused while a lower one ran */
  uint64_t duplicate_dispatches; /* dispatches of a job after its first */
  uint64_t false_not_run;        /* refused as "not run" after a dispatch */
  uint64_t decisions;
  int64_t last_grant_at, longest_grant_gap;
  bool measure_grant_gap;
  uint64_t cpu_ns;
  void *policy_data;
};

World *world_new (const Profile *profile, const PolicyOps *ops, uint64_t seed, double load);
void world_free (World *world);
/* Requests arrive from at to until. */
void world_start_arrivals (World *world, int64_t at, int64_t until);
void world_run (World *world, int64_t until);
/* For policies: */
void world_dispatch (World *world, Job *job, Engine *engine);
void world_refuse (World *world, Job *job, bool shortage);
void world_fail_job (World *world, Job *job);
/* For engines: */
void world_on_token (World *world, Job *job);
void world_count_prefill (World *world, Job *job, double tokens);
/* Engine time of a request in ms, at the largest batch within the latency target. */
double world_request_cost_ms (const Generation *generation, double prompt_tokens,
                              double output_tokens);

#endif
