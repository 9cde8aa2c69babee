/* bench.c - foxtailbench: experiments on the virtual clock, our policy and baselines side by side.
 *
 * A run is one experiment, profile, policy and seed; the same seed gives the same arrivals for
 * every policy as long as the policy draws no random numbers of its own. */
#include "cost.h"
#include "curves.h"
#include "slopes.h"
#include "world.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>

#define JUDGE_SEEDS 1000 /* of each operating curve */
#include <string.h>

#define WARM   (12 * FT_SECOND)  /* the first catalogue is in force */
#define LENGTH (120 * FT_SECOND) /* arrivals */
#define DRAIN  (90 * FT_SECOND)  /* what is running ends */
#define FAULT  (WARM + 20 * FT_SECOND)

typedef struct
{
  const char *name, *what;
  double load;
  void (*plan) (World *world);
} Experiment;

/* ---- Faults ---- */

static void
set_burst (Sim *sim, void *data)
{
  (void) data;
  ((World *) sim_user (sim))->burst = 3;
}

static void
end_burst (Sim *sim, void *data)
{
  (void) data;
  ((World *) sim_user (sim))->burst = 1;
}

static void
plan_burst (World *world)
{
  sim_at (world->sim, FAULT, set_burst, NULL);
  sim_at (world->sim, FAULT + 20 * FT_SECOND, end_burst, NULL);
}

static void
slow_third (Sim *sim, void *data)
{
  World *world = sim_user (sim);

  (void) data;
  for (unsigned i = 0; i < world->engine_count; i += 3)
    engine_set_slow (world->engines[i], 5);
}

static void
plan_slowdown (World *world)
{
  sim_at (world->sim, FAULT, slow_third, NULL);
}

static void
go_gray (Sim *sim, void *data)
{
  World *world = sim_user (sim);

  (void) data;
  engine_set_slow (world->engines[0], 10);
  engine_set_gray (world->engines[1], true);
}

static void
plan_gray (World *world)
{
  sim_at (world->sim, FAULT, go_gray, NULL);
}

static void
plan_prefix (World *world)
{
  world->only_shared = true;
}

static void
plan_hog (World *world)
{
  world->hog = 3;
}

static unsigned
holder_of (World *world)
{
  for (unsigned i = 1; i <= world->profile->instances; i++)
    if (sim_node (world->sim, i) && ft_node_holds_lease (sim_node (world->sim, i), "p0"))
      return i;
  return 0;
}

static void
servers_again (World *world)
{
  for (unsigned i = 0; i < world->engine_count; i++)
    world->policy.ops->server (world, world->engines[i]);
}

static void
restart_one (Sim *sim, void *data)
{
  World *world = sim_user (sim);

  sim_restart (sim, GPOINTER_TO_UINT (data));
  servers_again (world);
}

static bool
is_foxtail (const World *world)
{
  return world->policy.ops == &policy_foxtail;
}

static void
kill_holder (Sim *sim, void *data)
{
  World *world = sim_user (sim);
  unsigned holder = is_foxtail (world) ? holder_of (world) : 0;

  (void) data;
  world->gap_watch = true;
  world->last_grant = sim_now (sim);
  if (holder == 0)
    return;
  sim_kill (sim, holder);
  sim_at (sim, sim_now (sim) + 15 * FT_SECOND, restart_one, GUINT_TO_POINTER (holder));
}

static void
plan_schedloss (World *world)
{
  sim_at (world->sim, FAULT, kill_holder, NULL);
  sim_at (world->sim, FAULT + 6 * FT_SECOND, kill_holder, NULL);
}

static void
cut_holder (Sim *sim, void *data)
{
  World *world = sim_user (sim);
  unsigned holder = is_foxtail (world) ? holder_of (world) : 0;

  (void) data;
  world->gap_watch = true;
  world->last_grant = sim_now (sim);
  for (unsigned i = 1; holder && i <= world->profile->instances; i++)
    if (i != holder)
      {
        sim_cut (sim, holder, i, true);
        sim_cut (sim, i, holder, true);
      }
}

static void
heal (Sim *sim, void *data)
{
  (void) data;
  sim_heal (sim);
}

static void
plan_partition (World *world)
{
  sim_at (world->sim, FAULT, cut_holder, NULL);
  sim_at (world->sim, FAULT + 25 * FT_SECOND, heal, NULL);
}

