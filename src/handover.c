/* handover.c - a scheduler that takes over grants a share that grows with the reports it gets.
 *
 * A scheduler that takes over at full load would count places as free that run requests granted by
 * its predecessor: within a second, engines would get a third more requests than they have places
 * for. Until all owners that may hold something have reported, only the share of those that
 * have is granted.
 *
 * An owner that never reports delays the end by the longest wait at most. An owner that sends
 * requests without reporting, such as a version without handovers, begins one handover and not one
 * with each request.
 */
#include "handover.h"

#include <urcu/list.h>

/* Longest wait of a request: more of its caller's time is not spent on a small share. */
#define HOLD_MAX (200 * FT_MS)
/* Pause before the next handover if fewer than half of the owners reported in the last one. */
#define RESTART_PAUSE  (4 * FT_SECOND)
#define HELD_MAX_COUNT 4096 /* about 2 MB; a fifth of a second at 20,000 requests a second */

typedef enum
{
  SENDS_REQUESTS = 1,
  HAS_REPORTED
} OwnerState;

typedef struct
{
  struct cds_list_head link;
  SchedAsk ask;
  char *service, *org, *avoid, *version;
  uint32_t *kept;
  int64_t until; /* decided at the latest then */
} Held;

struct Hand
{
  FtClock *clock;
  int64_t max_wait_us;
  GHashTable *owners; /* owner: OwnerState */
  unsigned reported;  /* owners in state HAS_REPORTED */
  unsigned expected;  /* owners that are awaited */
  int64_t began;
  bool active, ended;
  HandResult last;
  struct cds_list_head held; /* Held, the oldest first */
  unsigned held_count;
};

Hand *
hand_new (FtClock *clock)
{
  Hand *hand = g_new0 (Hand, 1);

  hand->clock = clock;
  hand->owners = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  CDS_INIT_LIST_HEAD (&hand->held);
  return hand;
}

static void
held_free (Hand *hand, Held *held)
{
  cds_list_del (&held->link);
  hand->held_count--;
  g_free (held->service);
  g_free (held->org);
  g_free (held->avoid);
  g_free (held->version);
  g_free (held->kept);
  g_free (held);
}

void
hand_free (Hand *hand)
{
  Held *held, *next;

  if (hand == NULL)
    return;
  cds_list_for_each_entry_safe (held, next, &hand->held, link) held_free (hand, held);
  g_hash_table_unref (hand->owners);
  g_free (hand);
}

void
hand_set_max_wait (Hand *hand, int64_t max_us)
{
  hand->max_wait_us = max_us;
}

/* ---- Reports ---- */

static void
end_handover (Hand *hand, const char *why)
{
  int64_t after = ft_clock_now (hand->clock) - hand->began;

  hand->last = (HandResult){ hand->reported, hand->expected, after, why };
  hand->active = false;
  hand->ended = true;
}

static void
end_if_all_reported (Hand *hand)
{
  if (hand->active && hand->reported >= hand->expected)
    end_handover (hand, "all have reported");
}

/* When some owners on a lossy path alternate between schedulers, the few that send requests here
 * would repeatedly be mistaken for the first ones of a takeover, and places would be held back for
 * owners that stay with their scheduler. */
static bool
few_reported_lately (const Hand *hand)
{
  return hand->last.reported * 2 < hand->last.expected
         && ft_clock_now (hand->clock) - hand->began < RESTART_PAUSE;
}

void
hand_begin (Hand *hand, unsigned expected)
{
  if (hand->max_wait_us <= 0)
    return;
  hand->active = true;
  hand->ended = false;
  hand->began = ft_clock_now (hand->clock);
  hand->expected = expected;
  end_if_all_reported (hand);
}

static OwnerState
state_of (const Hand *hand, uint64_t owner)
{
  return GPOINTER_TO_INT (g_hash_table_lookup (hand->owners, &owner));
}

static void
set_state (Hand *hand, uint64_t owner, OwnerState state)
{
  g_hash_table_replace (hand->owners, g_memdup2 (&owner, sizeof owner), GINT_TO_POINTER (state));
}

bool
hand_note_request (Hand *hand, uint64_t owner, unsigned expected)
{
  unsigned known = g_hash_table_size (hand->owners);

  if (state_of (hand, owner))
    return false;
  set_state (hand, owner, SENDS_REQUESTS);
  if (hand->active || known * 2 >= expected || few_reported_lately (hand))
    return false;
  hand_begin (hand, expected);
  return true;
}

void
hand_note_report (Hand *hand, uint64_t owner)
{
  hand->reported += state_of (hand, owner) != HAS_REPORTED;
  set_state (hand, owner, HAS_REPORTED);
  end_if_all_reported (hand);
}

void
hand_owner_gone (Hand *hand, uint64_t owner)
{
  hand->reported -= state_of (hand, owner) == HAS_REPORTED;
  g_hash_table_remove (hand->owners, &owner);
  hand->expected -= hand->expected > 0;
  end_if_all_reported (hand);
}

double
hand_share (const Hand *hand)
{
  if (hand_is_over (hand) || hand->expected == 0)
    return 1;
  return MIN (1, (double) hand->reported / hand->expected);
}

bool
hand_is_over (const Hand *hand)
{
  return !hand->active || ft_clock_now (hand->clock) - hand->began >= hand->max_wait_us;
}

bool
hand_take_result (Hand *hand, HandResult *out)
{
  if (hand->active && hand_is_over (hand))
    end_handover (hand, "time");
  if (!hand->ended)
    return false;
  hand->ended = false;
  *out = hand->last;
  return true;
}

/* ---- Requests that wait ---- */

bool
hand_hold (Hand *hand, const SchedAsk *ask)
{
  if (hand_is_over (hand) || hand->held_count >= HELD_MAX_COUNT)
    return false;
  Held *held = g_new0 (Held, 1);
  held->ask = *ask;
  held->ask.service = held->service = g_strdup (ask->service);
  held->ask.org = held->org = g_strdup (ask->org);
  held->ask.avoid = held->avoid = g_strdup (ask->avoid);
  held->ask.version = held->version = g_strdup (ask->version);
  held->ask.kept = held->kept = g_memdup2 (ask->kept, ask->kept_count * sizeof *ask->kept);
  held->until = ft_clock_now (hand->clock) + MIN (HOLD_MAX, hand->max_wait_us);
  cds_list_add_tail (&held->link, &hand->held);
  hand->held_count++;
  return true;
}

static Held *
oldest (Hand *hand)
{
  return cds_list_empty (&hand->held) ? NULL : cds_list_entry (hand->held.next, Held, link);
}

const SchedAsk *
hand_next_due (Hand *hand)
{
  Held *held = oldest (hand);

  if (held == NULL || (!hand_is_over (hand) && ft_clock_now (hand->clock) < held->until))
    return NULL;
  return &held->ask;
}

void
hand_free_due (Hand *hand)
{
  Held *held = oldest (hand);

  if (held)
    held_free (hand, held);
}

void
hand_cancel (Hand *hand, uint64_t owner, uint64_t request)
{
  Held *held, *next;

  cds_list_for_each_entry_safe (held, next, &hand->held, link)
  {
    if (held->ask.owner == owner && held->ask.request == request)
      held_free (hand, held);
  }
}

void
hand_cancel_owner (Hand *hand, uint64_t owner)
{
  Held *held, *next;

  cds_list_for_each_entry_safe (held, next, &hand->held, link)
  {
    if (held->ask.owner == owner)
      held_free (hand, held);
  }
}
