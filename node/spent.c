/* spent.c - what was granted to an entry of the limits, to be told to schedulers that take over.
 *
 * An entry on a lossy link changes schedulers several times a second. Each would grant it a part of
 * a limit, and the organisation would exceed it. So each scheduler is told what the others granted
 * since it was last asked, and how full the last of them reported the account.
 *
 * A scheduler that was last asked a minute ago must not be told of the whole minute's grants. The
 * account has long been refilled, and organisations well within their limits would be refused for
 * seconds. So grants are forgotten after the time in which a burst refills, and each amount comes
 * with the time within which it was granted.
 */
#include "spent.h"

#define REPORT_AGE_MAX                                                                             \
  (2 * FT_SECOND) /* older reports and grants are not passed on: bursts refill within this time */
#define SLICES 8  /* counted separately; a grant is forgotten up to one slice off */
#define SLICE  (REPORT_AGE_MAX / SLICES)

typedef struct
{
  double fill; /* 0 to 1 */
  int64_t at;
  const void *from; /* NULL: the own scheduler, or one whose link has gone down */
} Report;

/* What other schedulers granted of one organisation's limit and one scheduler has not been told. */
typedef struct
{
  double amounts[SLICES];
  int64_t slice; /* number of the latest slice; amounts is a ring indexed by it modulo SLICES */
  int64_t told_at;
} Untold;

struct Spent
{
  FtClock *clock;
  GHashTable *untold;  /* scheduler -> table of organisation -> Untold */
  GHashTable *reports; /* organisation -> Report */
};

static void
table_free (void *table)
{
  g_hash_table_unref (table);
}

Spent *
spent_new (FtClock *clock)
{
  Spent *spent = g_new0 (Spent, 1);

  spent->clock = clock;
  spent->untold = g_hash_table_new_full (NULL, NULL, NULL, table_free);
  spent->reports = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return spent;
}

void
spent_free (Spent *spent)
{
  if (spent == NULL)
    return;
  g_hash_table_unref (spent->untold);
  g_hash_table_unref (spent->reports);
  g_free (spent);
}

/* The table of a scheduler. For one that is new to this entry only grants from now on count. */
static GHashTable *
untold_table (Spent *spent, const void *scheduler)
{
  GHashTable *table = g_hash_table_lookup (spent->untold, scheduler);

  if (table)
    return table;
  table = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_hash_table_insert (spent->untold, (gpointer) scheduler, table);
  return table;
}

static void
clear_old_slices (Untold *untold, int64_t slice)
{
  if (slice - untold->slice >= SLICES)
    untold->slice = slice - SLICES;
  while (untold->slice < slice)
    untold->amounts[++untold->slice % SLICES] = 0;
}

static Untold *
untold_entry (Spent *spent, GHashTable *table, const char *org)
{
  Untold *untold = g_hash_table_lookup (table, org);
  int64_t now = ft_clock_now (spent->clock);

  if (untold == NULL)
    {
      untold = g_new0 (Untold, 1);
      untold->slice = now / SLICE;
      untold->told_at = now;
      g_hash_table_insert (table, g_strdup (org), untold);
    }
  clear_old_slices (untold, now / SLICE);
  return untold;
}

void
spent_record_grant (Spent *spent, const void *scheduler, const char *org, double cost)
{
  GHashTableIter iter;
  gpointer other, table;

  if (scheduler)
    untold_table (spent, scheduler);
  g_hash_table_iter_init (&iter, spent->untold);
  while (g_hash_table_iter_next (&iter, &other, &table))
    if (other != scheduler)
      {
        Untold *untold = untold_entry (spent, table, org);
        untold->amounts[untold->slice % SLICES] += cost;
      }
}

double
spent_take_untold (Spent *spent, const void *scheduler, const char *org, int64_t *for_us)
{
  Untold *untold = untold_entry (spent, untold_table (spent, scheduler), org);
  int64_t now = ft_clock_now (spent->clock);
  double sum = 0;

  for (unsigned i = 0; i < SLICES; i++)
    {
      sum += untold->amounts[i];
      untold->amounts[i] = 0;
    }
  *for_us = MIN (now - untold->told_at, REPORT_AGE_MAX);
  untold->told_at = now;
  return sum;
}

void
spent_record_report (Spent *spent, const void *scheduler, const char *org, double fill)
{
  Report *report = g_hash_table_lookup (spent->reports, org);

  if (report == NULL)
    {
      report = g_new0 (Report, 1);
      g_hash_table_insert (spent->reports, g_strdup (org), report);
    }
  *report = (Report){ fill, ft_clock_now (spent->clock), scheduler };
}

bool
spent_latest_report (const Spent *spent, const void *scheduler, const char *org, double *fill,
                     int64_t *age_us)
{
  const Report *report = g_hash_table_lookup (spent->reports, org);

  if (report == NULL || report->from == scheduler)
    return false;
  *fill = report->fill;
  *age_us = ft_clock_now (spent->clock) - report->at;
  return *age_us <= REPORT_AGE_MAX;
}

void
spent_orgs (const Spent *spent, const void *scheduler, GPtrArray *out)
{
  GHashTable *untold = g_hash_table_lookup (spent->untold, scheduler);
  GHashTableIter iter;
  gpointer name;

  g_hash_table_iter_init (&iter, spent->reports);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    g_ptr_array_add (out, name);
  if (untold == NULL)
    return;
  g_hash_table_iter_init (&iter, untold);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    if (!g_hash_table_contains (spent->reports, name))
      g_ptr_array_add (out, name);
}

void
spent_forget_scheduler (Spent *spent, const void *scheduler)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_remove (spent->untold, scheduler);
  g_hash_table_iter_init (&iter, spent->reports);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((Report *) value)->from == scheduler)
      ((Report *) value)->from = NULL;
}
