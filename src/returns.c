/* returns.c - reserves capacity for refused callers that return at the time they were told.
 *
 * If many callers that are refused at the same moment were given the same retry time, they would
 * return together and most would be refused again, so each served caller would cost several
 * refusals. Each refused caller is therefore given a return time of its own.
 * A reservation fills over an interval during which a share of the capacity that becomes free is
 * set aside for it; the interval of the next reservation begins where it ends. So reservations
 * never take more than that share and newcomers keep the rest: an answer on time is worth more to a
 * caller than one after a refusal.
 *
 * Two kinds of resources have reservations: tokens of an organisation's limit, and slot time of a
 * service's places. An interval ends RET_EARLY_US before the return time, so that all the capacity
 * is there for a caller whose timer runs early.
 *
 * A caller that repeats its request immediately and continually would be the first to ask whenever
 * capacity becomes free, and callers that wait as told would get nothing. Return times are
 * therefore remembered, also where nothing was reserved, and a caller that returns early gets only
 * capacity that is not scarce.
 */
#include "returns.h"

#include <math.h>
#include <string.h>
#include <urcu/list.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

/* A caller's time limit differs by less than this from one try to the next. */
#define SAME_CALLER_US (20 * FT_MS)
/* Part of the burst that an early caller must leave: the bucket of an organisation that is short of
 * tokens is emptier than that. */
#define EARLY_RESERVE 0.5

typedef struct
{
  uint64_t resource, content;
} Key;

/* A reservation, or the record of a caller that was given a return time without one. */
typedef struct
{
  Key key;
  struct cds_list_head link; /* in Resource.reservations, by time; unused in the waits table */
  struct cds_list_head age;  /* in Table.ages, the oldest first */
  int64_t ready_at;          /* its capacity is complete, and its caller is no longer early */
  float fill_us;             /* length of the interval in which it fills, up to ready_at */
  unsigned rank;
  double cost;
  int64_t end_at; /* the caller's own time limit */
} Reservation;

typedef struct
{
  GHashTable *by_key; /* Key: Reservation */
  struct cds_list_head ages;
} Table;

typedef struct
{
  uint64_t id;
  struct cds_list_head reservations;
  int64_t until; /* the reservable share is taken until then */
} Resource;

struct Returns
{
  FtClock *clock;
  double share;          /* of the capacity that may be reserved */
  unsigned max_entries;  /* per table */
  GHashTable *resources; /* id: Resource */
  Table reservations;
  Table waits; /* return times without a reservation */
  RetCounts counts;
};

static guint
key_hash (gconstpointer data)
{
  const Key *key = data;
  uint64_t mixed = key->resource ^ key->content;

  return (guint) (mixed ^ mixed >> 32);
}

static gboolean
key_equal (gconstpointer a, gconstpointer b)
{
  return memcmp (a, b, sizeof (Key)) == 0;
}

static void
table_init (Table *table)
{
  table->by_key = g_hash_table_new_full (key_hash, key_equal, NULL, g_free);
  CDS_INIT_LIST_HEAD (&table->ages);
}

Returns *
ret_new (FtClock *clock, unsigned max_reservations)
{
  Returns *ret = g_new0 (Returns, 1);

  ret->clock = clock;
  ret->max_entries = max_reservations;
  ret->resources = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  table_init (&ret->reservations);
  table_init (&ret->waits);
  return ret;
}

void
ret_free (Returns *ret)
{
  if (ret == NULL)
    return;
  g_hash_table_unref (ret->reservations.by_key);
  g_hash_table_unref (ret->waits.by_key);
  g_hash_table_unref (ret->resources);
  g_free (ret);
}

static void
remove_entry (Table *table, Reservation *reservation)
{
  cds_list_del (&reservation->link);
  cds_list_del (&reservation->age);
  g_hash_table_remove (table->by_key, &reservation->key);
}

