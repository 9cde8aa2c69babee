/* egress.c - watches the connects of an entry to servers, chooses relays, and finds out when its
 * own path is back.
 *
 * A connect that fails is tried once more from another entry before the server counts as
 * unreachable: an entry that is cut off would otherwise report all servers as unreachable, and the
 * scheduler would withhold them from all entries. While the path is lost nothing is connected
 * directly but a probe, to a server that a relay has just reached.
 */
#include "egress.h"
#include "jlog.h"
#include "paths.h"

#include <string.h>

#define PROBE_INTERVAL (250 * FT_MS)   /* while the path is lost */
#define PROBE_TIMEOUT  (250 * FT_MS)   /* the same as for requests */
#define RELAY_SKIPPED  (1 * FT_SECOND) /* after a relay has failed */

typedef struct
{
  uint32_t ip;
  int64_t skipped_until;
} Candidate;

struct Egress
{
  Loop *loop;
  HCli *cli;
  Paths *paths;
  uint16_t relay_port;
  void (*changed) (void *host);
  void *host;
  Candidate candidates[MESH_RELAYS_MAX];
  unsigned candidate_count, next;
  LoopTimer probe_timer;
  bool probing, freed;
  char *probe_server; /* reached last by a relay; NULL: none yet */
  SockAddr probe_addr;
  uint64_t failed_connects, relayed, relay_failures;
};

/* ---- This entry's own path ---- */

static void
log_change (const Egress *egress, const char *server, unsigned failed)
{
  if (paths_is_lost (egress->paths))
    jlog (JLOG_WARN, "path-lost", NULL, JL_TEXT ("server", server), JL_INT ("servers", failed),
          JL_INT ("relays", egress->candidate_count));
  else
    jlog (JLOG_INFO, "path-back", NULL, JL_TEXT ("server", server), JL_INT ("servers", failed),
          JL_MS ("lost_ms", loop_now (egress->loop) - paths_lost_at (egress->paths)));
}

static void
on_connect (void *user, const char *key, bool established)
{
  Egress *egress = user;
  bool was_lost = paths_is_lost (egress->paths);
  unsigned before = paths_failed_count (egress->paths);

  egress->failed_connects += !established;
  paths_note (egress->paths, key, established);
  if (paths_is_lost (egress->paths) == was_lost)
    return;
  log_change (egress, key, was_lost ? before : paths_failed_count (egress->paths));
  if (!was_lost)
    loop_timer_set (egress->loop, &egress->probe_timer, loop_now (egress->loop) + PROBE_INTERVAL);
  egress->changed (egress->host);
}

static void
on_probed (void *user, bool connected, HXferFault fault)
{
  Egress *egress = user;

  (void) connected; /* on_connect has taken note of it */
  (void) fault;
  egress->probing = false;
  if (egress->freed)
    g_free (egress);
}

static void
on_probe_timer (LoopTimer *timer)
{
  Egress *egress = (Egress *) ((char *) timer - offsetof (Egress, probe_timer));
  HCliTarget target
      = { .addr = egress->probe_addr, .key = egress->probe_server, .connect_us = PROBE_TIMEOUT };

  if (!paths_is_lost (egress->paths))
    return;
  if (egress->probe_server && !egress->probing)
    egress->probing = hcli_probe (egress->cli, &target, on_probed, egress);
  loop_timer_set (egress->loop, timer, loop_now (egress->loop) + PROBE_INTERVAL);
}

bool
egress_is_lost (const Egress *egress)
{
  return paths_is_lost (egress->paths);
}

bool
egress_is_doubtful (const Egress *egress, const char *server)
{
  return paths_is_doubtful (egress->paths, server);
}

/* ---- Relays ---- */

void
egress_set_relays (Egress *egress, const MeshRelays *relays)
{
  Candidate before[MESH_RELAYS_MAX];
  unsigned before_count = egress->candidate_count;

  memcpy (before, egress->candidates, sizeof before);
  egress->candidate_count = MIN (relays->relays.relays_len, MESH_RELAYS_MAX);
  for (unsigned i = 0; i < egress->candidate_count; i++)
    {
      egress->candidates[i] = (Candidate){ .ip = relays->relays.relays_val[i] };
      for (unsigned j = 0; j < before_count; j++)
        if (before[j].ip == egress->candidates[i].ip)
          egress->candidates[i] = before[j];
    }
}

bool
egress_pick_relay (Egress *egress, SockAddr *relay)
{
  int64_t now = loop_now (egress->loop);

  for (unsigned i = 0; egress->relay_port && i < egress->candidate_count; i++)
    {
      const Candidate *candidate = &egress->candidates[egress->next++ % egress->candidate_count];
      if (candidate->skipped_until > now)
        continue;
      *relay = (SockAddr){ candidate->ip, egress->relay_port };
      return true;
    }
  return false;
}

void
egress_note_relay_failed (Egress *egress, SockAddr relay)
{
  egress->relay_failures++;
  for (unsigned i = 0; i < egress->candidate_count; i++)
    if (egress->candidates[i].ip == relay.ip)
      egress->candidates[i].skipped_until = loop_now (egress->loop) + RELAY_SKIPPED;
}

void
egress_note_relayed (Egress *egress, const char *server, SockAddr addr)
{
  egress->relayed++;
  if (egress->probing)
    return; /* the probe's key is in use */
  g_free (egress->probe_server);
  egress->probe_server = g_strdup (server);
  egress->probe_addr = addr;
}

/* ---- The module ---- */

Egress *
egress_new (Loop *loop, HCli *cli, const Settings *settings, void (*changed) (void *host),
            void *host)
{
  Egress *egress = g_new0 (Egress, 1);

  egress->loop = loop;
  egress->cli = cli;
  egress->paths = paths_new (loop_clock (loop));
  egress->relay_port = (uint16_t) settings->relay_port;
  egress->changed = changed;
  egress->host = host;
  egress->probe_timer.fire = on_probe_timer;
  hcli_set_source (cli, settings->source);
  hcli_set_connect_func (cli, on_connect, egress);
  return egress;
}

void
egress_free (Egress *egress)
{
  if (egress == NULL)
    return;
  hcli_set_connect_func (egress->cli, NULL, NULL);
  loop_timer_stop (egress->loop, &egress->probe_timer);
  paths_free (egress->paths);
  g_free (egress->probe_server);
  egress->freed = true;
  if (!egress->probing)
    g_free (egress);
}

void
egress_describe (const Egress *egress, GString *out)
{
  g_string_append_printf (out,
                          "foxtail_path_lost %d\nfoxtail_servers_unreachable %u\n"
                          "foxtail_failed_connects_total %" G_GUINT64_FORMAT "\n"
                          "foxtail_relayed_requests_total %" G_GUINT64_FORMAT "\n"
                          "foxtail_relay_failures_total %" G_GUINT64_FORMAT "\n",
                          paths_is_lost (egress->paths), paths_failed_count (egress->paths),
                          egress->failed_connects, egress->relayed, egress->relay_failures);
}
