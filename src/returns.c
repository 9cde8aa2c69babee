/* returns.c - a ledger of the times at which refused callers are served when they come back.
 *
 * Failure: many callers are refused at once, and all are told the same time, at which most cannot
 * be served. Symptom: they come back together, are refused again, and each caller that is served
 * costs several refusals. A refused caller is promised a time of its own instead. Each promise
 * fills over an interval of its own in which a part of what becomes free is set aside for it; the
 * next one's interval begins where it ends. So promises never take more than that part, and
 * newcomers keep the rest: an answer on time is worth more to its caller than one after a refusal.
 *
 * What is promised becomes free at a line: tokens at an organisation's limit, slot time at a
 * service's places. An interval ends RET_EARLY_US before the time that the caller is told, so that
 * everything is set aside when the earliest caller comes.
 *
 * Failure: a caller repeats its request at once and all the time. Symptom: it is the first to ask
 * whenever something becomes free, and those that wait as they were told get nothing. What a caller
 * was told is therefore remembered, also where nothing was promised, and before that time it gets
 * only what nobody else is short of.
 */
#include "returns.h"

#include <math.h>
#include <string.h>
#include <urcu/list.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#define SAME_CALLER                                                                                \
  (20 * FT_MS) /* by which the limit that a caller sets itself moves from one try to the next */
#define EASE_PART 0.5 /* of a burst: fuller than an account that others are short of */

typedef struct
{
  uint64_t line, content;
} Key;

typedef struct
{
  Key key;
  struct cds_list_head link; /* of its line, by time; of a promise */
  struct cds_list_head age;  /* of its table, the oldest first */
  int64_t ready_at;          /* all of it is set aside; its caller is no longer early ... */
  float fill_us;             /* ... after it has filled for so long */
  unsigned rank;
  double cost;
  int64_t end_at; /* the caller's own limit */
} Promise;

typedef struct
{
  GHashTable *by_key; /* Promise */
  struct cds_list_head ages;
} Table;

typedef struct
{
  uint64_t number;
  struct cds_list_head promises;
  int64_t until; /* the part is promised until then */
} Line;

struct Returns
{
  FtClock *clock;
  double part;
  unsigned most;
  GHashTable *lines; /* number: Line */
  Table promises;
  Table told; /* times without a promise */
  RetCounts counts;
};

static guint
key_hash (gconstpointer data)
{
  const Key *key = data;
  uint64_t mixed = key->line ^ key->content;

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
ret_new (FtClock *clock, unsigned most)
{
  Returns *ret = g_new0 (Returns, 1);

  ret->clock = clock;
  ret->most = most;
  ret->lines = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  table_init (&ret->promises);
  table_init (&ret->told);
  return ret;
}

void
ret_free (Returns *ret)
{
  if (ret == NULL)
    return;
  g_hash_table_unref (ret->promises.by_key);
  g_hash_table_unref (ret->told.by_key);
  g_hash_table_unref (ret->lines);
  g_free (ret);
}

static void
drop (Table *table, Promise *promise)
{
  cds_list_del (&promise->link);
  cds_list_del (&promise->age);
  g_hash_table_remove (table->by_key, &promise->key);
}

static Promise *
oldest (Table *table)
{
  return cds_list_empty (&table->ages) ? NULL : cds_list_first_entry (&table->ages, Promise, age);
}

static void
lapse (Returns *ret, Promise *promise)
{
  ret->counts.lapsed++;
  drop (&ret->promises, promise);
}

void
ret_set_share (Returns *ret, double part)
{
  ret->part = part;
  while (part <= 0 && oldest (&ret->promises))
    lapse (ret, oldest (&ret->promises));
  while (part <= 0 && oldest (&ret->told))
    drop (&ret->told, oldest (&ret->told));
}

double
ret_share (const Returns *ret)
{
  return ret->part;
}

uint64_t
ret_resource_id (const char *name, unsigned tier)
{
  return XXH64 (name, strlen (name), tier);
}

/* ---- Lines ---- */

static Line *
line_of (Returns *ret, uint64_t number)
{
  Line *line = g_hash_table_lookup (ret->lines, &number);

  if (line)
    return line;
  line = g_new0 (Line, 1);
  line->number = number;
  CDS_INIT_LIST_HEAD (&line->promises);
  g_hash_table_insert (ret->lines, &line->number, line);
  return line;
}

static void
lapse_due (Returns *ret, Line *line, int64_t now)
{
  Promise *promise, *next;

  cds_list_for_each_entry_safe (promise, next, &line->promises, link)
  {
    if (promise->ready_at + RET_EARLY_US + RET_GRACE_US >= now)
      return;
    lapse (ret, promise);
  }
}

void
ret_expire (Returns *ret)
{
  int64_t now = ft_clock_now (ret->clock);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, ret->lines);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Line *line = value;
      lapse_due (ret, line, now);
      if (cds_list_empty (&line->promises) && line->until <= now)
        g_hash_table_iter_remove (&iter);
    }
  while (oldest (&ret->told) && oldest (&ret->told)->ready_at <= now)
    drop (&ret->told, oldest (&ret->told));
}

