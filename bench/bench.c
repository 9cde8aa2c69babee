/* bench.c - foxtailbench: simulated experiments that compare foxtailgrade's scheduling policy with
 * baselines.
 *
 * A run has one experiment, profile, policy and seed. The same seed gives every policy the same
 * arrivals, unless the policy itself draws random numbers. */
#include "cost.h"
#include "curves.h"
#include "slopes.h"
#include "world.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>

#define CURVE_SEEDS 1000 /* simulated roll-outs per point of an operating curve */
#include <string.h>

#define WARMUP_END       (12 * FT_SECOND)  /* by then the first catalogue is in force */
#define ARRIVAL_DURATION (120 * FT_SECOND) /* how long requests arrive */
#define DRAIN_DURATION   (90 * FT_SECOND)  /* after it, so that running requests end */
#define FAULT_AT         (WARMUP_END + 20 * FT_SECOND)

typedef struct
{
  const char *name, *description;
  double load; /* as a fraction of the capacity */
  void (*setup) (World *world);
} Experiment;

/* ---- Setup of the experiments ---- */

static void
start_burst (Sim *sim, void *data)
{
  (void) data;
  ((World *) sim_user (sim))->load_factor = 3;
}

static void
end_burst (Sim *sim, void *data)
{
  (void) data;
  ((World *) sim_user (sim))->load_factor = 1;
}

static void
setup_burst (World *world)
{
  sim_schedule (world->sim, FAULT_AT, start_burst, NULL);
  sim_schedule (world->sim, FAULT_AT + 20 * FT_SECOND, end_burst, NULL);
}

static void
slow_down_third (Sim *sim, void *data)
{
  World *world = sim_user (sim);

  (void) data;
  for (unsigned i = 0; i < world->engine_count; i += 3)
    engine_set_slow (world->engines[i], 5);
}

static void
setup_slowdown (World *world)
{
  sim_schedule (world->sim, FAULT_AT, slow_down_third, NULL);
}

static void
start_gray_failure (Sim *sim, void *data)
{
  World *world = sim_user (sim);

  (void) data;
  engine_set_slow (world->engines[0], 10);
  engine_set_gray (world->engines[1], true);
}

static void
setup_gray (World *world)
{
  sim_schedule (world->sim, FAULT_AT, start_gray_failure, NULL);
}

static void
setup_prefix (World *world)
{
  world->long_shared_prefix = true;
}

static void
setup_hog (World *world)
{
  world->heavy_org = 3;
}

static unsigned
find_scheduler (World *world)
{
  for (unsigned i = 1; i <= world->profile->instances; i++)
    if (sim_node (world->sim, i) && ft_node_holds_lease (sim_node (world->sim, i), "p0"))
      return i;
  return 0;
}

static void
report_servers (World *world)
{
  for (unsigned i = 0; i < world->engine_count; i++)
    world->policy.ops->on_server_state (world, world->engines[i]);
}

static void
restart_instance (Sim *sim, void *data)
{
  World *world = sim_user (sim);

  sim_restart (sim, GPOINTER_TO_UINT (data));
  report_servers (world);
}

static bool
is_foxtail (const World *world)
{
  return world->policy.ops == &policy_foxtail;
}

static void
kill_scheduler (Sim *sim, void *data)
{
  World *world = sim_user (sim);
  unsigned scheduler = is_foxtail (world) ? find_scheduler (world) : 0;

  (void) data;
  world->measure_grant_gap = true;
  world->last_grant_at = sim_now (sim);
  if (scheduler == 0)
    return;
  sim_kill (sim, scheduler);
  sim_schedule (sim, sim_now (sim) + 15 * FT_SECOND, restart_instance,
                GUINT_TO_POINTER (scheduler));
}

static void
setup_schedloss (World *world)
{
  sim_schedule (world->sim, FAULT_AT, kill_scheduler, NULL);
  sim_schedule (world->sim, FAULT_AT + 6 * FT_SECOND, kill_scheduler, NULL);
}

