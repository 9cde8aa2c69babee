/* rollout.c - which version of a service's servers was ordered, and how far the move has come.
 *
 * The account is part of the replicated state, so an order that was acknowledged outlives every
 * instance, and a version that was rolled back stays so. A roll-out only goes forward:
 *     trying -> moving -> completed
 * and from the first two to rolled back; steps of an older order, or behind its end, change
 * nothing. So whoever takes charge in the middle goes on from the last step, and a step that was
 * proposed by two instances counts once.
 */
#include "rollout.h"

#include <string.h>

struct RolloutTable
{
  uint64_t index;
  GPtrArray *all; /* MsgRollout, by service */
};

static void
rollout_free (void *data)
{
  codec_clear (CODEC (MsgRollout), data);
  g_free (data);
}

RolloutTable *
roll_new (void)
{
  RolloutTable *account = g_new0 (RolloutTable, 1);

  account->all = g_ptr_array_new_with_free_func (rollout_free);
  return account;
}

void
roll_free (RolloutTable *account)
{
  if (account == NULL)
    return;
  g_ptr_array_unref (account->all);
  g_free (account);
}

static int
by_service (gconstpointer one, gconstpointer other)
{
  const MsgRollout *const *a = one, *const *b = other;

  return strcmp ((*a)->service, (*b)->service);
}

static MsgRollout *
find (const RolloutTable *account, const char *service)
{
  for (unsigned i = 0; i < account->all->len; i++)
    {
      MsgRollout *rollout = account->all->pdata[i];
      if (strcmp (rollout->service, service) == 0)
        return rollout;
    }
  return NULL;
}

const MsgRollout *
roll_find (const RolloutTable *account, const char *service)
{
  return find (account, service);
}

bool
roll_is_active (const MsgRollout *rollout)
{
  return rollout->phase == MSG_ROLLOUT_TRYING || rollout->phase == MSG_ROLLOUT_MOVING;
}

RollCheck
roll_check (const RolloutTable *account, const char *service, const char *target, bool lately)
{
  const MsgRollout *known = find (account, service);

  if (known == NULL)
    return account->all->len < FT_ROLLOUTS_MAX ? ROLL_NEW : ROLL_FULL;
  if (strcmp (known->target, target) != 0)
    return roll_is_active (known) ? ROLL_BUSY : ROLL_NEW;
  if (known->phase == MSG_ROLLOUT_ROLLED_BACK)
    return lately ? ROLL_KNOWN : ROLL_NEW;
  return ROLL_KNOWN;
}

static void
set_text (char **field, const char *text)
{
  free (*field);
  *field = strdup (text);
}

/* Failure: an order is proposed by one voter, and again by the next one in charge, since its answer
 * was lost; both are committed. Symptom: a roll-out that has begun, or even ended, begins anew.
 * Only the order that follows the roll-out that its proposer knew counts. */
bool
roll_apply_start (RolloutTable *account, uint64_t index, const MsgRolloutStart *start)
{
  MsgRollout *rollout = find (account, start->service);

  if (start->after != (rollout ? rollout->number : 0)
      || (rollout == NULL && account->all->len >= FT_ROLLOUTS_MAX)
      || (rollout && roll_is_active (rollout)))
    return false;
  if (rollout == NULL)
    {
      rollout = g_new0 (MsgRollout, 1);
      set_text (&rollout->service, start->service);
      g_ptr_array_add (account->all, rollout);
      g_ptr_array_sort (account->all, by_service);
    }
  set_text (&rollout->target, start->target);
  set_text (&rollout->before, start->before);
  set_text (&rollout->why, "");
  rollout->number = index;
  rollout->limit_ms = start->limit_ms;
  rollout->phase = MSG_ROLLOUT_TRYING;
  rollout->trial = (MsgTrial){ 0 };
  account->index = index;
  return true;
}

static bool
leads_forward (MsgRolloutPhase from, MsgRolloutPhase to)
{
  if (from == MSG_ROLLOUT_COMPLETED || from == MSG_ROLLOUT_ROLLED_BACK)
    return false;
  return to >= from;
}

bool
roll_apply_step (RolloutTable *account, uint64_t index, const MsgRolloutStep *step)
{
  MsgRollout *rollout = find (account, step->service);

  if (rollout == NULL || rollout->number != step->number
      || !leads_forward (rollout->phase, step->phase))
    return false;
  if (rollout->phase != step->phase)
    set_text (&rollout->why, step->why);
  rollout->phase = step->phase;
  rollout->trial = step->trial;
  account->index = index;
  return true;
}

uint64_t
roll_index (const RolloutTable *account)
{
  return account->index;
}

void
roll_capture (const RolloutTable *account, MsgRollouts *out)
{
  unsigned count = account->all->len;

  *out = (MsgRollouts){ .index = account->index };
  out->rollouts.rollouts_len = count;
  out->rollouts.rollouts_val = g_new0 (MsgRollout, count + 1);
  for (unsigned i = 0; i < count; i++)
    out->rollouts.rollouts_val[i] = *(const MsgRollout *) account->all->pdata[i];
}

void
roll_restore (RolloutTable *account, const MsgRollouts *in)
{
  g_ptr_array_set_size (account->all, 0);
  account->index = in->index;
  for (unsigned i = 0; i < in->rollouts.rollouts_len; i++)
    {
      const MsgRollout *from = &in->rollouts.rollouts_val[i];
      MsgRollout *rollout = g_memdup2 (from, sizeof *from);
      rollout->service = strdup (from->service);
      rollout->target = strdup (from->target);
      rollout->before = strdup (from->before);
      rollout->why = strdup (from->why);
      g_ptr_array_add (account->all, rollout);
    }
}
