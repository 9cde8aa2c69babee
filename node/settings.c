/* settings.c - one table defines all settings; it drives the validation and the help text. */
#include "settings.h"

#include <stdio.h>
#include <string.h>

#define AT(field) offsetof (Settings, field)

static const FtField fields[] = {
  { "name", FT_FIELD_STRING, true, 1, 63, NULL, AT (name), "name of this instance, for its logs" },
  { "role", FT_FIELD_STRING, true, 5, 5, NULL, AT (role_text),
    "entry: takes callers; voter: keeps the log, schedules, answers operators" },
  { "ip", FT_FIELD_STRING, true, 7, 15, NULL, AT (ip_text), "IPv4 of this instance" },
  { "domain", FT_FIELD_STRING, true, 1, 63, NULL, AT (domain), "its failure domain" },
  { "region", FT_FIELD_STRING, false, 0, 63, "", AT (region), "its region" },
  { "log_level", FT_FIELD_STRING, false, 4, 5, "info", AT (log_level),
    "error, warn, info or debug" },
  { "callers", FT_FIELD_STRING, false, 0, 21, "", AT (callers_text),
    "address for callers, IP:PORT; needed by an entry" },
  { "ready", FT_FIELD_STRING, false, 0, 21, "", AT (ready_text),
    "address for the load balancer's readiness check, IP:PORT; needed by an entry" },
  { "control", FT_FIELD_STRING, false, 0, 21, "", AT (control_text),
    "address for operators, IP:PORT; needed by a voter" },
  { "list", FT_FIELD_STRING, true, 9, 21, NULL, AT (list_text),
    "address of the platform's list of backend servers, IP:PORT" },
  { "data_folder", FT_FIELD_STRING, false, 0, 4095, "", AT (data_folder),
    "folder for a voter's state; needed by a voter" },
  { "seeds", FT_FIELD_STRINGS, true, 0, 64, NULL, AT (seed_texts),
    "addresses of some voters, IP:PORT" },
  { "link_port", FT_FIELD_INTEGER, true, 1, 65535, NULL, AT (link_port),
    "port for other instances, the same on all" },
  { "link_listen_port", FT_FIELD_INTEGER, false, 0, 65535, "0", AT (link_listen_port),
    "port to listen on for other instances if link_port is forwarded to it; 0: link_port" },
  { "relay_port", FT_FIELD_INTEGER, false, 0, 65535, "0", AT (relay_port),
    "port on which entries relay each other's connections to servers, the same on all; 0: they "
    "do not" },
  { "source_ip", FT_FIELD_STRING, false, 0, 15, "", AT (source_text),
    "local IPv4 of connections to servers; empty: the system chooses it" },
  { "metrics_port", FT_FIELD_INTEGER, false, 0, 65535, "0", AT (metrics_port),
    "port for metrics; 0: none" },
  { "files", FT_FIELD_TRUNCATED, false, 0, 10000000, "0", AT (files),
    "descriptors that the process may have open, of which callers get half; 0: the system's "
    "limit" },
  { "first_start", FT_FIELD_BOOL, false, 0, 0, "false", AT (first_start),
    "first start of the whole deployment: the seeds may form the first set of voters" },
  { "losses", FT_FIELD_TRUNCATED, false, 0, 3, "1", AT (losses),
    "voters that may fail at the same time" },
  { "list_rate", FT_FIELD_STRING, false, 0, 20, "10", AT (list_rate_text),
    "calls per second to the list that are allowed to all instances together" },
  { "drain_ms", FT_FIELD_TRUNCATED, false, 100, 3600000, "3000", AT (drain_ms),
    "time after which a server that the list shows as leaving gets no new requests, ms" },
  { "grace_s", FT_FIELD_TRUNCATED, false, 1, 86400, "8", AT (grace_s),
    "time from the request to stop a process until it is killed, seconds" },
  { "start_wait_s", FT_FIELD_TRUNCATED, false, 0, 86400, "70", AT (start_wait_s),
    "how long a start waits for addresses and a data folder that are in use, seconds; connections "
    "that have ended hold an address for 60 s" },
  { "budget_ratio", FT_FIELD_STRING, false, 0, 20, "0.2", AT (budget_ratio_text),
    "retries allowed, as a share of a service's requests" },
  { "budget_slack", FT_FIELD_TRUNCATED, false, 0, 1000000, "20", AT (budget_slack),
    "retries allowed in addition, over all instances" },
  { "budget_window_s", FT_FIELD_TRUNCATED, false, 1, 3600, "10", AT (budget_window_s),
    "window over which retries are counted, seconds" },
  { "limit_window_s", FT_FIELD_TRUNCATED, false, 0, 3600, "0", AT (limit_window_s),
    "window in which organisations' limits are checked, seconds; 0: no margin is known" },
  { "limit_overage", FT_FIELD_STRING, false, 0, 20, "0", AT (limit_overage_text),
    "allowed excess over the limits in that window, as a share of them" },
  { "limit_slack", FT_FIELD_TRUNCATED, false, 0, G_GINT64_CONSTANT (1000000000000), "0",
    AT (limit_slack), "allowed excess in addition, in the unit of the limits" },
  { "rollout_share", FT_FIELD_STRING, false, 0, 20, "0.1", AT (rollout_share_text),
    "share of a service's requests that a bad version may get during a roll-out" },
  { "rollout_slack", FT_FIELD_TRUNCATED, false, 0, 1000000, "20", AT (rollout_slack),
    "requests that it may get in addition" },
  { "order_repeat_ms", FT_FIELD_TRUNCATED, false, 100, 3600000, "5000", AT (order_repeat_ms),
    "an identical roll-out order within this time counts as a retry of the first, ms" },
  { "handover_wait_ms", FT_FIELD_TRUNCATED, false, 0, 5000, "0", AT (handover_wait_ms),
    "how long a new scheduler waits at most for the entries' reports, milliseconds; 0: it does "
    "not wait" },
  { "return_part", FT_FIELD_STRING, false, 0, 20, "0", AT (return_part_text),
    "share of limits, 0 to 1, that may be reserved for refused callers that retry; 0: none" },
  { "return_place_part", FT_FIELD_STRING, false, 0, 20, "0", AT (return_place_part_text),
    "share of places, 0 to 1, that may be reserved for them; 0: none" },
  { "all_versions", FT_FIELD_BOOL, false, 0, 0, "false", AT (all_versions),
    "servers of all software versions get requests, except where a roll-out was ordered; false: of "
    "one version only" },
  { "fair_shares", FT_FIELD_BOOL, false, 0, 0, "false", AT (fair_shares),
    "when places are short, share them out in proportion to organisations' limits" },
  { 0 },
};