static void
isolate_scheduler (Sim *sim, void *data)
{
  World *world = sim_user (sim);
  unsigned scheduler = is_foxtail (world) ? find_scheduler (world) : 0;

  (void) data;
  world->measure_grant_gap = true;
  world->last_grant_at = sim_now (sim);
  for (unsigned i = 1; scheduler && i <= world->profile->instances; i++)
    if (i != scheduler)
      {
        sim_set_link_cut (sim, scheduler, i, true);
        sim_set_link_cut (sim, i, scheduler, true);
      }
}

static void
heal_links (Sim *sim, void *data)
{
  (void) data;
  sim_heal_links (sim);
}

static void
setup_partition (World *world)
{
  sim_schedule (world->sim, FAULT_AT, isolate_scheduler, NULL);
  sim_schedule (world->sim, FAULT_AT + 25 * FT_SECOND, heal_links, NULL);
}

static void
drain_third (Sim *sim, void *data)
{
  World *world = sim_user (sim);

  (void) data;
  for (unsigned i = 0; i < world->engine_count; i += 3)
    {
      world->engines[i]->leaving = true;
      world->policy.ops->on_server_state (world, world->engines[i]);
    }
}

static void
setup_drain (World *world)
{
  sim_schedule (world->sim, FAULT_AT, drain_third, NULL);
}

typedef struct
{
  unsigned instance;
} RollingRestart;

/* Restarts the instances gracefully, one after another: each leaves, finishes its requests, stops
 * and starts again. */
static void
continue_rolling_restart (Sim *sim, void *data)
{
  World *world = sim_user (sim);
  RollingRestart *roll = data;
  FtNode *node = sim_node (sim, roll->instance);
  FtNodeStatus status;

  world->measure_grant_gap = true;
  bool left = ft_node_leave (node);
  sim_flush (sim, roll->instance);
  ft_node_status (node, &status);
  if (!left || status.requests > 0)
    {
      sim_schedule (sim, sim_now (sim) + 100 * FT_MS, continue_rolling_restart, roll);
      return;
    }
  sim_kill (sim, roll->instance);
  sim_restart (sim, roll->instance);
  report_servers (world);
  if (++roll->instance <= world->profile->instances)
    sim_schedule (sim, sim_now (sim) + 4 * FT_SECOND, continue_rolling_restart, roll);
  else
    g_free (roll);
}

static void
setup_roll (World *world)
{
  RollingRestart *roll = g_new0 (RollingRestart, 1);

  if (!is_foxtail (world))
    {
      g_free (roll);
      return;
    }
  roll->instance = 1;
  world->last_grant_at = WARMUP_END;
  sim_schedule (world->sim, WARMUP_END + 5 * FT_SECOND, continue_rolling_restart, roll);
}

static void
fail_domain (Sim *sim, void *data)
{
  World *world = sim_user (sim);

  (void) data;
  world->measure_grant_gap = true;
  world->last_grant_at = sim_now (sim);
  for (unsigned i = 0; i < world->engine_count; i += 3)
    {
      engine_die (world->engines[i]);
      world->policy.ops->on_server_state (world, world->engines[i]);
    }
  for (unsigned i = 1; is_foxtail (world) && i <= world->profile->instances; i += 3)
    sim_kill (sim, i);
}

static void
setup_failuredomain (World *world)
{
  sim_schedule (world->sim, FAULT_AT, fail_domain, NULL);
}

static void
setup_none (World *world)
{
  (void) world;
}

static const Experiment experiments[] = {
  { "steady", "70 % of the capacity", 0.7, setup_none },
  { "burst", "three times the load for 20 s", 0.7, setup_burst },
  { "overload", "twice the capacity in all tiers", 2.0, setup_none },
  { "slowdown", "a third of the engines five times slower", 0.6, setup_slowdown },
  { "gray", "one engine ten times slower, one that never answers", 0.6, setup_gray },
  { "prefix", "prompts share most of their text", 0.9, setup_prefix },
  { "hog", "one organisation sends ten times its share", 1.2, setup_hog },
  { "mixed", "long report jobs among short questions", 0.9, setup_none },
  { "schedloss", "the scheduler dies under overload, then its successor", 1.5, setup_schedloss },
  { "partition", "the scheduler is cut off and still believes it is in charge", 0.7,
    setup_partition },
  { "drain", "a third of the engines leave", 0.6, setup_drain },
  { "roll", "all instances restart in turn", 0.7, setup_roll },
  { "failuredomain", "a third of the engines and instances fail at once", 0.5,
    setup_failuredomain },
};