int64_t
ret_reserved_until (const Returns *ret, uint64_t number)
{
  const Line *line = g_hash_table_lookup (ret->lines, &number);

  return line ? line->until : 0;
}

double
ret_reserved (Returns *ret, uint64_t number, unsigned rank, uint64_t content)
{
  int64_t now = ft_clock_now (ret->clock);
  Line *line = g_hash_table_lookup (ret->lines, &number);
  const Promise *promise;
  double sum = 0;

  if (line == NULL)
    return 0;
  lapse_due (ret, line, now);
  cds_list_for_each_entry (promise, &line->promises, link)
  {
    double filled = (double) (now - promise->ready_at) + promise->fill_us;
    if (filled <= 0)
      break;
    if (promise->rank <= rank && promise->key.content != content)
      sum += promise->cost * (filled < promise->fill_us ? filled / promise->fill_us : 1);
  }
  return sum;
}

/* ---- Promises ---- */

static Promise *
promise_of (Returns *ret, const Key *key)
{
  Line *line = g_hash_table_lookup (ret->lines, &key->line);

  if (line == NULL)
    return NULL;
  lapse_due (ret, line, ft_clock_now (ret->clock));
  return g_hash_table_lookup (ret->promises.by_key, key);
}

static bool
is_early (const Promise *told, int64_t end_at, int64_t now)
{
  return now < told->ready_at && ABS (end_at - told->end_at) <= SAME_CALLER;
}

RetState
ret_lookup (Returns *ret, uint64_t line, uint64_t content, int64_t end_at, int64_t *at,
            bool *promised)
{
  Key key = { line, content };
  int64_t now = ft_clock_now (ret->clock);
  const Promise *promise = promise_of (ret, &key);
  const Promise *told = promise ? promise : g_hash_table_lookup (ret->told.by_key, &key);

  if (told == NULL || content == 0)
    return RET_UNKNOWN;
  *at = told->ready_at + RET_EARLY_US;
  *promised = promise != NULL;
  if (is_early (told, end_at, now))
    return RET_EARLY;
  if (promise == NULL)
    return RET_UNKNOWN;
  return now < promise->ready_at ? RET_OTHER_CALLER : RET_DUE;
}

static Promise *
add (Returns *ret, Table *table, const RetDemand *offer, int64_t ready_at)
{
  Promise *promise = g_new0 (Promise, 1);

  *promise = (Promise){ .key = { offer->line, offer->content },
                        .ready_at = ready_at,
                        .rank = offer->rank,
                        .cost = offer->cost,
                        .end_at = offer->end_at };
  if (g_hash_table_size (table->by_key) >= ret->most)
    {
      ret->counts.lapsed += table == &ret->promises;
      drop (table, oldest (table));
    }
  CDS_INIT_LIST_HEAD (&promise->link);
  cds_list_add_tail (&promise->age, &table->ages);
  g_hash_table_insert (table->by_key, &promise->key, promise);
  return promise;
}

static void
forget_told (Returns *ret, const Key *key)
{
  Promise *told = g_hash_table_lookup (ret->told.by_key, key);

  if (told)
    drop (&ret->told, told);
}

bool
ret_reserve (Returns *ret, const RetDemand *offer, int64_t *at)
{
  Key key = { offer->line, offer->content };
  int64_t now = ft_clock_now (ret->clock);
  int64_t latest = now + MAX (0, offer->end_at - now) / RET_WAIT_DIVISOR;

  if (offer->useful_until)
    latest = MIN (latest, offer->useful_until);
  *at = INT64_MAX;
  if (ret->part <= 0 || offer->content == 0 || offer->rate <= 0)
    return false;
  double fill_us = offer->cost / (ret->part * offer->rate);
  double start = (double) MAX (MAX (now, offer->start_at), ret_reserved_until (ret, offer->line));
  double ready = MAX (start + fill_us, (double) (offer->not_before - RET_EARLY_US));
  *at = (int64_t) MIN (ceil (ready), (double) INT64_MAX / 2) + RET_EARLY_US;
  if (*at > latest || promise_of (ret, &key))
    return false;
  forget_told (ret, &key);
  Promise *promise = add (ret, &ret->promises, offer, *at - RET_EARLY_US);
  Line *line = line_of (ret, offer->line);
  promise->fill_us = (float) fill_us;
  cds_list_add_tail (&promise->link, &line->promises);
  line->until = promise->ready_at;
  ret->counts.promised++;
  return true;
}

