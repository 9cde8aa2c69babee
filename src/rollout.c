/* rollout.c - records which version of each service was ordered, and the progress of its roll-out.
 *
 * The table is part of the replicated state, so an acknowledged order survives the loss of any
 * instance, and a version that was rolled back stays rolled back. The phases of a roll-out only go
 * forward:
 *
 *     trying -> moving -> completed
 *
 * and from the first two to rolled back. Steps of an older order, or after the end, change
 * nothing. So a new voter in charge continues from the last committed step, and a step that two
 * instances propose takes effect once.
 */
#include "rollout.h"

#include <string.h>

struct RolloutTable
{
  uint64_t index;
  GPtrArray *all; /* MsgRollout, sorted by service */
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
  RolloutTable *table = g_new0 (RolloutTable, 1);

  table->all = g_ptr_array_new_with_free_func (rollout_free);
  return table;
}

void
roll_free (RolloutTable *table)
{
  if (table == NULL)
    return;
  g_ptr_array_unref (table->all);
  g_free (table);
}

static int
compare_service (gconstpointer one, gconstpointer other)
{
  const MsgRollout *const *a = one, *const *b = other;

  return strcmp ((*a)->service, (*b)->service);
}

static MsgRollout *
find (const RolloutTable *table, const char *service)
{
  for (unsigned i = 0; i < table->all->len; i++)
    {
      MsgRollout *rollout = table->all->pdata[i];
      if (strcmp (rollout->service, service) == 0)
        return rollout;
    }
  return NULL;
}

const MsgRollout *
roll_find (const RolloutTable *table, const char *service)
{
  return find (table, service);
}

bool
roll_is_active (const MsgRollout *rollout)
{
  return rollout->phase == MSG_ROLLOUT_TRYING || rollout->phase == MSG_ROLLOUT_MOVING;
}

RollCheck
roll_check (const RolloutTable *table, const char *service, const char *target, bool recent)
{
  const MsgRollout *known = find (table, service);

  if (known == NULL)
    return table->all->len < FT_ROLLOUTS_MAX ? ROLL_NEW : ROLL_FULL;
  if (strcmp (known->target, target) != 0)
    return roll_is_active (known) ? ROLL_BUSY : ROLL_NEW;
  if (known->phase == MSG_ROLLOUT_ROLLED_BACK)
    return recent ? ROLL_KNOWN : ROLL_NEW;
  return ROLL_KNOWN;
}

static void
set_text (char **field, const char *text)
{
  free (*field);
  *field = strdup (text);
}

/* If the answer to a proposed order is lost, the next voter in charge proposes the order again;
 * both proposals are committed, and an active or even completed roll-out would start again.
 * Therefore each proposal names the roll-out that its proposer saw last, and takes effect only if
 * that is still the latest one. */
bool
roll_apply_start (RolloutTable *table, uint64_t index, const MsgRolloutStart *start)
{
  MsgRollout *rollout = find (table, start->service);

  if (start->after != (rollout ? rollout->number : 0)
      || (rollout == NULL && table->all->len >= FT_ROLLOUTS_MAX)
      || (rollout && roll_is_active (rollout)))
    return false;
  if (rollout == NULL)
    {
      rollout = g_new0 (MsgRollout, 1);
      set_text (&rollout->service, start->service);
      g_ptr_array_add (table->all, rollout);
      g_ptr_array_sort (table->all, compare_service);
    }
  set_text (&rollout->target, start->target);
  set_text (&rollout->before, start->before);
  set_text (&rollout->why, "");
  rollout->number = index;
  rollout->limit_ms = start->limit_ms;
  rollout->phase = MSG_ROLLOUT_TRYING;
  rollout->trial = (MsgTrial){ 0 };
  table->index = index;
  return true;
}

static bool
is_forward (MsgRolloutPhase from, MsgRolloutPhase to)
{
  if (from == MSG_ROLLOUT_COMPLETED || from == MSG_ROLLOUT_ROLLED_BACK)
    return false;
  return to >= from;
}

bool
roll_apply_step (RolloutTable *table, uint64_t index, const MsgRolloutStep *step)
{
  MsgRollout *rollout = find (table, step->service);

  if (rollout == NULL || rollout->number != step->number
      || !is_forward (rollout->phase, step->phase))
    return false;
  if (rollout->phase != step->phase)
    set_text (&rollout->why, step->why);
  rollout->phase = step->phase;
  rollout->trial = step->trial;
  table->index = index;
  return true;
}

uint64_t
roll_index (const RolloutTable *table)
{
  return table->index;
}

void
roll_capture (const RolloutTable *table, MsgRollouts *out)
{
  unsigned count = table->all->len;

  *out = (MsgRollouts){ .index = table->index };
  out->rollouts.rollouts_len = count;
  out->rollouts.rollouts_val = g_new0 (MsgRollout, count + 1);
  for (unsigned i = 0; i < count; i++)
    out->rollouts.rollouts_val[i] = *(const MsgRollout *) table->all->pdata[i];
}

void
roll_restore (RolloutTable *table, const MsgRollouts *in)
{
  g_ptr_array_set_size (table->all, 0);
  table->index = in->index;
  for (unsigned i = 0; i < in->rollouts.rollouts_len; i++)
    {
      const MsgRollout *from = &in->rollouts.rollouts_val[i];
      MsgRollout *rollout = g_memdup2 (from, sizeof *from);
      rollout->service = strdup (from->service);
      rollout->target = strdup (from->target);
      rollout->before = strdup (from->before);
      rollout->why = strdup (from->why);
      g_ptr_array_add (table->all, rollout);
    }
}