static Reservation *
oldest (Table *table)
{
  return cds_list_empty (&table->ages) ? NULL
                                       : cds_list_first_entry (&table->ages, Reservation, age);
}

static void
lapse (Returns *ret, Reservation *reservation)
{
  ret->counts.lapsed++;
  remove_entry (&ret->reservations, reservation);
}

void
ret_set_share (Returns *ret, double share)
{
  ret->share = share;
  while (share <= 0 && oldest (&ret->reservations))
    lapse (ret, oldest (&ret->reservations));
  while (share <= 0 && oldest (&ret->waits))
    remove_entry (&ret->waits, oldest (&ret->waits));
}

double
ret_share (const Returns *ret)
{
  return ret->share;
}

uint64_t
ret_resource_id (const char *name, unsigned tier)
{
  return XXH64 (name, strlen (name), tier);
}

/* ---- Resources ---- */

static Resource *
resource_of (Returns *ret, uint64_t id)
{
  Resource *resource = g_hash_table_lookup (ret->resources, &id);

  if (resource)
    return resource;
  resource = g_new0 (Resource, 1);
  resource->id = id;
  CDS_INIT_LIST_HEAD (&resource->reservations);
  g_hash_table_insert (ret->resources, &resource->id, resource);
  return resource;
}

static void
lapse_overdue (Returns *ret, Resource *resource, int64_t now)
{
  Reservation *reservation, *next;

  cds_list_for_each_entry_safe (reservation, next, &resource->reservations, link)
  {
    if (reservation->ready_at + RET_EARLY_US + RET_GRACE_US >= now)
      return;
    lapse (ret, reservation);
  }
}

void
ret_expire (Returns *ret)
{
  int64_t now = ft_clock_now (ret->clock);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, ret->resources);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Resource *resource = value;
      lapse_overdue (ret, resource, now);
      if (cds_list_empty (&resource->reservations) && resource->until <= now)
        g_hash_table_iter_remove (&iter);
    }
  while (oldest (&ret->waits) && oldest (&ret->waits)->ready_at <= now)
    remove_entry (&ret->waits, oldest (&ret->waits));
}

int64_t
ret_reserved_until (const Returns *ret, uint64_t id)
{
  const Resource *resource = g_hash_table_lookup (ret->resources, &id);

  return resource ? resource->until : 0;
}

double
ret_reserved (Returns *ret, uint64_t id, unsigned rank, uint64_t content)
{
  int64_t now = ft_clock_now (ret->clock);
  Resource *resource = g_hash_table_lookup (ret->resources, &id);
  const Reservation *reservation;
  double sum = 0;

  if (resource == NULL)
    return 0;
  lapse_overdue (ret, resource, now);
  cds_list_for_each_entry (reservation, &resource->reservations, link)
  {
    double filled = (double) (now - reservation->ready_at) + reservation->fill_us;
    if (filled <= 0)
      break;
    if (reservation->rank <= rank && reservation->key.content != content)
      sum += reservation->cost
             * (filled < reservation->fill_us ? filled / reservation->fill_us : 1);
  }
  return sum;
}

/* ---- Reservations ---- */

static Reservation *
reservation_of (Returns *ret, const Key *key)
{
  Resource *resource = g_hash_table_lookup (ret->resources, &key->resource);

  if (resource == NULL)
    return NULL;
  lapse_overdue (ret, resource, ft_clock_now (ret->clock));
  return g_hash_table_lookup (ret->reservations.by_key, key);
}

static bool
is_early (const Reservation *wait, int64_t end_at, int64_t now)
{
  return now < wait->ready_at && ABS (end_at - wait->end_at) <= SAME_CALLER_US;
}