static void
drain_third (Sim *sim, void *data)
{
  World *world = sim_user (sim);

  (void) data;
  for (unsigned i = 0; i < world->engine_count; i += 3)
    {
      world->engines[i]->leaving = true;
      world->policy.ops->server (world, world->engines[i]);
    }
}

static void
plan_drain (World *world)
{
  sim_at (world->sim, FAULT, drain_third, NULL);
}

typedef struct
{
  unsigned instance;
} Roll;

/* A graceful restart: leaves, ends what it has, dies, comes back; then the next one. */
static void
roll_on (Sim *sim, void *data)
{
  World *world = sim_user (sim);
  Roll *roll = data;
  FtNode *node = sim_node (sim, roll->instance);
  FtNodeStatus status;

  world->gap_watch = true;
  bool left = ft_node_leave (node);
  sim_flush (sim, roll->instance);
  ft_node_status (node, &status);
  if (!left || status.requests > 0)
    {
      sim_at (sim, sim_now (sim) + 100 * FT_MS, roll_on, roll);
      return;
    }
  sim_kill (sim, roll->instance);
  sim_restart (sim, roll->instance);
  servers_again (world);
  if (++roll->instance <= world->profile->instances)
    sim_at (sim, sim_now (sim) + 4 * FT_SECOND, roll_on, roll);
  else
    g_free (roll);
}

static void
plan_roll (World *world)
{
  Roll *roll = g_new0 (Roll, 1);

  if (!is_foxtail (world))
    {
      g_free (roll);
      return;
    }
  roll->instance = 1;
  world->last_grant = WARM;
  sim_at (world->sim, WARM + 5 * FT_SECOND, roll_on, roll);
}

static void
lose_domain (Sim *sim, void *data)
{
  World *world = sim_user (sim);

  (void) data;
  world->gap_watch = true;
  world->last_grant = sim_now (sim);
  for (unsigned i = 0; i < world->engine_count; i += 3)
    {
      engine_die (world->engines[i]);
      world->policy.ops->server (world, world->engines[i]);
    }
  for (unsigned i = 1; is_foxtail (world) && i <= world->profile->instances; i += 3)
    sim_kill (sim, i);
}

static void
plan_failuredomain (World *world)
{
  sim_at (world->sim, FAULT, lose_domain, NULL);
}

static void
plan_none (World *world)
{
  (void) world;
}

static const Experiment experiments[] = {
  { "steady", "70 % of the capacity", 0.7, plan_none },
  { "burst", "three times the load for 20 s", 0.7, plan_burst },
  { "overload", "twice the capacity in all tiers", 2.0, plan_none },
  { "slowdown", "a third of the engines five times slower", 0.6, plan_slowdown },
  { "gray", "one engine ten times slower, one that never answers", 0.6, plan_gray },
  { "prefix", "prompts that share most of their text", 0.9, plan_prefix },
  { "hog", "one organisation sends ten times its share", 1.2, plan_hog },
  { "mixed", "long report jobs among short questions", 0.9, plan_none },
  { "schedloss", "the scheduler dies under overload, its successor too", 1.5, plan_schedloss },
  { "partition", "the scheduler is cut off and believes it is in charge", 0.7, plan_partition },
  { "drain", "a third of the engines leave", 0.6, plan_drain },
  { "roll", "all instances restart in turn", 0.7, plan_roll },
  { "failuredomain", "a third of everything goes at once", 0.5, plan_failuredomain },
};

/* ---- One run ---- */

typedef struct
{
  unsigned offered, completed, refused, late, lost;
  double first_p95, gap_p95, prefill, wasted;
} Line;

typedef struct
{
  Line tiers[FT_TIERS + 1]; /* [0]: all */
  uint64_t violations, doubled, untrue, decisions;
  double ns_per_decision;
  int64_t gap_ms;
  unsigned paused_left;
} Result;

static int
compare_float (const void *a, const void *b)
{
  float x = *(const float *) a, y = *(const float *) b;

  return (x > y) - (x < y);
}

static double
quantile (GArray *values, double q)
{
  if (values->len == 0)
    return 0;
  g_array_sort (values, compare_float);
  return g_array_index (values, float, MIN (values->len - 1, (guint) (q * values->len)));
}

/* Violations that schedulers count themselves, taken before their instances die. */
typedef struct
{
  uint64_t counted[64], decided[64];
  unsigned life[64];
} Audit;

