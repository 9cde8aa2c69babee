/* settings.h - settings of an instance; the other members of the deployment are discovered. */
#ifndef SETTINGS_H
#define SETTINGS_H

#include "sock.h"

typedef enum
{
  ROLE_ENTRY, /* takes callers */
  ROLE_VOTER  /* keeps the replicated log, schedules, answers operators */
} SettingsRole;

typedef struct
{
  char *name, *role_text, *ip_text, *domain, *region, *log_level;
  char *callers_text, *ready_text, *control_text, *list_text, *data_folder, *source_text;
  GPtrArray *seed_texts;
  int64_t link_port, link_listen_port, relay_port, metrics_port, files;
  bool first_start;
  int64_t losses, grace_s, drain_ms, start_wait_s;
  int64_t budget_window_s, budget_slack, limit_window_s, limit_slack;
  int64_t rollout_slack, order_repeat_ms, handover_wait_ms;
  bool fair_shares, all_versions;
  char *list_rate_text, *budget_ratio_text, *limit_overage_text, *rollout_share_text;
  char *return_part_text, *return_place_part_text;
  /* Parsed from the texts above. */
  SettingsRole role;
  uint32_t ip, source; /* source 0: the system chooses it */
  SockAddr callers, ready, control, list;
  GArray *seeds; /* SockAddr */
  double list_rate, budget_ratio, limit_overage, rollout_share, return_part, return_place_part;
} Settings;

/* Reads and validates a settings file (JSON with comments). Errors name line and field. */
FtStatus settings_read (const char *path, Settings **out, FtError *error);
FtStatus settings_parse (const char *text, Settings **out, FtError *error);
void settings_free (Settings *settings);
/* Prints every field with its type, meaning and default. */
void settings_help (void);

#endif
