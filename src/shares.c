/* shares.c - start-time fair queuing by organisation.
 *
 * The queue is always sorted by the tags that its requests have. An organisation's requests have
 * tags one after the other, from its start on: each the one before plus that one's slot time /
 * weight. A request that leaves out of turn makes the tags of its organisation stale, so they are
 * computed anew, in shr_reorder and not at once: whoever walks the queue removes requests from it.
 *
 * An organisation that comes back starts at the queue's virtual time, so it has saved nothing up.
 * One that was not served for FORGET_AFTER is forgotten: its debt is one request at most.
 */
#include "shares.h"

#include <math.h>

/* Tuning; each row with its reason. */
#define FORGET_AFTER                                                                               \
  (5 * FT_SECOND)        /* arrivals and service are averaged over less than half of it */
#define KNOWN_MOST   512 /* organisations with state; beyond it idle ones are forgotten early */
#define SWEEP_MOST   4   /* organisations looked at for that at each arrival */
#define AVERAGED_US  2e6 /* span over which arrivals and service are averaged, as of a tier */
#define FRESH_FOR    (10 * FT_MS) /* an average of arrivals changes by half a percent in it */
#define WEIGHT_LEAST 1.0          /* an equal part: who asks for less than that is served */
#define WORK_LEAST   1.0          /* microseconds: tags of one organisation differ */
#define TURN_PASSES  16           /* steps to a newcomer's start; two to four suffice */
#define LEFT_LEAST   0.05 /* of the places that a newcomer finds however many come before it */
#define SHOWN_MOST   16   /* organisations in one line */

struct ShrWeights
{
  GHashTable *rates; /* organisation: double */
  double sum;
};

struct ShrOrg
{
  struct cds_list_head link;  /* of Shares.orgs */
  struct cds_list_head stale; /* of Shares.stale, or its own head */
  struct cds_list_head items; /* ShrItem.own, by due time */
  char *name;
  double start; /* virtual time at which its first request starts */
  double weight;
  unsigned count;
  double queued_us;      /* slot time of its items */
  double inflow, served; /* slot time arriving and served per time, averaged ... */
  int64_t inflow_at, served_at;
  int64_t used_at;
};

struct Shares
{
  const ShrWeights *weights;
  struct cds_list_head *queue;
  GHashTable *by_name;
  struct cds_list_head orgs;  /* the one that was used longest ago first */
  struct cds_list_head stale; /* whose tags are to be computed anew */
  double now;                 /* virtual time: the latest tag that was served */
  unsigned waiting;           /* organisations with items */
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
  const double *before = g_hash_table_lookup (weights->rates, org);