static void
take_audit (Sim *sim, void *data)
{
  World *world = sim_user (sim);
  Audit *audit = data;

  for (unsigned i = 1; is_foxtail (world) && i <= MIN (63, world->profile->instances); i++)
    {
      FtPool *pool = sim_node (sim, i) ? ft_node_pool (sim_node (sim, i), "p0") : NULL;
      FtPoolStats stats;
      if (pool == NULL)
        {
          audit->counted[i] = audit->decided[i] = 0;
          continue;
        }
      ft_pool_stats (pool, &stats);
      if (stats.decisions < audit->decided[i])
        audit->counted[i] = 0;
      world->violations += stats.tier_violations - audit->counted[i];
      audit->counted[i] = stats.tier_violations;
      audit->decided[i] = stats.decisions;
    }
  sim_at (sim, sim_now (sim) + 10 * FT_MS, take_audit, audit);
}

void world_begin (World *world, int64_t at, int64_t until);

static void
collect (World *world, Result *result)
{
  memset (result, 0, sizeof *result);
  for (unsigned t = 1; t <= FT_TIERS; t++)
    {
      Tally *tally = &world->tiers[t];
      Line *line = &result->tiers[t], *all = &result->tiers[0];
      *line = (Line){ tally->offered,
                      tally->completed,
                      tally->refused,
                      tally->late,
                      tally->lost,
                      quantile (tally->first_ms, 0.95),
                      quantile (tally->gap_ms, 0.95),
                      tally->prefill,
                      tally->wasted };
      all->offered += line->offered;
      all->completed += line->completed;
      all->refused += line->refused;
      all->late += line->late;
      all->lost += line->lost;
      all->prefill += line->prefill;
      all->wasted += line->wasted;
    }
  result->violations = world->violations;
  result->doubled = world->doubled;
  result->untrue = world->untrue;
  result->decisions = world->decisions;
  result->gap_ms = world->grant_gap / FT_MS;
  if (is_foxtail (world) && world->decisions)
    result->ns_per_decision = (double) sim_cpu_ns (world->sim) / (double) world->decisions;
}

/* Capacity and perfect knowledge: tier after tier, the cheapest requests first, every engine at its
 * best batch until the tier's last deadline. Nothing can complete more of a tier without taking
 * from a higher one. */
static int
compare_cost (const void *a, const void *b)
{
  double x = *(const double *) a, y = *(const double *) b;

  return (x > y) - (x < y);
}

static void
bound_of (const World *world, Result *bound)
{
  double used = 0, engine_ms = 0, mean_rate = 0;

  for (unsigned i = 0; i < world->engine_count; i++)
    mean_rate += generations[world->engines[i]->generation].prefill_rate;
  memset (bound, 0, sizeof *bound);
  (void) mean_rate;
  /* Work is counted in time of the fastest generation; each engine's second is worth its share. */
  const Generation *unit = &generations[0];
  for (unsigned i = 0; i < world->engine_count; i++)
    engine_ms += world_cost_ms (unit, 300, 150)
                 / world_cost_ms (&generations[world->engines[i]->generation], 300, 150);
  for (unsigned t = 1; t <= FT_TIERS; t++)
    {
      GArray *costs = g_array_new (FALSE, FALSE, sizeof (double));
      int64_t last = 0;
      Line *line = &bound->tiers[t];
      for (unsigned i = 0; i < world->jobs->len; i++)
        {
          const Job *job = world->jobs->pdata[i];
          if (job->tier != t)
            continue;
          double held
              = job->block_count * (double) FT_BLOCK_TOKENS * (world->only_shared ? 0.85 : 0.4);
          double cost = world_cost_ms (unit, MAX (1, job->prompt - held), job->out);
          g_array_append_val (costs, cost);
          last = MAX (last, job->due);
        }
      g_array_sort (costs, compare_cost);
      double capacity = (double) (MIN (last, WARM + LENGTH + DRAIN) - WARM) / FT_MS * engine_ms;
      line->offered = costs->len;
      for (unsigned i = 0; i < costs->len && used + g_array_index (costs, double, i) <= capacity;
           i++)
        {
          used += g_array_index (costs, double, i);
          line->completed++;
        }
      line->refused = line->offered - line->completed;
      bound->tiers[0].offered += line->offered;
      bound->tiers[0].completed += line->completed;
      g_array_unref (costs);
    }
}

