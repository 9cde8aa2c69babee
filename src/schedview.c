/* schedview.c - statistics and a textual description of a scheduler, for operators. */
#include "schedint.h"

#include <string.h>

void
sched_stats (const Sched *sched, SchedStats *stats)
{
  GHashTableIter iter;
  gpointer value;
  int64_t now = ft_clock_now (sched->clock);

  memset (stats, 0, sizeof *stats);
  g_hash_table_iter_init (&iter, sched->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Server *server = value;
      stats->servers++;
      stats->running += server->running;
      stats->out += now < server->out_until;
      stats->slots += server->slots;
    }
  stats->waiting = g_hash_table_size (sched->jobs) - stats->running;
}

bool
sched_is_paced (const Sched *sched, const char *id)
{
  const Server *server = g_hash_table_lookup (sched->servers, id);

  return server && (server->pace.rate > 0 || server->brittle.limit > 0);
}

void
sched_fair_counts (const Sched *sched, SchedFair *counts)
{
  *counts = sched->counts;
}

/* Appends a line for each non-empty queue in fair order. */
static void
describe_shares (const Service *service, GString *out, int64_t now)
{
  for (unsigned i = 0; i < service->tiers->len; i++)
    {
      const Tier *tier = service->tiers->pdata[i];
      if (tier->shares == NULL || shr_waiting_orgs (tier->shares) == 0)
        continue;
      g_string_append_printf (out, "# shares service=%s tier=%u organisations=%u", service->name,
                              tier->tier, shr_waiting_orgs (tier->shares));
      shr_describe (tier->shares, out, now);
      g_string_append_c (out, '\n');
    }
}

char *
sched_describe (const Sched *sched)
{
  GString *out = g_string_new (NULL);
  GHashTableIter iter;
  gpointer value;
  int64_t now = ft_clock_now (sched->clock);

  g_hash_table_iter_init (&iter, sched->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Server *server = value;
      g_string_append_printf (
          out,
          "# %s service=%s domain=%s running=%u/%u %s%s%s token_ms=%.2f prompt_unit_ms=%.2f "
          "answer_ms=%.1f failures=%.2f rate=%g brittle=%g room=%u\n",
          server->id, server->service->name, server->domain, server->running, server->slots,
          server->leaving  ? "leaving"
          : server->listed ? "live"
                           : "gone",
          now < server->out_until ? " out" : "", server->probing ? " trial" : "",
          server->token_us / 1e3, server->prompt_unit / 1e3, server->answer_us / 1e3,
          server->failures, server->pace.rate, server->brittle.limit, brit_room (server));
    }
  g_hash_table_iter_init (&iter, sched->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    describe_shares (value, out, now);
  return g_string_free (out, FALSE);
}