void
settings_help (void)
{
  static const char *const types[] = { "text", "number", "true/false", "texts" };

  for (const FtField *field = fields; field->name; field++)
    printf ("  %-16s %-10s %s%s%s%s\n", field->name, types[field->type], field->help,
            field->required ? " (needed)" : " (default ",
            field->required   ? ""
            : field->fallback ? field->fallback
                              : "",
            field->required ? "" : ")");
}

void
settings_free (Settings *settings)
{
  if (settings == NULL)
    return;
  ft_json_fields_clear (fields, settings);
  if (settings->seeds)
    g_array_unref (settings->seeds);
  g_free (settings);
}

static FtStatus
parse_address (const char *field, const char *text, bool needed, SockAddr *out, FtError *error)
{
  if (*text == '\0' && !needed)
    return FT_OK;
  if (sock_addr_parse (text, out))
    return FT_OK;
  return ft_error_set (error, FT_INVALID, 0, field, "\"%s\" is not of the form IP:PORT", text);
}

static FtStatus
parse_number (const char *field, const char *text, double *out, FtError *error)
{
  char *end;

  *out = g_ascii_strtod (text, &end);
  if (end != text && *end == '\0' && *out >= 0)
    return FT_OK;
  return ft_error_set (error, FT_INVALID, 0, field, "\"%s\" is not a number of at least 0", text);
}

