/* shares.c - start-time fair queuing by organisation.
 *
 * The queue is always sorted by its requests' tags. The first request of an organisation has the
 * organisation's start as its tag; each further one has the tag of the one before plus that one's
 * slot time / weight. A request that leaves out of order makes the tags of its organisation stale.
 * They are recomputed in shr_reorder and not immediately, because callers remove requests while
 * they iterate over the queue.
 *
 * An idle organisation that returns starts at the queue's virtual time, so it accumulates no
 * credit. Its state is freed when it was not used for FORGET_AFTER; the debt lost with it is one
 * request at most.
 */
#include "shares.h"

#include <math.h>

/* Tuning. */
/* Arrivals and service are averaged over less than half of this. */
#define FORGET_AFTER (5 * FT_SECOND)
#define ORGS_MAX     512 /* organisations with state; beyond it idle ones are freed early */
#define SWEEP_MAX    4   /* organisations checked for this when one is used */
/* Time constant of the averages of arrivals and service, as for a tier. */
#define AVERAGE_US 2e6
/* The average of arrivals changes by half a percent in this time. */
#define INFLOW_VALID_FOR (10 * FT_MS)
/* An organisation that needs less than an equal share is served. */
#define WEIGHT_MIN       1.0
#define WORK_MIN         1.0 /* microseconds; keeps the tags of one organisation distinct */
#define NEWTON_STEPS_MAX 16  /* to estimate a new request's start; two to four suffice */
/* Share of the places that a new request gets even if more work arrives before it. */
#define PLACES_LEFT_MIN 0.05
#define DESCRIBED_MAX   16 /* organisations listed by shr_describe */

struct ShrWeights
{
  GHashTable *rates; /* organisation: double, its limit per second */
  double sum;
};

struct ShrOrg
{
  struct cds_list_head link;  /* in Shares.orgs */
  struct cds_list_head stale; /* in Shares.stale, or empty */
  struct cds_list_head items; /* ShrItem.own, by due time */
  char *name;
  double start; /* virtual time at which its first request starts */
  double weight;
  unsigned count;
  double queued_us;             /* slot time of its waiting requests */
  double inflow, served;        /* average slot time that arrives and is served per unit of time */
  int64_t inflow_at, served_at; /* when these averages were updated */
  int64_t used_at;
};

struct Shares
{
  const ShrWeights *weights;
  struct cds_list_head *queue;
  GHashTable *by_name;
  struct cds_list_head orgs;  /* least recently used first */
  struct cds_list_head stale; /* organisations whose tags must be recomputed */
  double now;                 /* virtual time: the highest tag served so far */
  unsigned waiting;           /* organisations with waiting requests */
};

/* ---- Weights ---- */

ShrWeights *
shr_weights_new (void)
{
  ShrWeights *weights = g_new0 (ShrWeights, 1);

  weights->rates = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return weights;
}

void
shr_weights_free (ShrWeights *weights)
{
  if (weights == NULL)
    return;
  g_hash_table_unref (weights->rates);
  g_free (weights);
}

void
shr_weights_set (ShrWeights *weights, const char *org, double rate)
{
  const double *previous = g_hash_table_lookup (weights->rates, org);

  if (previous)
    weights->sum -= *previous;
  if (rate <= 0)
    {
      g_hash_table_remove (weights->rates, org);
      return;
    }
  weights->sum += rate;
  g_hash_table_insert (weights->rates, g_strdup (org), g_memdup2 (&rate, sizeof rate));
}

void
shr_weights_clear (ShrWeights *weights)
{
  g_hash_table_remove_all (weights->rates);
  weights->sum = 0;
}

double
shr_weight (const ShrWeights *weights, const char *org)
{
  const double *rate = g_hash_table_lookup (weights->rates, org);

  if (rate == NULL || weights->sum <= 0)
    return 1;
  return MAX (*rate * g_hash_table_size (weights->rates) / weights->sum, WEIGHT_MIN);
}