void
ret_record_wait (Returns *ret, const RetDemand *offer, int64_t wait_us)
{
  Key key = { offer->line, offer->content };
  int64_t now = ft_clock_now (ret->clock);
  int64_t heeds = MIN (wait_us, MAX (0, offer->end_at - now) / RET_WAIT_DIVISOR);

  if (ret->part <= 0 || offer->content == 0)
    return;
  forget_told (ret, &key);
  add (ret, &ret->told, offer, now + heeds - RET_EARLY_US);
}

bool
ret_consume (Returns *ret, uint64_t line, uint64_t content)
{
  Key key = { line, content };
  Promise *promise = promise_of (ret, &key);

  forget_told (ret, &key);
  if (promise)
    drop (&ret->promises, promise);
  return promise != NULL;
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

/* ---- At limits ---- */

/* Higher ranks may use what is set aside for lower ones. So nothing is promised to a rank where
 * those above it use more than the rest: it would be gone when the caller comes. */
static bool
offer_tokens (Returns *ret, Quota *quota, const RetRequest *ask, RetDemand *offer, int64_t *at)
{
  int64_t now = ft_clock_now (ret->clock);
  QuotaStatus flow;

  *at = INT64_MAX;
  if (!quota_get_status (quota, ask->org, ask->rank, &flow)
      || flow.above > (1 - ret->part) * flow.rate)
    return false;
  offer->cost = MIN (ask->cost, flow.burst);
  offer->rate = flow.rate / 1e6;
  offer->start_at = now + (int64_t) (MAX (0, -flow.left) / offer->rate);
  return ret_reserve (ret, offer, at);
}

static void
answer (Returns *ret, Quota *quota, const RetRequest *ask, int64_t *wait_us, RetAdvice *word)
{
  RetDemand offer = { .line = ret_resource_id (ask->org, 0),
                      .content = ask->content,
                      .rank = ask->rank,
                      .useful_until = ask->useful_until,
                      .end_at = ask->end_at };
  int64_t now = ft_clock_now (ret->clock), at;

  *word = RET_RESERVED;
  if (offer_tokens (ret, quota, ask, &offer, &at))
    {
      *wait_us = at - now;
      return;
    }
  *word = RET_TOO_LATE;
  if (at < INT64_MAX)
    *wait_us = MAX (*wait_us, at - now);
  ret_record_wait (ret, &offer, *wait_us);
}

/* What an early caller leaves to others: it is served if the account is far from empty. */
static double
ease (Quota *quota, const char *org)
{
  QuotaStatus flow;

  return quota_get_status (quota, org, 0, &flow) ? EASE_PART * flow.burst : 0;
}

bool
ret_take_tokens (Returns *ret, Quota *quota, const RetRequest *ask, int64_t *wait_us,
                 RetAdvice *word)
{
  uint64_t line = ret_resource_id (ask->org, 0);
  QuotaRequest from = { .org = ask->org, .cost = ask->cost, .rank = ask->rank };
  bool promised = false;
  int64_t at = 0;

  *word = RET_NO_RESERVATION;
  if (ret->part <= 0)
    return quota_take_request (quota, &from, wait_us);
  RetState state = ret_lookup (ret, line, ask->content, ask->end_at, &at, &promised);
  from.set_aside = state == RET_DUE;
  from.beside = ret_reserved (ret, line, ask->rank, from.set_aside ? ask->content : 0);
  if (state == RET_EARLY)
    from.beside += ease (quota, ask->org);
  bool taken = quota_take_request (quota, &from, wait_us);
  if ((taken && state != RET_OTHER_CALLER) || from.set_aside)
    if (ret_consume (ret, line, ask->content))
      ret_count_outcome (ret, taken);
  if (taken || ask->content == 0 || state == RET_OTHER_CALLER)
    return taken;
  if (state == RET_EARLY)
    {
      *wait_us = at - ft_clock_now (ret->clock);
      *word = promised ? RET_RESERVED : RET_TOO_LATE;
    }
  else
    answer (ret, quota, ask, wait_us, word);
  return false;
}

void
ret_explain (RetAdvice word, int64_t wait_us, char *rule, size_t size)
{
  char text[64];

  if (word == RET_NO_RESERVATION)
    return;
  if (word == RET_RESERVED)
    g_snprintf (text, sizeof text, "; promised in %" G_GINT64_FORMAT " ms", wait_us / FT_MS);
  else
    g_strlcpy (text, "; no time to promise within the caller's", sizeof text);
  size_t length = MIN (strlen (rule), size - strlen (text) - 1);
  g_strlcpy (rule + length, text, size - length);
}
