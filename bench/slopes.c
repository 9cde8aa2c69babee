/* slopes.c - measures the growth rates for docs/CAPACITY.md with the real library in a simulation.
 * Bytes and messages are counted; only processor time depends on the machine. Each series has four
 * points over up to two decades. */
#include "slopes.h"
#include "cost.h"
#include "sim.h"

#include <math.h>
#include <string.h>

#define POINTS      4
#define IDLE_S      20.0 /* how long the traffic of idle nodes is counted */
#define IDLE_PERIOD ((int64_t) IDLE_S * FT_SECOND)

typedef struct
{
  const char *what, *unit;
  double x[POINTS], y[POINTS];
} Series;

static void
print_series (FILE *out, const Series *series)
{
  double sx = 0, sy = 0, sxx = 0, sxy = 0, max_residual = 0;

  for (unsigned i = 0; i < POINTS; i++)
    {
      fprintf (out, "%s,%s,%g,%g\n", series->what, series->unit, series->x[i], series->y[i]);
      sx += series->x[i];
      sy += series->y[i];
      sxx += series->x[i] * series->x[i];
      sxy += series->x[i] * series->y[i];
    }
  double slope = (POINTS * sxy - sx * sy) / (POINTS * sxx - sx * sx);
  double intercept = (sy - slope * sx) / POINTS;
  for (unsigned i = 0; i < POINTS; i++)
    max_residual = MAX (max_residual, fabs (series->y[i] - intercept - slope * series->x[i]));
  fprintf (out, "fit:%s,%s,start %.4g slope %.4g,largest residual %.3g\n", series->what,
           series->unit, intercept, slope, max_residual);
}

/* ---- Idle nodes and catalogue changes ---- */

static char *
make_catalogue (unsigned orgs, unsigned concurrent_limit)
{
  GString *text = g_string_new ("{\"organisations\":[");

  for (unsigned i = 0; i < orgs; i++)
    g_string_append_printf (
        text,
        "%s{\"name\":\"o%u\",\"owner\":\"owner\",\"class\":\"c\",\"key_sha256\":"
        "\"%064x\",\"limits\":{\"concurrent\":%u}}",
        i ? "," : "", i, i + 1, concurrent_limit);
  g_string_append (text,
                   "],\"classes\":[{\"name\":\"c\",\"owner\":\"w\",\"tier\":1,\"limits\":{}}],"
                   "\"pools\":[{\"name\":\"p\",\"owner\":\"w\",\"class\":\"c\",\"kind\":"
                   "\"model\",\"model\":\"m\",\"limits\":{}}]}");
  return g_string_free (text, FALSE);
}

static Sim *
start_nodes (unsigned instances, unsigned orgs)
{
  static const SimOps no_ops = { 0 };
  SimConf conf = { .instances = instances, .voters = 3, .seed = 1, .delay = 500 };
  Sim *sim = sim_new (&conf, &no_ops, NULL);
  char *text = make_catalogue (orgs, 0);

  sim_run (sim, 3 * FT_SECOND);
  ft_node_propose_catalogue (sim_node (sim, 1), "first", "bench", 0, text, 1);
  sim_flush (sim, 1);
  sim_run (sim, 8 * FT_SECOND);
  g_free (text);
  return sim;
}

static unsigned
find_leader (Sim *sim)
{
  FtNodeStatus status;

  ft_node_status (sim_node (sim, 1), &status);
  return status.leader ? status.leader : 1;
}

static SimTraffic
count_idle_traffic (Sim *sim, unsigned instance)
{
  SimTraffic before = sim_traffic (sim, instance);

  sim_run (sim, sim_now (sim) + IDLE_PERIOD);
  SimTraffic after = sim_traffic (sim, instance);
  return (SimTraffic){ after.messages - before.messages, after.bytes - before.bytes };
}

static void
measure_nodes (FILE *out)
{
  static const unsigned counts[POINTS] = { 6, 32, 100, 320 };
  Series entry = { .what = "entry at rest, sent", .unit = "bytes/s by nodes" };
  Series leader = { .what = "leader at rest, sent", .unit = "bytes/s by nodes" };
  Series messages = { .what = "leader at rest, sent messages", .unit = "messages/s by nodes" };
  Series cpu = { .what = "leader and all nodes at rest", .unit = "ns of processor/s by nodes" };
  Series in_force = { .what = "accepted to in force everywhere", .unit = "ms by nodes" };

  for (unsigned i = 0; i < POINTS; i++)
    {
      Sim *sim = start_nodes (counts[i], 5);
      entry.x[i] = leader.x[i] = messages.x[i] = cpu.x[i] = in_force.x[i] = counts[i];
      uint64_t ns = sim_cpu_ns (sim);
      SimTraffic sent = count_idle_traffic (sim, find_leader (sim));
      cpu.y[i] = (double) (sim_cpu_ns (sim) - ns) / IDLE_S;
      leader.y[i] = (double) sent.bytes / IDLE_S;
      messages.y[i] = (double) sent.messages / IDLE_S;
      sent = count_idle_traffic (sim, counts[i]);
      entry.y[i] = (double) sent.bytes / IDLE_S;
      char *text = make_catalogue (5, 1);
      ft_node_propose_catalogue (sim_node (sim, 1), "second", "bench", 1, text, 1);
      sim_flush (sim, 1);
      g_free (text);
      int64_t started = sim_now (sim);
      for (unsigned at = 1; at <= counts[i];)
        {
          FtCat *cat = ft_node_catalogue (sim_node (sim, at));
          if (cat && ft_cat_revision (cat) == 2)
            at++;
          else
            sim_run (sim, sim_now (sim) + 5 * FT_MS);
        }
      in_force.y[i] = (double) (sim_now (sim) - started) / FT_MS;
      sim_free (sim);
    }
  print_series (out, &entry);
  print_series (out, &leader);
  print_series (out, &messages);
  print_series (out, &cpu);
  print_series (out, &in_force);
}

