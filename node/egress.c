/* egress.c - watches the connects of an entry to backend servers. */
#include "egress.h"
#include "jlog.h"
#include "paths.h"

struct Egress
{
  Loop *loop;
  HCli *cli;
  Paths *paths;
  uint64_t failed_connects;
};

static void
log_change (const Egress *egress, const char *server, unsigned failed)
{
  if (paths_is_lost (egress->paths))
    jlog (JLOG_WARN, "path-lost", NULL, JL_TEXT ("server", server), JL_INT ("servers", failed));
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
  if (paths_is_lost (egress->paths) != was_lost)
    log_change (egress, key, was_lost ? before : paths_failed_count (egress->paths));
}

Egress *
egress_new (Loop *loop, HCli *cli, const Settings *settings)
{
  Egress *egress = g_new0 (Egress, 1);

  egress->loop = loop;
  egress->cli = cli;
  egress->paths = paths_new (loop_clock (loop));
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
  paths_free (egress->paths);
  g_free (egress);
}

bool
egress_is_lost (const Egress *egress)
{
  return paths_is_lost (egress->paths);
}

void
egress_describe (const Egress *egress, GString *out)
{
  g_string_append_printf (out,
                          "foxtail_path_lost %d\nfoxtail_servers_unreachable %u\n"
                          "foxtail_failed_connects_total %" G_GUINT64_FORMAT "\n",
                          paths_is_lost (egress->paths), paths_failed_count (egress->paths),
                          egress->failed_connects);
}
