/* spent.c - an entry's memory of what it was given, for schedulers that take over.
 *
 * Failure: an entry goes from scheduler to scheduler, on a lossy link several times a second.
 * Symptom: each gives it a part of a limit, and the organisation passes it. So each is told what
 * the others gave since it was asked last, and how full the last of them reported the account.
 */
#include "spent.h"

#define REPORT_MOST                                                                                \
  (2 * FT_SECOND) /* older reports are not passed on: bursts refill within that                    \
                   */

typedef struct
{
  double full; /* 0 to 1 */
  int64_t at;
  const void *from; /* NULL: the own scheduler, or one whose link is down */
} Report;

struct Spent
{
  FtClock *clock;
  GHashTable *given;   /* organisation: double, all that this entry was ever given */
  GHashTable *told;    /* scheduler: table like given, as much of it as it knows of */
  GHashTable *reports; /* organisation: Report */
};

static GHashTable *
amounts_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

static void
amounts_free (void *amounts)
{
  g_hash_table_unref (amounts);
}

static double
amount_of (GHashTable *amounts, const char *org)
{
  const double *value = g_hash_table_lookup (amounts, org);

  return value ? *value : 0;
}

static void
amount_add (GHashTable *amounts, const char *org, double by)
{
  double *value = g_hash_table_lookup (amounts, org);

  if (value == NULL)
    {
      value = g_new0 (double, 1);
      g_hash_table_insert (amounts, g_strdup (org), value);
    }
  *value += by;
}

Spent *
spent_new (FtClock *clock)
{
  Spent *spent = g_new0 (Spent, 1);

  spent->clock = clock;
  spent->given = amounts_new ();
  spent->told = g_hash_table_new_full (NULL, NULL, NULL, amounts_free);
  spent->reports = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return spent;
}

void
spent_free (Spent *spent)
{
  if (spent == NULL)
    return;
  g_hash_table_unref (spent->given);
  g_hash_table_unref (spent->told);
  g_hash_table_unref (spent->reports);
  g_free (spent);
}

/* A scheduler that is new to this entry counts from now on. */
static GHashTable *
told_to (Spent *spent, const void *scheduler)
{
  GHashTable *told = g_hash_table_lookup (spent->told, scheduler);
  GHashTableIter iter;
  gpointer org, value;

  if (told)
    return told;
  told = amounts_new ();
  g_hash_table_iter_init (&iter, spent->given);
  while (g_hash_table_iter_next (&iter, &org, &value))
    amount_add (told, org, *(double *) value);
  g_hash_table_insert (spent->told, (gpointer) scheduler, told);
  return told;
}

void
spent_granted (Spent *spent, const void *scheduler, const char *org, double cost)
{
  if (scheduler)
    amount_add (told_to (spent, scheduler), org, cost);
  amount_add (spent->given, org, cost);
}

double
spent_elsewhere (Spent *spent, const void *scheduler, const char *org)
{
  GHashTable *told = told_to (spent, scheduler);
  double others = amount_of (spent->given, org) - amount_of (told, org);

  amount_add (told, org, others);
  return others;
}

void
spent_report (Spent *spent, const void *scheduler, const char *org, double full)
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
spent_reported (const Spent *spent, const void *scheduler, const char *org, double *full,
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
spent_forget (Spent *spent, const void *scheduler)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_remove (spent->told, scheduler);
  g_hash_table_iter_init (&iter, spent->reports);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((Report *) value)->from == scheduler)
      ((Report *) value)->from = NULL;
}