/* ---- One run ---- */

typedef struct
{
  unsigned offered, completed, refused, late, lost; /* completed: before the deadline */
  double first_p95, gap_p95, prefill, wasted;
} TierResult;

typedef struct
{
  TierResult tiers[FT_TIERS + 1]; /* [0]: sums over all tiers */
  uint64_t violations, duplicate_dispatches, false_not_run, decisions;
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

/* Counts of each instance's scheduler when last read. They are read every 10 ms because they are
 * lost when the instance dies. */
typedef struct
{
  uint64_t violations[64], decisions[64];
  unsigned life[64];
} SchedulerCounts;

static void
collect_violations (Sim *sim, void *data)
{
  World *world = sim_user (sim);
  SchedulerCounts *counts = data;

  for (unsigned i = 1; is_foxtail (world) && i <= MIN (63, world->profile->instances); i++)
    {
      FtPool *pool = sim_node (sim, i) ? ft_node_pool (sim_node (sim, i), "p0") : NULL;
      FtPoolStats stats;
      if (pool == NULL)
        {
          counts->violations[i] = counts->decisions[i] = 0;
          continue;
        }
      ft_pool_stats (pool, &stats);
      if (stats.decisions < counts->decisions[i])
        counts->violations[i] = 0;
      world->violations += stats.tier_violations - counts->violations[i];
      counts->violations[i] = stats.tier_violations;
      counts->decisions[i] = stats.decisions;
    }
  sim_schedule (sim, sim_now (sim) + 10 * FT_MS, collect_violations, counts);
}

static void
collect_result (World *world, Result *result)
{
  memset (result, 0, sizeof *result);
  for (unsigned t = 1; t <= FT_TIERS; t++)
    {
      TierStats *tally = &world->tiers[t];
      TierResult *line = &result->tiers[t], *all = &result->tiers[0];
      *line = (TierResult){ tally->offered,
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
  result->duplicate_dispatches = world->duplicate_dispatches;
  result->false_not_run = world->false_not_run;
  result->decisions = world->decisions;
  result->gap_ms = world->longest_grant_gap / FT_MS;
  if (is_foxtail (world) && world->decisions)
    result->ns_per_decision = (double) sim_cpu_ns (world->sim) / (double) world->decisions;
}

/* Computes an upper bound on completed requests, with the engines' capacity and perfect knowledge:
 * higher tiers first, within a tier the cheapest requests first, every engine at its best batch
 * until the tier's last deadline. No policy can complete more of a tier without completing less of
 * a higher one. */
static int
compare_cost (const void *a, const void *b)
{
  double x = *(const double *) a, y = *(const double *) b;

  return (x > y) - (x < y);
}

static void
compute_bound (const World *world, Result *bound)
{
  double used = 0, engine_ms = 0, mean_rate = 0;

  for (unsigned i = 0; i < world->engine_count; i++)
    mean_rate += generations[world->engines[i]->generation].prefill_rate;
  memset (bound, 0, sizeof *bound);
  (void) mean_rate;
  /* Work is measured in milliseconds of the fastest generation; a slower engine contributes its
   * relative speed. */
  const Generation *unit = &generations[0];
  for (unsigned i = 0; i < world->engine_count; i++)
    engine_ms += world_request_cost_ms (unit, 300, 150)
                 / world_request_cost_ms (&generations[world->engines[i]->generation], 300, 150);
  for (unsigned t = 1; t <= FT_TIERS; t++)
    {
      GArray *costs = g_array_new (FALSE, FALSE, sizeof (double));
      int64_t last = 0;
      TierResult *line = &bound->tiers[t];
      for (unsigned i = 0; i < world->jobs->len; i++)
        {
          const Job *job = world->jobs->pdata[i];
          if (job->tier != t)
            continue;
          double held = job->block_count * (double) FT_BLOCK_TOKENS
                        * (world->long_shared_prefix ? 0.85 : 0.4);
          double cost = world_request_cost_ms (unit, MAX (1, job->prompt_tokens - held),
                                               job->output_tokens);
          g_array_append_val (costs, cost);
          last = MAX (last, job->deadline);
        }
      g_array_sort (costs, compare_cost);
      double capacity
          = (double) (MIN (last, WARMUP_END + ARRIVAL_DURATION + DRAIN_DURATION) - WARMUP_END)
            / FT_MS * engine_ms;
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
  SchedulerCounts *counts = g_new0 (SchedulerCounts, 1);

  experiment->setup (world);
  world_run (world, WARMUP_END);
  sim_schedule (world->sim, WARMUP_END, collect_violations, counts);
  world_start_arrivals (world, WARMUP_END, WARMUP_END + ARRIVAL_DURATION);
  world_run (world, WARMUP_END + ARRIVAL_DURATION + DRAIN_DURATION);
  collect_result (world, result);
  if (bound)
    compute_bound (world, bound);
  world_free (world);
  g_free (counts);
}

/* ---- Output ---- */

static const char csv_header[]
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
      const TierResult *line = &result->tiers[t];
      fprintf (csv,
               "%s,%s,%s,%" G_GUINT64_FORMAT
               ",%u,%u,%u,%u,%u,%.0f,%.1f,%.0f,%.0f,%" G_GUINT64_FORMAT ",%" G_GUINT64_FORMAT
               ",%" G_GUINT64_FORMAT ",%.0f,%u,%" G_GUINT64_FORMAT ",%" G_GINT64_FORMAT "\n",
               experiment, profile, policy, seed, t, line->offered, line->completed, line->refused,
               line->late, line->first_p95, line->gap_p95, line->prefill, line->wasted,
               result->violations, result->duplicate_dispatches, result->decisions,
               result->ns_per_decision, line->lost, result->false_not_run, result->gap_ms);
    }
}

typedef struct
{
  double offered[FT_TIERS + 1], completed[FT_TIERS + 1], first_p95[FT_TIERS + 1],
      gap_p95[FT_TIERS + 1];
  double late, lost, prefill, wasted, violations, duplicate_dispatches, false_not_run,
      ns_per_decision, longest_gap_ms;
  unsigned runs;
} Totals;

static void
add_to_totals (Totals *mean, const Result *result)
{
  for (unsigned t = 0; t <= FT_TIERS; t++)
    {
      mean->offered[t] += result->tiers[t].offered;
      mean->completed[t] += result->tiers[t].completed;
      mean->first_p95[t] += result->tiers[t].first_p95;
      mean->gap_p95[t] += result->tiers[t].gap_p95;
    }
  mean->late += result->tiers[0].late;
  mean->lost += result->tiers[0].lost;
  mean->prefill += result->tiers[0].prefill;
  mean->wasted += result->tiers[0].wasted;
  mean->violations += (double) result->violations;
  mean->duplicate_dispatches += (double) result->duplicate_dispatches;
  mean->false_not_run += (double) result->false_not_run;
  mean->ns_per_decision += result->ns_per_decision;
  mean->longest_gap_ms = MAX (mean->longest_gap_ms, (double) result->gap_ms);
  mean->runs++;
}

static double
percent (double part, double whole)
{
  return whole > 0 ? 100 * part / whole : 0;
}

static void
print_means (const char *policy, const Totals *mean)
{
  printf ("  %-16s", policy);
  for (unsigned t = 1; t <= FT_TIERS; t++)
    printf (" %5.1f", percent (mean->completed[t], mean->offered[t]));
  printf ("  %5.1f  %6.0f %5.1f  %6.2f  %5.0f %5.0f %4.0f %4.0f %4.0f %6.0f\n",
          percent (mean->completed[0], mean->offered[0]), mean->first_p95[1] / mean->runs,
          mean->gap_p95[1] / mean->runs, percent (mean->wasted, mean->prefill),
          mean->late / mean->runs, mean->lost / mean->runs, mean->violations,
          mean->duplicate_dispatches, mean->false_not_run, mean->longest_gap_ms);
}

/* ---- Selection of runs ---- */

typedef struct
{
  const char *policy, *profile;
  unsigned seeds;
  FILE *csv;
} RunOptions;

static void
run_policy (const Experiment *experiment, const Profile *profile, const PolicyOps *ops,
            const RunOptions *options, Totals *bound_totals)
{
  Totals mean = { 0 };

  if (strcmp (options->policy, "all") != 0 && strcmp (options->policy, ops->name) != 0)
    return;
  for (unsigned seed = 1; seed <= options->seeds; seed++)
    {
      Result result, bound;
      run_one (experiment, profile, ops, seed, &result, bound_totals ? &bound : NULL);
      print_csv (options->csv, experiment->name, profile->name, ops->name, seed, &result);
      add_to_totals (&mean, &result);
      if (bound_totals)
        {
          print_csv (options->csv, experiment->name, profile->name, "bound", seed, &bound);
          add_to_totals (bound_totals, &bound);
        }
    }
  print_means (ops->name, &mean);
  fflush (stdout);
}

static void
run_experiment (const Experiment *experiment, const RunOptions *options)
{
  for (unsigned p = 0; p < profile_count; p++)
    {
      const Profile *profile = &profiles[p];
      Totals bound = { 0 };
      bool selected = strcmp (options->profile, profile->name) == 0;
      if (!selected && (strcmp (options->profile, "users") != 0 || profile->engines > 100))
        continue;
      printf ("%s, %s: %s\n  policy            completed in time, %% of tier 1..5      all  "
              "first ms  gap  waste %%   late  lost viol  dbl untr gap ms\n",
              experiment->name, profile->name, experiment->description);
      run_policy (experiment, profile, &policy_foxtail, options, &bound);
      for (unsigned i = 0; i < policy_baseline_count; i++)
        run_policy (experiment, profile, &policy_baselines[i], options, NULL);
      if (bound.runs)
        print_means ("bound", &bound);
    }
}

static int
run_experiments (const char *name, const RunOptions *options)
{
  bool found = false;

  if (options->csv)
    fputs (csv_header, options->csv);
  for (unsigned i = 0; i < G_N_ELEMENTS (experiments); i++)
    if (strcmp (name, "all") == 0 || strcmp (name, experiments[i].name) == 0)
      {
        run_experiment (&experiments[i], options);
        found = true;
      }
  if (!found)
    fprintf (stderr, "foxtailbench: unknown experiment %s; 'list' shows all\n", name);
  return found ? 0 : 2;
}

int
main (int argc, char **argv)
{
  struct arg_str *command = arg_str1 (NULL, NULL, "list|run|report|cost|slopes|judge", "command");
  struct arg_str *name = arg_str0 (NULL, NULL, "EXPERIMENT", "experiment to run, or all");
  struct arg_str *policy = arg_str0 (NULL, "policy", "NAME", "run only this policy");
  struct arg_str *profile
      = arg_str0 (NULL, "profile", "NAME", "profile, default: both users' profiles");
  struct arg_int *seeds = arg_int0 (NULL, "seeds", "N", "run with the seeds 1 to N, default 1");
  struct arg_file *csv = arg_file0 (NULL, "csv", "FILE", "write the results of every run as CSV");
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
  RunOptions options
      = { policy->count ? policy->sval[0] : "all", profile->count ? profile->sval[0] : "users",
          (unsigned) seeds->ival[0], csv->count ? fopen (csv->filename[0], "we") : NULL };
  if (strcmp (command->sval[0], "list") == 0)
    {
      for (unsigned i = 0; i < G_N_ELEMENTS (experiments); i++)
        printf ("%-14s %s\n", experiments[i].name, experiments[i].description);
      result = 0;
    }
  else if (strcmp (command->sval[0], "run") == 0 && name->count)
    result = run_experiments (name->sval[0], &options);
  else if (strcmp (command->sval[0], "report") == 0)
    {
      options.seeds = seeds->count ? (unsigned) seeds->ival[0] : 5;
      result = run_experiments ("all", &options);
      cost_report (stdout);
    }
  else if (strcmp (command->sval[0], "cost") == 0)
    result = cost_report (stdout);
  else if (strcmp (command->sval[0], "judge") == 0)
    result = curves_report (CURVE_SEEDS);
  else if (strcmp (command->sval[0], "slopes") == 0)
    result = slopes_report (options.csv ? options.csv : stdout);
  else
    fprintf (stderr,
             "foxtailbench: 'run' needs an EXPERIMENT; commands: list, run, report, cost, slopes, "
             "judge\n");
  if (options.csv)
    fclose (options.csv);
  arg_freetable (table, G_N_ELEMENTS (table));
  return result;
}