/* ---- Organisations ---- */

static void
org_free (void *data)
{
  ShrOrg *org = data;

  cds_list_del (&org->link);
  cds_list_del (&org->stale);
  g_free (org->name);
  g_free (org);
}

Shares *
shr_new (const ShrWeights *weights, struct cds_list_head *queue)
{
  Shares *shares = g_new0 (Shares, 1);

  shares->weights = weights;
  shares->queue = queue;
  shares->by_name = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, org_free);
  CDS_INIT_LIST_HEAD (&shares->orgs);
  CDS_INIT_LIST_HEAD (&shares->stale);
  return shares;
}

void
shr_free (Shares *shares)
{
  if (shares == NULL)
    return;
  g_hash_table_unref (shares->by_name);
  g_free (shares);
}

/* Frees organisations that were not used for long. One with waiting requests counts as used. */
static void
forget_idle (Shares *shares, int64_t now)
{
  for (unsigned i = 0; i < SWEEP_MAX && !cds_list_empty (&shares->orgs); i++)
    {
      ShrOrg *org = cds_list_first_entry (&shares->orgs, ShrOrg, link);
      if (now - org->used_at < FORGET_AFTER && shr_known_orgs (shares) <= ORGS_MAX)
        return;
      if (org->count == 0)
        {
          g_hash_table_remove (shares->by_name, org->name);
          continue;
        }
      org->used_at = now;
      cds_list_del (&org->link);
      cds_list_add_tail (&org->link, &shares->orgs);
    }
}

static ShrOrg *
org_new (Shares *shares, const char *name)
{
  ShrOrg *org = g_new0 (ShrOrg, 1);

  org->name = g_strdup (name);
  org->start = shares->now;
  CDS_INIT_LIST_HEAD (&org->items);
  CDS_INIT_LIST_HEAD (&org->stale);
  cds_list_add_tail (&org->link, &shares->orgs);
  g_hash_table_insert (shares->by_name, org->name, org);
  return org;
}

static ShrOrg *
use_org (Shares *shares, const char *name, int64_t now)
{
  forget_idle (shares, now);
  ShrOrg *org = g_hash_table_lookup (shares->by_name, name);

  if (org == NULL)
    org = org_new (shares, name);
  org->weight = shr_weight (shares->weights, name);
  org->used_at = now;
  cds_list_del (&org->link);
  cds_list_add_tail (&org->link, &shares->orgs);
  return org;
}

static double
decayed (double value, int64_t at, int64_t now)
{
  return value * exp (-(double) (now - at) / AVERAGE_US);
}

void
shr_note_arrival (Shares *shares, const char *name, double work_us, int64_t now)
{
  ShrOrg *org = use_org (shares, name, now);

  org->inflow = decayed (org->inflow, org->inflow_at, now) + work_us / AVERAGE_US;
  org->inflow_at = now;
}

/* ---- Order ---- */

static bool
goes_before (const ShrItem *a, const ShrItem *b)
{
  return a->tag < b->tag || (a->tag == b->tag && a->due_at <= b->due_at);
}

/* Inserts the item in order; the search begins at `at`, an item of the queue or its head. */
static void
insert_near (const Shares *shares, ShrItem *item, struct cds_list_head *at)
{
  struct cds_list_head *queue = shares->queue;

  while (at != queue && !goes_before (cds_list_entry (at, ShrItem, link), item))
    at = at->prev;
  while (at->next != queue && goes_before (cds_list_entry (at->next, ShrItem, link), item))
    at = at->next;
  cds_list_add (&item->link, at);
}

static void
insert (const Shares *shares, ShrItem *item)
{
  struct cds_list_head *queue = shares->queue;
  const ShrItem *first = cds_list_entry (queue->next, ShrItem, link);
  const ShrItem *last = cds_list_entry (queue->prev, ShrItem, link);
  bool early = !cds_list_empty (queue) && item->tag - first->tag < last->tag - item->tag;

  insert_near (shares, item, early ? queue : queue->prev);
}

