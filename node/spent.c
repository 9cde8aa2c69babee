/* spent.c - an entry's memory of what it was given, for schedulers that take over.
 *
 * Failure: an entry goes from scheduler to scheduler, on a lossy link several times a second.
 * Symptom: each gives it a part of a limit, and the organisation passes it. So each is told what
 * the others gave since it was asked last, and how full the last of them reported the account.
 *
 * Failure: a scheduler takes over that was asked last a minute ago. Symptom: it is told what others
 * gave in that minute, which has long been refilled, and refuses organisations well within their
 * limits for seconds. So what was given is forgotten after the time in which a burst refills, and
 * each amount comes with the time since which it was given.
 */
#include "spent.h"

#define REPORT_MOST                                                                                \
  (2 * FT_SECOND) /* older reports are not passed on, nor what was given before: bursts refill     \
                     within that */
#define SPANS 8   /* in that time, counted apart: an eighth of it is told too long or too short */
#define SPAN  (REPORT_MOST / SPANS)

typedef struct
{
  double full; /* 0 to 1 */
  int64_t at;
  const void *from; /* NULL: the own scheduler, or one whose link is down */
} Report;

/* What others gave of one organisation's limit and one scheduler was not told yet. */
typedef struct
{
  double amounts[SPANS];
  int64_t span; /* number of the newest; those before it lie before it, around the end */
  int64_t told_at;
} Untold;

struct Spent
{
  FtClock *clock;
  GHashTable *untold;  /* scheduler: table of organisation: Untold */
  GHashTable *reports; /* organisation: Report */
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

/* A scheduler that is new to this entry counts from now on. */
static GHashTable *
untold_to (Spent *spent, const void *scheduler)
{
  GHashTable *table = g_hash_table_lookup (spent->untold, scheduler);

  if (table)
    return table;
  table = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_hash_table_insert (spent->untold, (gpointer) scheduler, table);
  return table;
}

static void
forget_old_spans (Untold *untold, int64_t span)
{
  if (span - untold->span >= SPANS)
    untold->span = span - SPANS;
  while (untold->span < span)
    untold->amounts[++untold->span % SPANS] = 0;
}

static Untold *
untold_of (Spent *spent, GHashTable *table, const char *org)
{
  Untold *untold = g_hash_table_lookup (table, org);
  int64_t now = ft_clock_now (spent->clock);

  if (untold == NULL)
    {
      untold = g_new0 (Untold, 1);
      untold->span = now / SPAN;
      untold->told_at = now;
      g_hash_table_insert (table, g_strdup (org), untold);
    }
  forget_old_spans (untold, now / SPAN);
  return untold;
}

void
spent_record_grant (Spent *spent, const void *scheduler, const char *org, double cost)
{
  GHashTableIter iter;
  gpointer other, table;

  if (scheduler)
    untold_to (spent, scheduler);
  g_hash_table_iter_init (&iter, spent->untold);
  while (g_hash_table_iter_next (&iter, &other, &table))
    if (other != scheduler)
      {
        Untold *untold = untold_of (spent, table, org);
        untold->amounts[untold->span % SPANS] += cost;
      }
}

double
spent_take_untold (Spent *spent, const void *scheduler, const char *org, int64_t *for_us)
{
  Untold *untold = untold_of (spent, untold_to (spent, scheduler), org);
  int64_t now = ft_clock_now (spent->clock);
  double sum = 0;

  for (unsigned i = 0; i < SPANS; i++)
    {
      sum += untold->amounts[i];
      untold->amounts[i] = 0;
    }
  *for_us = MIN (now - untold->told_at, REPORT_MOST);
  untold->told_at = now;
  return sum;
}

void
spent_record_report (Spent *spent, const void *scheduler, const char *org, double full)
{
  Report *report = g_hash_table_lookup (spent->reports, org);

  if (report == NULL)
    {
      report = g_new0 (Report, 1);
      g_hash_table_insert (spent->reports, g_strdup (org), report);
    }
  *report = (Report){ full, ft_clock_now (spent->clock), scheduler };
}

bool
spent_latest_report (const Spent *spent, const void *scheduler, const char *org, double *full,
                     int64_t *age_us)
{
  const Report *report = g_hash_table_lookup (spent->reports, org);

  if (report == NULL || report->from == scheduler)
    return false;
  *full = report->full;
  *age_us = ft_clock_now (spent->clock) - report->at;
  return *age_us <= REPORT_MOST;
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
