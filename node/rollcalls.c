/* rollcalls.c - what an order of a version means, is checked against, and answered with.
 *
 * Own calls:
 *     POST   /v1/rollouts           {"service": "s", "target": "v2", "limit_s": 60}
 *     GET    /v1/rollouts/SERVICE   what is known of the newest one
 *     DELETE /v1/rollouts/SERVICE   rolls back what is under way
 */
#include "rollcalls.h"

#include <string.h>

#define OWN_PATH   "/v1/rollouts"
#define LIMIT_MOST 604800 /* seconds; a move that takes a week is none */
#define NAME_MOST  100    /* bytes; as versions in the list of servers */

RollCall
rollcall_of (const AdapterOps *adapter_ops, const char *method, const char *target)
{
  bool one = g_str_has_prefix (target, OWN_PATH "/");

  switch (adapter_ops->call (method, target))
    {
    case ADAPTER_CALL_ROLLOUT_START:
      return ROLLCALL_START;
    case ADAPTER_CALL_ROLLOUT_STATE:
      return ROLLCALL_STATE;
    default:
      break;
    }
  if (strcmp (method, "POST") == 0 && strcmp (target, OWN_PATH) == 0)
    return ROLLCALL_OWN_START;
  if (one && strcmp (method, "GET") == 0)
    return ROLLCALL_OWN_STATE;
  return one && strcmp (method, "DELETE") == 0 ? ROLLCALL_OWN_ABORT : ROLLCALL_NONE;
}

static void
fail (RollReply *reply, unsigned status, const char *field, const char *why)
{
  reply->status = status;
  reply->field = field;
  g_strlcpy (reply->why, why, sizeof reply->why);
}

/* ---- Orders ---- */

typedef struct
{
  char *service, *target;
  int64_t limit_s;
} OwnOrder;

static const FtField own_fields[] = {
  { "service", FT_FIELD_STRING, true, 1, NAME_MOST, NULL, offsetof (OwnOrder, service), "" },
  { "target", FT_FIELD_STRING, true, 1, NAME_MOST, NULL, offsetof (OwnOrder, target), "" },
  { "limit_s", FT_FIELD_INTEGER, true, 1, LIMIT_MOST, NULL, offsetof (OwnOrder, limit_s), "" },
  { 0 },
};

static FtStatus
read_own (const GByteArray *body, AdapterRollout *out, FtError *error)
{
  char *text = g_strndup ((const char *) body->data, body->len);
  OwnOrder own = { 0 };
  FtJson *doc = NULL;
  FtStatus status = ft_json_parse (text, &doc, error);

  if (status == FT_OK)
    status = ft_json_fields (doc, ft_json_root (doc), "", own_fields, NULL, &own, error);
  if (status == FT_OK)
    *out = (AdapterRollout){ g_strdup (own.service), g_strdup (own.target),
                             own.limit_s * FT_SECOND };
  ft_json_fields_clear (own_fields, &own);
  ft_json_free (doc);
  g_free (text);
  return status;
}

static void
take_order (Rollouts *rollouts, const RtCat *cat, const AdapterRollout *order, RollReply *reply)
{
  if (cat == NULL)
    {
      fail (reply, 503, "", "no catalogue has been accepted yet");
      return;
    }
  if (rt_cat_service (cat, order->service) == NULL)
    {
      fail (reply, 400, "service", "the catalogue in force names no such service");
      return;
    }
  switch (rollouts_order (rollouts, order, &reply->ticket))
    {
    case ROLL_NEW:
      reply->service = g_strdup (order->service);
      reply->target = g_strdup (order->target);
      break;
    case ROLL_KNOWN:
      reply->status = 200;
      break;
    case ROLL_BUSY:
      fail (reply, 409, "target", "another version is being moved to");
      break;
    case ROLL_FULL:
      fail (reply, 400, "service", "as many services as can be kept have had a roll-out");
      break;
    }
}

static void
start (const AdapterOps *adapter_ops, Rollouts *rollouts, const RtCat *cat, bool own,
       const GByteArray *body, RollReply *reply)
{
  AdapterRollout order = { 0 };
  FtError error = { 0 };
  FtStatus status
      = own ? read_own (body, &order, &error)
            : adapter_ops->read_rollout ((const char *) body->data, body->len, &order, &error);

  if (status != FT_OK)
    {
      fail (reply, 400, "", "");
      g_snprintf (reply->why, sizeof reply->why, "%s%s%s", error.field, *error.field ? ": " : "",
                  error.text);
      return;
    }
  take_order (rollouts, cat, &order, reply);
  adapter_rollout_clear (&order);
}

void
rollcall_committed (const Rollouts *rollouts, RollReply *reply)
{
  const MsgRollout *known = rollouts_find (rollouts, reply->service);

  reply->status = 200;
  if (known == NULL || strcmp (known->target, reply->target) != 0)
    fail (reply, 409, "target", "another version is being moved to");
}

/* ---- Questions ---- */

static AdapterRolloutState
state_of (const MsgRollout *rollout)
{
  if (roll_is_active (rollout))
    return ADAPTER_ROLLOUT_ACTIVE;
  return rollout->phase == MSG_ROLLOUT_COMPLETED ? ADAPTER_ROLLOUT_COMPLETED
                                                 : ADAPTER_ROLLOUT_ROLLED_BACK;
}

static void
show (const AdapterOps *adapter_ops, const Rollouts *rollouts, bool own, const char *service,
      RollReply *reply)
{
  const MsgRollout *rollout = rollouts_find (rollouts, service);

  if (rollout == NULL)
    {
      fail (reply, 404, "service", "no version was ever ordered for it");
      return;
    }
  reply->status = 200;
  reply->body = g_string_new (NULL);
  if (own)
    rollouts_show (rollout, reply->body);
  else
    adapter_ops->write_rollout (reply->body, state_of (rollout), rollout->target);
}

static void
stop (Rollouts *rollouts, const char *service, RollReply *reply)
{
  const MsgRollout *rollout = rollouts_find (rollouts, service);

  reply->ticket = rollouts_abort (rollouts, service);
  if (reply->ticket == 0)
    {
      fail (reply, 409, "service", "nothing is under way there");
      return;
    }
  reply->service = g_strdup (service);
  reply->target = g_strdup (rollout->target);
}

static char *
own_service (const char *target)
{
  const char *name = target + strlen (OWN_PATH "/");

  return g_uri_unescape_segment (name, name + strcspn (name, "?"), NULL);
}

void
rollcall_answer (const AdapterOps *adapter_ops, Rollouts *rollouts, const RtCat *cat, RollCall kind,
                 const HMsg *msg, const GByteArray *body, RollReply *reply)
{
  const char *target = hmsg_target (msg);
  char *service = NULL;

  *reply = (RollReply){ .field = "" };
  if (kind == ROLLCALL_START || kind == ROLLCALL_OWN_START)
    {
      start (adapter_ops, rollouts, cat, kind == ROLLCALL_OWN_START, body, reply);
      return;
    }
  service = kind == ROLLCALL_STATE ? adapter_ops->rollout_service (target) : own_service (target);
  if (service == NULL)
    fail (reply, 400, "service", "its name cannot be read");
  else if (kind == ROLLCALL_OWN_ABORT)
    stop (rollouts, service, reply);
  else
    show (adapter_ops, rollouts, kind == ROLLCALL_OWN_STATE, service, reply);
  g_free (service);
}

void
rollcall_clear (RollReply *reply)
{
  g_free (reply->service);
  g_free (reply->target);
  if (reply->body)
    g_string_free (reply->body, TRUE);
  *reply = (RollReply){ .field = "" };
}