RetState
ret_lookup (Returns *ret, uint64_t resource, uint64_t content, int64_t end_at, int64_t *at,
            bool *promised)
{
  Key key = { resource, content };
  int64_t now = ft_clock_now (ret->clock);
  const Reservation *reservation = reservation_of (ret, &key);
  const Reservation *wait
      = reservation ? reservation : g_hash_table_lookup (ret->waits.by_key, &key);

  if (wait == NULL || content == 0)
    return RET_UNKNOWN;
  *at = wait->ready_at + RET_EARLY_US;
  *promised = reservation != NULL;
  if (is_early (wait, end_at, now))
    return RET_EARLY;
  if (reservation == NULL)
    return RET_UNKNOWN;
  return now < reservation->ready_at ? RET_OTHER_CALLER : RET_DUE;
}

static Reservation *
add_entry (Returns *ret, Table *table, const RetDemand *demand, int64_t ready_at)
{
  Reservation *reservation = g_new0 (Reservation, 1);

  *reservation = (Reservation){ .key = { demand->resource, demand->content },
                                .ready_at = ready_at,
                                .rank = demand->rank,
                                .cost = demand->cost,
                                .end_at = demand->end_at };
  if (g_hash_table_size (table->by_key) >= ret->max_entries)
    {
      ret->counts.lapsed += table == &ret->reservations;
      remove_entry (table, oldest (table));
    }
  CDS_INIT_LIST_HEAD (&reservation->link);
  cds_list_add_tail (&reservation->age, &table->ages);
  g_hash_table_insert (table->by_key, &reservation->key, reservation);
  return reservation;
}

static void
forget_wait (Returns *ret, const Key *key)
{
  Reservation *wait = g_hash_table_lookup (ret->waits.by_key, key);

  if (wait)
    remove_entry (&ret->waits, wait);
}

bool
ret_reserve (Returns *ret, const RetDemand *demand, int64_t *at)
{
  Key key = { demand->resource, demand->content };
  int64_t now = ft_clock_now (ret->clock);
  int64_t latest = now + MAX (0, demand->end_at - now) / RET_WAIT_DIVISOR;

  if (demand->useful_until)
    latest = MIN (latest, demand->useful_until);
  *at = INT64_MAX;
  if (ret->share <= 0 || demand->content == 0 || demand->rate <= 0)
    return false;
  double fill_us = demand->cost / (ret->share * demand->rate);
  double start
      = (double) MAX (MAX (now, demand->start_at), ret_reserved_until (ret, demand->resource));
  double ready = MAX (start + fill_us, (double) (demand->not_before - RET_EARLY_US));
  *at = (int64_t) MIN (ceil (ready), (double) INT64_MAX / 2) + RET_EARLY_US;
  if (*at > latest || reservation_of (ret, &key))
    return false;
  forget_wait (ret, &key);
  Reservation *reservation = add_entry (ret, &ret->reservations, demand, *at - RET_EARLY_US);
  Resource *resource = resource_of (ret, demand->resource);
  reservation->fill_us = (float) fill_us;
  cds_list_add_tail (&reservation->link, &resource->reservations);
  resource->until = reservation->ready_at;
  ret->counts.promised++;
  return true;
}

void
ret_record_wait (Returns *ret, const RetDemand *demand, int64_t wait_us)
{
  Key key = { demand->resource, demand->content };
  int64_t now = ft_clock_now (ret->clock);
  int64_t observed_wait_us = MIN (wait_us, MAX (0, demand->end_at - now) / RET_WAIT_DIVISOR);

  if (ret->share <= 0 || demand->content == 0)
    return;
  forget_wait (ret, &key);
  add_entry (ret, &ret->waits, demand, now + observed_wait_us - RET_EARLY_US);
}

bool
ret_consume (Returns *ret, uint64_t resource, uint64_t content)
{
  Key key = { resource, content };
  Reservation *reservation = reservation_of (ret, &key);

  forget_wait (ret, &key);
  if (reservation)
    remove_entry (&ret->reservations, reservation);
  return reservation != NULL;
}

void
ret_count_outcome (Returns *ret, bool kept)
{
  if (kept)
    ret->counts.kept++;
  else
    ret->counts.lost++;
}

const RetCounts *
ret_counts (const Returns *ret)
{
  return &ret->counts;
}