static void
run_one (const Experiment *experiment, const Profile *profile, const PolicyOps *ops, uint64_t seed,
         Result *result, Result *bound)
{
  World *world = world_new (profile, ops, seed, experiment->load);
  Audit *audit = g_new0 (Audit, 1);

  experiment->plan (world);
  world_run (world, WARM);
  sim_at (world->sim, WARM, take_audit, audit);
  world_begin (world, WARM, WARM + LENGTH);
  world_run (world, WARM + LENGTH + DRAIN);
  collect (world, result);
  if (bound)
    bound_of (world, bound);
  world_free (world);
  g_free (audit);
}

/* ---- Output ---- */

static const char header[]
    = "experiment,profile,policy,seed,tier,offered,completed,refused,late,first_token_p95_ms,"
      "inter_token_p95_ms,prefill_tokens,wasted_prefill_tokens,tier_violations,"
      "double_dispatches,decisions,ns_per_decision,lost,untrue_not_run,longest_grant_gap_ms\n";

static void
print_csv (FILE *csv, const char *experiment, const char *profile, const char *policy,
           uint64_t seed, const Result *result)
{
  if (csv == NULL)
    return;
  for (unsigned t = 1; t <= FT_TIERS; t++)
    {
      const Line *line = &result->tiers[t];
      fprintf (csv,
               "%s,%s,%s,%" G_GUINT64_FORMAT
               ",%u,%u,%u,%u,%u,%.0f,%.1f,%.0f,%.0f,%" G_GUINT64_FORMAT ",%" G_GUINT64_FORMAT
               ",%" G_GUINT64_FORMAT ",%.0f,%u,%" G_GUINT64_FORMAT ",%" G_GINT64_FORMAT "\n",
               experiment, profile, policy, seed, t, line->offered, line->completed, line->refused,
               line->late, line->first_p95, line->gap_p95, line->prefill, line->wasted,
               result->violations, result->doubled, result->decisions, result->ns_per_decision,
               line->lost, result->untrue, result->gap_ms);
    }
}

typedef struct
{
  double offered[FT_TIERS + 1], completed[FT_TIERS + 1], first[FT_TIERS + 1], gap[FT_TIERS + 1];
  double late, lost, prefill, wasted, violations, doubled, untrue, ns, hole;
  unsigned runs;
} Mean;

static void
add_to_mean (Mean *mean, const Result *result)
{
  for (unsigned t = 0; t <= FT_TIERS; t++)
    {
      mean->offered[t] += result->tiers[t].offered;
      mean->completed[t] += result->tiers[t].completed;
      mean->first[t] += result->tiers[t].first_p95;
      mean->gap[t] += result->tiers[t].gap_p95;
    }
  mean->late += result->tiers[0].late;
  mean->lost += result->tiers[0].lost;
  mean->prefill += result->tiers[0].prefill;
  mean->wasted += result->tiers[0].wasted;
  mean->violations += (double) result->violations;
  mean->doubled += (double) result->doubled;
  mean->untrue += (double) result->untrue;
  mean->ns += result->ns_per_decision;
  mean->hole = MAX (mean->hole, (double) result->gap_ms);
  mean->runs++;
}

static double
percent (double part, double whole)
{
  return whole > 0 ? 100 * part / whole : 0;
}

static void
print_mean (const char *policy, const Mean *mean)
{
  printf ("  %-16s", policy);
  for (unsigned t = 1; t <= FT_TIERS; t++)
    printf (" %5.1f", percent (mean->completed[t], mean->offered[t]));
  printf ("  %5.1f  %6.0f %5.1f  %6.2f  %5.0f %5.0f %4.0f %4.0f %4.0f %6.0f\n",
          percent (mean->completed[0], mean->offered[0]), mean->first[1] / mean->runs,
          mean->gap[1] / mean->runs, percent (mean->wasted, mean->prefill), mean->late / mean->runs,
          mean->lost / mean->runs, mean->violations, mean->doubled, mean->untrue, mean->hole);
}

/* ---- Choosing what to run ---- */

typedef struct
{
  const char *policy, *profile;
  unsigned seeds;
  FILE *csv;
} Wanted;

static void
run_policy (const Experiment *experiment, const Profile *profile, const PolicyOps *ops,
            const Wanted *wanted, Mean *bound_mean)
{
  Mean mean = { 0 };

  if (strcmp (wanted->policy, "all") != 0 && strcmp (wanted->policy, ops->name) != 0)
    return;
  for (unsigned seed = 1; seed <= wanted->seeds; seed++)
    {
      Result result, bound;
      run_one (experiment, profile, ops, seed, &result, bound_mean ? &bound : NULL);
      print_csv (wanted->csv, experiment->name, profile->name, ops->name, seed, &result);
      add_to_mean (&mean, &result);
      if (bound_mean)
        {
          print_csv (wanted->csv, experiment->name, profile->name, "bound", seed, &bound);
          add_to_mean (bound_mean, &bound);
        }
    }
  print_mean (ops->name, &mean);
  fflush (stdout);
}