static void
mark_stale (Shares *shares, ShrOrg *org)
{
  if (cds_list_empty (&org->stale))
    cds_list_add_tail (&org->stale, &shares->stale);
}

/* Inserts the item into its organisation's list by due time. The search begins at the end, since
 * the newest request is usually due last. */
static void
add_own (Shares *shares, ShrOrg *org, ShrItem *item)
{
  struct cds_list_head *at = org->items.prev;

  while (at != &org->items && cds_list_entry (at, ShrItem, own)->due_at > item->due_at)
    at = at->prev;
  const ShrItem *previous = cds_list_entry (at, ShrItem, own);
  item->tag = at == &org->items ? org->start : previous->tag + previous->span;
  if (at->next != &org->items)
    mark_stale (shares, org);
  cds_list_add (&item->own, at);
}

void
shr_add (Shares *shares, ShrItem *item, const char *name, double work_us, int64_t due_at,
         int64_t now)
{
  ShrOrg *org = use_org (shares, name, now);

  item->org = org;
  item->work_us = work_us;
  item->span = MAX (work_us, WORK_MIN) / org->weight;
  item->due_at = due_at;
  if (org->count++ == 0)
    {
      org->start = MAX (org->start, shares->now);
      shares->waiting++;
    }
  org->queued_us += work_us;
  add_own (shares, org, item);
  insert (shares, item);
}

static void
unlink_item (Shares *shares, ShrItem *item)
{
  ShrOrg *org = item->org;

  cds_list_del (&item->own);
  cds_list_del (&item->link);
  org->queued_us = MAX (0, org->queued_us - item->work_us);
  if (--org->count == 0)
    {
      org->queued_us = 0;
      shares->waiting--;
    }
  item->org = NULL;
  item->tag = 0;
}

void
shr_remove (Shares *shares, ShrItem *item)
{
  if (item->own.next != &item->org->items)
    mark_stale (shares, item->org);
  unlink_item (shares, item);
}

void
shr_serve (Shares *shares, ShrItem *item, const char *name, double work_us, int64_t now)
{
  ShrOrg *org = use_org (shares, name, now);

  if (org->count == 0)
    org->start = MAX (org->start, shares->now);
  /* A request that is served without queuing does not advance the virtual time while others wait:
   * organisations that return would start behind the whole queue. */
  if (item || cds_list_empty (shares->queue))
    shares->now = MAX (shares->now, org->start);
  org->start += item ? item->span : MAX (work_us, WORK_MIN) / org->weight;
  org->served = decayed (org->served, org->served_at, now) + work_us / AVERAGE_US;
  org->served_at = now;
  if (item)
    unlink_item (shares, item);
  if (org->count > 0 && cds_list_first_entry (&org->items, ShrItem, own)->tag != org->start)
    mark_stale (shares, org);
}

static void
compute_tags (const Shares *shares, const ShrOrg *org)
{
  double tag = org->start;
  ShrItem *item;

  cds_list_for_each_entry (item, &org->items, own)
  {
    if (item->tag != tag)
      {
        struct cds_list_head *at = item->link.prev;
        cds_list_del (&item->link);
        item->tag = tag;
        insert_near (shares, item, at);
      }
    tag += item->span;
  }
}

void
shr_reorder (Shares *shares)
{
  ShrOrg *org, *next;

  cds_list_for_each_entry_safe (org, next, &shares->stale, stale)
  {
    compute_tags (shares, org);
    cds_list_del_init (&org->stale);
  }
}

/* ---- Position of a new request ---- */

/* Virtual time at which the organisation's first request starts, or would start. */
static double
virtual_start (const Shares *shares, const ShrOrg *org)
{
  return MAX (org->start, shares->now);
}

/* Decays the average at most once in INFLOW_VALID_FOR, since hundreds of requests may arrive in a
 * short time. */