static void
measure_catalogue (FILE *out)
{
  static const unsigned orgs[POINTS] = { 37, 370, 1850, 3700 };
  Series text = { .what = "catalogue", .unit = "bytes by organisations" };
  Series sent = { .what = "leader, one change to 6 nodes, sent", .unit = "bytes by organisations" };

  for (unsigned i = 0; i < POINTS; i++)
    {
      Sim *sim = start_nodes (6, orgs[i]);
      char *next = make_catalogue (orgs[i], 1);
      unsigned leader = find_leader (sim);
      text.x[i] = sent.x[i] = orgs[i];
      text.y[i] = (double) strlen (next);
      uint64_t before = sim_traffic (sim, leader).bytes;
      ft_node_propose_catalogue (sim_node (sim, leader), "second", "bench", 1, next, 1);
      sim_flush (sim, leader);
      sim_run (sim, sim_now (sim) + 3 * FT_SECOND);
      sent.y[i] = (double) (sim_traffic (sim, leader).bytes - before);
      g_free (next);
      sim_free (sim);
    }
  print_series (out, &text);
  print_series (out, &sent);
}

static void
measure_claims (FILE *out)
{
  static const unsigned claims[POINTS] = { 100, 1000, 4000, 10000 };
  Series log = { .what = "voter's log", .unit = "bytes by claims" };

  for (unsigned i = 0; i < POINTS; i++)
    {
      Sim *sim = start_nodes (3, 5);
      size_t before = sim_file_size (sim, 1, "log") + sim_file_size (sim, 1, "snap");
      for (unsigned j = 0; j < MIN (claims[i], 7000); j++)
        {
          char key[32];
          g_snprintf (key, sizeof key, "o1/key-%u", j);
          ft_node_claim (sim_node (sim, 2), key, "0123456789abcdef0123456789abcdef", key, 1);
          if (j % 200 == 199)
            {
              sim_flush (sim, 2);
              sim_run (sim, sim_now (sim) + 50 * FT_MS);
            }
        }
      sim_flush (sim, 2);
      sim_run (sim, sim_now (sim) + 2 * FT_SECOND);
      log.x[i] = MIN (claims[i], 7000);
      log.y[i] = (double) (sim_file_size (sim, 1, "log") + sim_file_size (sim, 1, "snap") - before);
      sim_free (sim);
    }
  print_series (out, &log);
}

/* ---- The scheduler ---- */

typedef struct
{
  FtClock base;
  int64_t now;
} FixedClock;

static int64_t
fixed_now (FtClock *clock)
{
  return ((FixedClock *) clock)->now;
}

static const FtClockOps fixed_ops = { fixed_now };

static void
ignore_stream (void *host, const FtGrant *grant)
{
  (void) host;
  (void) grant;
}

static void
ignore_refusal (void *host, const FtRefusal *refusal)
{
  (void) host;
  (void) refusal;
}

static const FtPoolOps ignore_ops = { ignore_stream, ignore_refusal, ignore_stream, ignore_stream };

static double
pool_bytes (unsigned servers, unsigned requests, unsigned orgs)
{
  FixedClock clock = { { &fixed_ops }, FT_SECOND };
  FtPoolConf conf = { 27, 64, 0, false };
  FtPool *pool = ft_pool_new (&conf, &clock.base, &ignore_ops, NULL);
  FtPoolStats stats;
  char name[16];

  for (unsigned i = 0; i < servers; i++)
    {
      g_snprintf (name, sizeof name, "s%u", i);
      ft_pool_update_server (pool, name, 1, FT_SERVER_LIVE);
    }
  for (unsigned i = 0; i < MAX (requests, orgs); i++)
    {
      g_snprintf (name, sizeof name, "o%u", i % orgs);
      FtPoolRequest request = { .entry = 1,
                                .request = i + 1,
                                .tier = 3,
                                .org = name,
                                .class_name = "c",
                                .weight = 1,
                                .prompt_tokens = 100,
                                .first_token_in_us = 3600 * FT_SECOND,
                                .deadline_in_us = 3600 * FT_SECOND };
      ft_pool_submit (pool, &request);
    }
  ft_pool_stats (pool, &stats);
  ft_pool_free (pool);
  return (double) stats.bytes;
}

static void
measure_pool (FILE *out)
{
  static const unsigned servers[POINTS] = { 12, 130, 650, 1300 };
  static const unsigned requests[POINTS] = { 1000, 5000, 20000, 100000 };
  static const unsigned orgs[POINTS] = { 37, 370, 1850, 3700 };
  Series by_servers = { .what = "scheduler's state", .unit = "bytes by servers" };
  Series by_requests = { .what = "scheduler's state", .unit = "bytes by requests held" };
  Series by_orgs = { .what = "scheduler's state", .unit = "bytes by organisations seen" };

  for (unsigned i = 0; i < POINTS; i++)
    {
      by_servers.x[i] = servers[i];
      by_servers.y[i] = pool_bytes (servers[i], 10, 5);
      by_requests.x[i] = requests[i];
      by_requests.y[i] = pool_bytes (12, requests[i], 5);
      by_orgs.x[i] = orgs[i];
      by_orgs.y[i] = pool_bytes (12, 3700, orgs[i]);
    }
  print_series (out, &by_servers);
  print_series (out, &by_requests);
  print_series (out, &by_orgs);
}

int
slopes_report (FILE *out)
{
  fprintf (out, "what,unit,x,y\n");
  measure_nodes (out);
  measure_catalogue (out);
  measure_claims (out);
  measure_pool (out);
  return 0;
}