static FtStatus
parse_share (const char *field, const char *text, double *out, FtError *error)
{
  FtStatus status = parse_number (field, text, out, error);

  if (status == FT_OK && *out > 1)
    return ft_error_set (error, FT_INVALID, 0, field, "\"%s\" is greater than 1", text);
  return status;
}

static FtStatus
parse_ip (const char *field, const char *text, bool needed, uint32_t *out, FtError *error)
{
  SockAddr parsed;
  char *with_port = g_strconcat (text, ":0", NULL);
  bool valid = sock_addr_parse (with_port, &parsed);

  g_free (with_port);
  if (*text == '\0' && !needed)
    return FT_OK;
  if (!valid)
    return ft_error_set (error, FT_INVALID, 0, field, "\"%s\" is not an IPv4 address", text);
  *out = parsed.ip;
  return FT_OK;
}

static FtStatus
parse_values (Settings *s, FtError *error)
{
  if (parse_ip ("ip", s->ip_text, true, &s->ip, error) != FT_OK
      || parse_ip ("source_ip", s->source_text, false, &s->source, error) != FT_OK)
    return FT_INVALID;
  if (strcmp (s->role_text, "entry") == 0)
    s->role = ROLE_ENTRY;
  else if (strcmp (s->role_text, "voter") == 0)
    s->role = ROLE_VOTER;
  else
    return ft_error_set (error, FT_INVALID, 0, "role", "must be entry or voter");
  if (s->role == ROLE_VOTER && *s->data_folder == '\0')
    return ft_error_set (error, FT_INVALID, 0, "data_folder", "required for a voter");
  s->seeds = g_array_new (FALSE, FALSE, sizeof (SockAddr));
  for (unsigned i = 0; i < s->seed_texts->len; i++)
    {
      SockAddr seed;
      if (parse_address ("seeds", s->seed_texts->pdata[i], true, &seed, error) != FT_OK)
        return FT_INVALID;
      g_array_append_val (s->seeds, seed);
    }
  bool entry = s->role == ROLE_ENTRY;
  if (parse_address ("callers", s->callers_text, entry, &s->callers, error) != FT_OK
      || parse_address ("ready", s->ready_text, entry, &s->ready, error) != FT_OK
      || parse_address ("control", s->control_text, !entry, &s->control, error) != FT_OK
      || parse_address ("list", s->list_text, true, &s->list, error) != FT_OK
      || parse_number ("list_rate", s->list_rate_text, &s->list_rate, error) != FT_OK
      || parse_number ("limit_overage", s->limit_overage_text, &s->limit_overage, error) != FT_OK
      || parse_number ("rollout_share", s->rollout_share_text, &s->rollout_share, error) != FT_OK
      || parse_number ("budget_ratio", s->budget_ratio_text, &s->budget_ratio, error) != FT_OK
      || parse_share ("return_part", s->return_part_text, &s->return_part, error) != FT_OK
      || parse_share ("return_place_part", s->return_place_part_text, &s->return_place_part, error)
             != FT_OK)
    return FT_INVALID;
  return FT_OK;
}

FtStatus
settings_parse (const char *text, Settings **out, FtError *error)
{
  FtJson *doc = NULL;
  Settings *settings = g_new0 (Settings, 1);
  FtStatus status = ft_json_parse (text, &doc, error);

  *out = NULL;
  if (status == FT_OK)
    status = ft_json_fields (doc, ft_json_root (doc), "", fields, NULL, settings, error);
  if (status == FT_OK)
    status = parse_values (settings, error);
  if (status == FT_OK)
    *out = settings;
  else
    settings_free (settings);
  ft_json_free (doc);
  return status;
}

FtStatus
settings_read (const char *path, Settings **out, FtError *error)
{
  char *text = NULL;

  *out = NULL;
  FtStatus status = ft_text_read (path, &text, error);
  if (status == FT_OK)
    status = settings_parse (text, out, error);
  g_free (text);
  return status;
}