  if (before)
    weights->sum -= *before;
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
  return MAX (*rate * g_hash_table_size (weights->rates) / weights->sum, WEIGHT_LEAST);
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

/* One that waits is in use. */
static void
forget_idle (Shares *shares, int64_t now)
{
  for (unsigned i = 0; i < SWEEP_MOST && !cds_list_empty (&shares->orgs); i++)
    {
      ShrOrg *org = cds_list_first_entry (&shares->orgs, ShrOrg, link);
      if (now - org->used_at < FORGET_AFTER && shr_known_orgs (shares) <= KNOWN_MOST)
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
org_use (Shares *shares, const char *name, int64_t now)
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
averaged (double value, int64_t at, int64_t now)
{
  return value * exp (-(double) (now - at) / AVERAGED_US);
}

void
shr_note_arrival (Shares *shares, const char *name, double work_us, int64_t now)
{
  ShrOrg *org = org_use (shares, name, now);

  org->inflow = averaged (org->inflow, org->inflow_at, now) + work_us / AVERAGED_US;
  org->inflow_at = now;
}

/* ---- Order ---- */

static bool
goes_before (const ShrItem *a, const ShrItem *b)
{
  return a->tag < b->tag || (a->tag == b->tag && a->due_at <= b->due_at);
}

/* Into the queue behind those that go before it; at: where to begin, an item or the head. */
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

/* Behind those of its organisation that are due no later; the new one is usually due last. */
static void
add_own (Shares *shares, ShrOrg *org, ShrItem *item)
{
  struct cds_list_head *at = org->items.prev;

  while (at != &org->items && cds_list_entry (at, ShrItem, own)->due_at > item->due_at)
    at = at->prev;
  const ShrItem *before = cds_list_entry (at, ShrItem, own);
  item->tag = at == &org->items ? org->start : before->tag + before->span;
  if (at->next != &org->items)
    mark_stale (shares, org);
  cds_list_add (&item->own, at);
}

void
shr_add (Shares *shares, ShrItem *item, const char *name, double work_us, int64_t due_at,
         int64_t now)
{
  ShrOrg *org = org_use (shares, name, now);

  item->org = org;
  item->work_us = work_us;
  item->span = MAX (work_us, WORK_LEAST) / org->weight;
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
take_out (Shares *shares, ShrItem *item)
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
  take_out (shares, item);
}

void
shr_serve (Shares *shares, ShrItem *item, const char *name, double work_us, int64_t now)
{
  ShrOrg *org = org_use (shares, name, now);

  if (org->count == 0)
    org->start = MAX (org->start, shares->now);
  /* What is served beside a queue that waits does not move its time: organisations that come back
   * would start behind the queue. */
  if (item || cds_list_empty (shares->queue))
    shares->now = MAX (shares->now, org->start);
  org->start += item ? item->span : MAX (work_us, WORK_LEAST) / org->weight;
  org->served = averaged (org->served, org->served_at, now) + work_us / AVERAGED_US;
  org->served_at = now;
  if (item)
    take_out (shares, item);
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

/* ---- The turn of a newcomer ---- */

/* Virtual time at which the organisation's next request starts if it waits for none. */
static double
start_of (const Shares *shares, const ShrOrg *org)
{
  return MAX (org->start, shares->now);
}

/* Not averaged anew for each of hundreds of newcomers in a moment. */
static double
fresh_inflow (ShrOrg *org, int64_t now)
{
  if (now - org->inflow_at > FRESH_FOR)
    {
      org->inflow = averaged (org->inflow, org->inflow_at, now);
      org->inflow_at = now;
    }
  return org->inflow;
}

/* Of another organisation that may have room_us of slot time before it: what goes behind, and what
 * goes before if the newcomer waits for wait_us. Returns by how much the latter grows with it. */
static double
turn_of (ShrOrg *org, double room_us, double wait_us, int64_t now, ShrOvertaking *turn)
{
  double inflow = fresh_inflow (org, now);
  double more = MAX (0, room_us) - org->queued_us;

  if (more <= 0)
    turn->overtakes_us -= more;
  else if (inflow * wait_us < more)
    return inflow;
  else
    turn->overtaken_by_us += more;
  return 0;
}

/* An organisation gets so much before the newcomer starts as brings its virtual time to where the
 * newcomer's own will be, with what that has waiting and the newcomer; but no more than it has
 * waiting or sends until then. So the newcomer's start is where the places have served as much as
 * goes before it: a line against a concave sum of lines with a bound each. Newton's steps from
 * above do not pass it, and each but the last takes one organisation at least off its bound. */
void
shr_overtaking (Shares *shares, const char *name, double work_us, double ahead_us, double places,
                int64_t now, ShrOvertaking *turn)
{
  const ShrOrg unknown = { 0 }, *known = g_hash_table_lookup (shares->by_name, name);
  const ShrOrg *own = known ? known : &unknown;
  ShrOrg *org;
  double until
      = start_of (shares, own) + (own->queued_us + work_us) / shr_weight (shares->weights, name);
  double wait = 1e18, growth = 0;

  for (unsigned i = 0; i < TURN_PASSES; i++)
    {
      double before = wait;
      *turn = (ShrOvertaking){ 0 };
      growth = 0;
      cds_list_for_each_entry (org, &shares->orgs, link)
      {
        if (org != own)
          growth += turn_of (org, (until - start_of (shares, org)) * org->weight, wait, now, turn);
      }
      double left = MAX (places - growth, places * LEFT_LEAST);
      wait = left > 0 ? MAX (0, ahead_us - turn->overtakes_us + turn->overtaken_by_us) / left : 0;
      if (wait >= before * (1 - 1e-9))
        break;
    }
  turn->overtaken_by_us += growth * wait;
}

/* ---- What operators see ---- */

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
    served += averaged (org->served, org->served_at, now);
    if (org->count > 0)
      g_ptr_array_add (orgs, org);
  }
  g_ptr_array_sort (orgs, by_count);
  for (unsigned i = 0; i < MIN (orgs->len, SHOWN_MOST); i++)
    {
      org = orgs->pdata[i];
      double part = served > 0 ? averaged (org->served, org->served_at, now) / served : 0;
      g_string_append_printf (out, " %s=%u/%.2f", org->name, org->count, part);
    }
  g_ptr_array_unref (orgs);
}