static double
current_inflow (ShrOrg *org, int64_t now)
{
  if (now - org->inflow_at > INFLOW_VALID_FOR)
    {
      org->inflow = decayed (org->inflow, org->inflow_at, now);
      org->inflow_at = now;
    }
  return org->inflow;
}

/* Adds the contribution of another organisation, which may be served room_us of slot time before
 * the new request: waiting requests beyond that are overtaken; the rest of it may be used by
 * requests that arrive within wait_us. Returns the contribution per unit of wait_us where it
 * depends on that, which the caller adds; 0 where it is limited by room_us. */
static double
add_overtaking (ShrOrg *org, double room_us, double wait_us, int64_t now, ShrOvertaking *overtaking)
{
  double inflow = current_inflow (org, now);
  double more = MAX (0, room_us) - org->queued_us;

  if (more <= 0)
    overtaking->overtakes_us -= more;
  else if (inflow * wait_us < more)
    return inflow;
  else
    overtaking->overtaken_by_us += more;
  return 0;
}

/* Before the new request starts, another organisation is served until its virtual time reaches the
 * one that the request's own organisation has after its waiting requests and the new one, but no
 * more than it has waiting or sends until then. The wait is therefore the time at which the places
 * have served all that goes before the request: the intersection of a line with a concave sum of
 * bounded lines. Newton's method from above does not step past it, and each step but the last
 * takes at least one organisation off its bound. */
void
shr_overtaking (Shares *shares, const char *name, double work_us, double ahead_us, double places,
                int64_t now, ShrOvertaking *overtaking)
{
  const ShrOrg unknown = { 0 }, *known = g_hash_table_lookup (shares->by_name, name);
  const ShrOrg *own = known ? known : &unknown;
  ShrOrg *org;
  double until = virtual_start (shares, own)
                 + (own->queued_us + work_us) / shr_weight (shares->weights, name);
  double wait = 1e18, growth = 0;

  for (unsigned i = 0; i < NEWTON_STEPS_MAX; i++)
    {
      double previous = wait;
      *overtaking = (ShrOvertaking){ 0 };
      growth = 0;
      cds_list_for_each_entry (org, &shares->orgs, link)
      {
        if (org != own)
          growth += add_overtaking (org, (until - virtual_start (shares, org)) * org->weight, wait,
                                    now, overtaking);
      }
      double left = MAX (places - growth, places * PLACES_LEFT_MIN);
      wait = left > 0
                 ? MAX (0, ahead_us - overtaking->overtakes_us + overtaking->overtaken_by_us) / left
                 : 0;
      if (wait >= previous * (1 - 1e-9))
        break;
    }
  overtaking->overtaken_by_us += growth * wait;
}

/* ---- Statistics ---- */

unsigned
shr_waiting_orgs (const Shares *shares)
{
  return shares->waiting;
}

unsigned
shr_known_orgs (const Shares *shares)
{
  return g_hash_table_size (shares->by_name);
}

static gint
by_count (gconstpointer a, gconstpointer b)
{
  const ShrOrg *x = *(ShrOrg *const *) a, *y = *(ShrOrg *const *) b;

  return x->count != y->count ? (x->count < y->count ? 1 : -1) : strcmp (x->name, y->name);
}

void
shr_describe (const Shares *shares, GString *out, int64_t now)
{
  GPtrArray *orgs = g_ptr_array_new ();
  double served = 0;
  ShrOrg *org;

  cds_list_for_each_entry (org, &shares->orgs, link)
  {
    served += decayed (org->served, org->served_at, now);
    if (org->count > 0)
      g_ptr_array_add (orgs, org);
  }
  g_ptr_array_sort (orgs, by_count);
  for (unsigned i = 0; i < MIN (orgs->len, DESCRIBED_MAX); i++)
    {
      org = orgs->pdata[i];
      double share = served > 0 ? decayed (org->served, org->served_at, now) / served : 0;
      g_string_append_printf (out, " %s=%u/%.2f", org->name, org->count, share);
    }
  g_ptr_array_unref (orgs);
}