static void
run_experiment (const Experiment *experiment, const Wanted *wanted)
{
  for (unsigned p = 0; p < profile_count; p++)
    {
      const Profile *profile = &profiles[p];
      Mean bound = { 0 };
      bool asked = strcmp (wanted->profile, profile->name) == 0;
      if (!asked && (strcmp (wanted->profile, "users") != 0 || profile->engines > 100))
        continue;
      printf ("%s, %s: %s\n  policy            completed in time, %% of tier 1..5      all  "
              "first ms  gap  waste %%   late  lost viol  dbl untr gap ms\n",
              experiment->name, profile->name, experiment->what);
      run_policy (experiment, profile, &policy_foxtail, wanted, &bound);
      for (unsigned i = 0; i < policy_baseline_count; i++)
        run_policy (experiment, profile, &policy_baselines[i], wanted, NULL);
      if (bound.runs)
        print_mean ("bound", &bound);
    }
}

static int
run_named (const char *name, const Wanted *wanted)
{
  bool found = false;

  if (wanted->csv)
    fputs (header, wanted->csv);
  for (unsigned i = 0; i < G_N_ELEMENTS (experiments); i++)
    if (strcmp (name, "all") == 0 || strcmp (name, experiments[i].name) == 0)
      {
        run_experiment (&experiments[i], wanted);
        found = true;
      }
  if (!found)
    fprintf (stderr, "foxtailbench: no experiment %s; try list\n", name);
  return found ? 0 : 2;
}

int
main (int argc, char **argv)
{
  struct arg_str *command
      = arg_str1 (NULL, NULL, "list|run|report|cost|slopes|judge", "what to do");
  struct arg_str *name = arg_str0 (NULL, NULL, "EXPERIMENT", "run: which, or all");
  struct arg_str *policy = arg_str0 (NULL, "policy", "NAME", "one policy, else all");
  struct arg_str *profile = arg_str0 (NULL, "profile", "NAME", "one profile, else both users'");
  struct arg_int *seeds = arg_int0 (NULL, "seeds", "N", "runs with seeds 1 to N, 1");
  struct arg_file *csv = arg_file0 (NULL, "csv", "FILE", "every run's figures");
  struct arg_end *end = arg_end (8);
  void *table[] = { command, name, policy, profile, seeds, csv, end };
  int result = 2;

  seeds->ival[0] = 1;
  if (arg_parse (argc, argv, table) != 0)
    {
      arg_print_errors (stderr, end, "foxtailbench");
      arg_print_glossary (stderr, table, "  %-26s %s\n");
      return 2;
    }
  Wanted wanted
      = { policy->count ? policy->sval[0] : "all", profile->count ? profile->sval[0] : "users",
          (unsigned) seeds->ival[0], csv->count ? fopen (csv->filename[0], "we") : NULL };
  if (strcmp (command->sval[0], "list") == 0)
    {
      for (unsigned i = 0; i < G_N_ELEMENTS (experiments); i++)
        printf ("%-14s %s\n", experiments[i].name, experiments[i].what);
      result = 0;
    }
  else if (strcmp (command->sval[0], "run") == 0 && name->count)
    result = run_named (name->sval[0], &wanted);
  else if (strcmp (command->sval[0], "report") == 0)
    {
      wanted.seeds = seeds->count ? (unsigned) seeds->ival[0] : 5;
      result = run_named ("all", &wanted);
      cost_report (stdout);
    }
  else if (strcmp (command->sval[0], "cost") == 0)
    result = cost_report (stdout);
  else if (strcmp (command->sval[0], "judge") == 0)
    result = curves_report (JUDGE_SEEDS);
  else if (strcmp (command->sval[0], "slopes") == 0)
    result = slopes_report (wanted.csv ? wanted.csv : stdout);
  else
    fprintf (stderr,
             "foxtailbench: run needs an EXPERIMENT; commands: list, run, report, cost, slopes, "
             "judge\n");
  if (wanted.csv)
    fclose (wanted.csv);
  arg_freetable (table, G_N_ELEMENTS (table));
  return result;
}