/* ---- Reservations on organisations' limits ---- */

/* Higher ranks may use capacity reserved for lower ones. A rank therefore gets no reservation if
 * higher ranks use more than the share that is not reservable: nothing would be left when the
 * caller returns. */
static bool
reserve_tokens (Returns *ret, Quota *quota, const RetRequest *request, RetDemand *demand,
                int64_t *at)
{
  int64_t now = ft_clock_now (ret->clock);
  QuotaStatus status;

  *at = INT64_MAX;
  if (!quota_get_status (quota, request->org, request->rank, &status)
      || status.higher_rank_rate > (1 - ret->share) * status.rate)
    return false;
  demand->cost = MIN (request->cost, status.burst);
  demand->rate = status.rate / 1e6;
  demand->start_at = now + (int64_t) (MAX (0, -status.left) / demand->rate);
  return ret_reserve (ret, demand, at);
}

static void
advise (Returns *ret, Quota *quota, const RetRequest *request, int64_t *wait_us, RetAdvice *advice)
{
  RetDemand demand = { .resource = ret_resource_id (request->org, 0),
                       .content = request->content,
                       .rank = request->rank,
                       .useful_until = request->useful_until,
                       .end_at = request->end_at };
  int64_t now = ft_clock_now (ret->clock), at;

  *advice = RET_RESERVED;
  if (reserve_tokens (ret, quota, request, &demand, &at))
    {
      *wait_us = at - now;
      return;
    }
  *advice = RET_TOO_LATE;
  if (at < INT64_MAX)
    *wait_us = MAX (*wait_us, at - now);
  ret_record_wait (ret, &demand, *wait_us);
}

/* Tokens that an early caller must leave, so that it is served only while the bucket is far from
 * empty. */
static double
early_reserve (Quota *quota, const char *org)
{
  QuotaStatus status;

  return quota_get_status (quota, org, 0, &status) ? EARLY_RESERVE * status.burst : 0;
}

bool
ret_take_tokens (Returns *ret, Quota *quota, const RetRequest *request, int64_t *wait_us,
                 RetAdvice *advice)
{
  uint64_t resource = ret_resource_id (request->org, 0);
  QuotaRequest take = { .org = request->org, .cost = request->cost, .rank = request->rank };
  bool promised = false;
  int64_t at = 0;

  *advice = RET_NO_RESERVATION;
  if (ret->share <= 0)
    return quota_take_request (quota, &take, wait_us);
  RetState state = ret_lookup (ret, resource, request->content, request->end_at, &at, &promised);
  take.reserved = state == RET_DUE;
  take.leave = ret_reserved (ret, resource, request->rank, take.reserved ? request->content : 0);
  if (state == RET_EARLY)
    take.leave += early_reserve (quota, request->org);
  bool taken = quota_take_request (quota, &take, wait_us);
  if ((taken && state != RET_OTHER_CALLER) || take.reserved)
    if (ret_consume (ret, resource, request->content))
      ret_count_outcome (ret, taken);
  if (taken || request->content == 0 || state == RET_OTHER_CALLER)
    return taken;
  if (state == RET_EARLY)
    {
      *wait_us = at - ft_clock_now (ret->clock);
      *advice = promised ? RET_RESERVED : RET_TOO_LATE;
    }
  else
    advise (ret, quota, request, wait_us, advice);
  return false;
}

void
ret_explain (RetAdvice advice, int64_t wait_us, char *rule, size_t size)
{
  char text[64];

  if (advice == RET_NO_RESERVATION)
    return;
  if (advice == RET_RESERVED)
    g_snprintf (text, sizeof text, "; promised in %" G_GINT64_FORMAT " ms", wait_us / FT_MS);
  else
    g_strlcpy (text, "; no capacity within the caller's time", sizeof text);
  size_t length = MIN (strlen (rule), size - strlen (text) - 1);
  g_strlcpy (rule + length, text, size - length);
}
