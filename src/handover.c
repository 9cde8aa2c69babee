/* handover.c - a scheduler that takes over gives away a part that grows with what it was told.
 *
 * Failure: a scheduler takes over at full load and counts as free what runs by its predecessor's
 * grants. Symptom: engines get a third more requests than they have places for, within a second. So
 * until all who may hold something have reported, only the part of those that have is given away.
 *
 * An owner that never reports delays this by the longest wait at most. One that asks without
 * reporting, as a version without handover does, begins one handover and not one with each ask.
 */
#include "handover.h"

#include <urcu/list.h>

/* Tuning; each row with its reason. */
#define HOLD_MOST                                                                                  \
  (200 * FT_MS) /* of an ask: more of its caller's time is not spent on a small part */
#define AGAIN     (4 * FT_SECOND) /* after a handover in which most owners stayed away */
#define HELD_MOST 4096 /* asks, about 2 MB; a fifth of a second at 20,000 requests a second */

typedef enum
{
  ASKS = 1,
  HAS_REPORTED
} OwnerState;

typedef struct
{
  struct cds_list_head link;
  SchedAsk ask;
  char *service, *org, *avoid;
  uint32_t *kept;
  int64_t until;
} Held;

struct Hand
{
  FtClock *clock;
  int64_t wait_us;
  GHashTable *owners; /* owner: OwnerState */
  unsigned reported;  /* owners that have */
  unsigned expected;
  int64_t began;
  bool active, ended;
  HandResult last;
  struct cds_list_head held; /* the oldest first */
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
hand_set_max_wait (Hand *hand, int64_t most_us)
{
  hand->wait_us = most_us;
}

/* ---- Who has reported ---- */

static void
end (Hand *hand, const char *why)
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
    end (hand, "all have reported");
}

/* Failure: some owners on a lossy path go back and forth between schedulers. Symptom: the few that
 * are here are taken for the first of a takeover again and again, and places are held back for
 * those that stay where they are. */
static bool
most_stayed_away (const Hand *hand)
{
  return hand->last.reported * 2 < hand->last.expected
         && ft_clock_now (hand->clock) - hand->began < AGAIN;
}

void
hand_begin (Hand *hand, unsigned expected)
{
  if (hand->wait_us <= 0)
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
  set_state (hand, owner, ASKS);
  if (hand->active || known * 2 >= expected || most_stayed_away (hand))
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
  return !hand->active || ft_clock_now (hand->clock) - hand->began >= hand->wait_us;
}

bool
hand_take_result (Hand *hand, HandResult *out)
{
  if (hand->active && hand_is_over (hand))
    end (hand, "time");
  if (!hand->ended)
    return false;
  hand->ended = false;
  *out = hand->last;
  return true;
}

/* ---- Asks that wait ---- */

bool
hand_hold (Hand *hand, const SchedAsk *ask)
{
  if (hand_is_over (hand) || hand->held_count >= HELD_MOST)
    return false;
  Held *held = g_new0 (Held, 1);
  held->ask = *ask;
  held->ask.service = held->service = g_strdup (ask->service);
  held->ask.org = held->org = g_strdup (ask->org);
  held->ask.avoid = held->avoid = g_strdup (ask->avoid);
  held->ask.kept = held->kept = g_memdup2 (ask->kept, ask->kept_count * sizeof *ask->kept);
  held->until = ft_clock_now (hand->clock) + MIN (HOLD_MOST, hand->wait_us);
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
