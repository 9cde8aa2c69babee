/* rollapi.c - parses, checks and answers operators' calls for roll-outs.
 *
 * Calls that this program defines itself:
 *     POST   /v1/rollouts           {"service": "s", "target": "v2", "limit_s": 60}
 *     GET    /v1/rollouts/SERVICE   the state of the latest roll-out
 *     DELETE /v1/rollouts/SERVICE   rolls back the active roll-out
 */
#include "rollapi.h"

#include <string.h>

#define OWN_PATH       "/v1/rollouts"
#define LIMIT_MAX      604800 /* seconds: one week, far longer than any real roll-out */
#define NAME_MAX_BYTES 100    /* bytes, the same as for versions in the list of servers */

RollApiCall
rollapi_classify (const AdapterOps *adapter_ops, const char *method, const char *target)
{
  bool has_service = g_str_has_prefix (target, OWN_PATH "/");

  switch (adapter_ops->call (method, target))
    {
    case ADAPTER_CALL_ROLLOUT_START:
      return ROLLAPI_START;
    case ADAPTER_CALL_ROLLOUT_STATE:
      return ROLLAPI_STATE;
    default:
      break;
    }
  if (strcmp (method, "POST") == 0 && strcmp (target, OWN_PATH) == 0)
    return ROLLAPI_OWN_START;
  if (has_service && strcmp (method, "GET") == 0)
    return ROLLAPI_OWN_STATE;
  return has_service && strcmp (method, "DELETE") == 0 ? ROLLAPI_OWN_ABORT : ROLLAPI_NONE;
}

static void
set_error (RollApiReply *reply, unsigned status, const char *field, const char *why)
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

static const FtField own_order_fields[] = {
  { "service", FT_FIELD_STRING, true, 1, NAME_MAX_BYTES, NULL, offsetof (OwnOrder, service), "" },
  { "target", FT_FIELD_STRING, true, 1, NAME_MAX_BYTES, NULL, offsetof (OwnOrder, target), "" },
  { "limit_s", FT_FIELD_INTEGER, true, 1, LIMIT_MAX, NULL, offsetof (OwnOrder, limit_s), "" },
  { 0 },
};

static FtStatus
parse_own_order (const GByteArray *body, AdapterRollout *out, FtError *error)
{
  char *text = g_strndup ((const char *) body->data, body->len);
  OwnOrder own = { 0 };
  FtJson *doc = NULL;
  FtStatus status = ft_json_parse (text, &doc, error);

  if (status == FT_OK)
    status = ft_json_fields (doc, ft_json_root (doc), "", own_order_fields, NULL, &own, error);
  if (status == FT_OK)
    *out = (AdapterRollout){ g_strdup (own.service), g_strdup (own.target),
                             own.limit_s * FT_SECOND };
  ft_json_fields_clear (own_order_fields, &own);
  ft_json_free (doc);
  g_free (text);
  return status;
}

static void
submit_order (Rollouts *rollouts, const RtCat *cat, const AdapterRollout *order,
              RollApiReply *reply)
{
  if (cat == NULL)
    {
      set_error (reply, 503, "", "no catalogue has been accepted yet");
      return;
    }
  if (rt_cat_service (cat, order->service) == NULL)
    {
      set_error (reply, 400, "service", "the service is not in the catalogue in force");
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
      set_error (reply, 409, "target", "a roll-out to another version is active");
      break;
    case ROLL_FULL:
      set_error (reply, 400, "service", "the limit on services with a roll-out is reached");
      break;
    }
}

static void
handle_start (const AdapterOps *adapter_ops, Rollouts *rollouts, const RtCat *cat, bool own,
              const GByteArray *body, RollApiReply *reply)
{
  AdapterRollout order = { 0 };
  FtError error = { 0 };
  FtStatus status
      = own ? parse_own_order (body, &order, &error)
            : adapter_ops->read_rollout ((const char *) body->data, body->len, &order, &error);

  if (status != FT_OK)
    {
      set_error (reply, 400, "", "");
      g_snprintf (reply->why, sizeof reply->why, "%s%s%s", error.field, *error.field ? ": " : "",
                  error.text);
      return;
    }
  submit_order (rollouts, cat, &order, reply);
  adapter_rollout_clear (&order);
}

void
rollapi_order_committed (const Rollouts *rollouts, RollApiReply *reply)
{
  const MsgRollout *rollout = rollouts_find (rollouts, reply->service);

  reply->status = 200;
  if (rollout == NULL || strcmp (rollout->target, reply->target) != 0)
    set_error (reply, 409, "target", "a roll-out to another version is active");
}

/* ---- State and abort ---- */

static AdapterRolloutState
seam_state (const MsgRollout *rollout)
{
  if (roll_is_active (rollout))
    return ADAPTER_ROLLOUT_ACTIVE;
  return rollout->phase == MSG_ROLLOUT_COMPLETED ? ADAPTER_ROLLOUT_COMPLETED
                                                 : ADAPTER_ROLLOUT_ROLLED_BACK;
}

static void
handle_state (const AdapterOps *adapter_ops, const Rollouts *rollouts, bool own,
              const char *service, RollApiReply *reply)
{
  const MsgRollout *rollout = rollouts_find (rollouts, service);

  if (rollout == NULL)
    {
      set_error (reply, 404, "service", "the service has never had a roll-out");
      return;
    }
  reply->status = 200;
  reply->body = g_string_new (NULL);
  if (own)
    rollouts_append_json (rollout, reply->body);
  else
    adapter_ops->write_rollout (reply->body, seam_state (rollout), rollout->target);
}

static void
handle_abort (Rollouts *rollouts, const char *service, RollApiReply *reply)
{
  const MsgRollout *rollout = rollouts_find (rollouts, service);

  reply->ticket = rollouts_abort (rollouts, service);
  if (reply->ticket == 0)
    {
      set_error (reply, 409, "service", "the service has no active roll-out");
      return;
    }
  reply->service = g_strdup (service);
  reply->target = g_strdup (rollout->target);
}

static char *
service_from_path (const char *target)
{
  const char *name = target + strlen (OWN_PATH "/");

  return g_uri_unescape_segment (name, name + strcspn (name, "?"), NULL);
}

void
rollapi_handle (const AdapterOps *adapter_ops, Rollouts *rollouts, const RtCat *cat,
                RollApiCall kind, const HMsg *msg, const GByteArray *body, RollApiReply *reply)
{
  const char *target = hmsg_target (msg);
  char *service = NULL;

  *reply = (RollApiReply){ .field = "" };
  if (kind == ROLLAPI_START || kind == ROLLAPI_OWN_START)
    {
      handle_start (adapter_ops, rollouts, cat, kind == ROLLAPI_OWN_START, body, reply);
      return;
    }
  service
      = kind == ROLLAPI_STATE ? adapter_ops->rollout_service (target) : service_from_path (target);
  if (service == NULL)
    set_error (reply, 400, "service", "the service name cannot be decoded");
  else if (kind == ROLLAPI_OWN_ABORT)
    handle_abort (rollouts, service, reply);
  else
    handle_state (adapter_ops, rollouts, kind == ROLLAPI_OWN_STATE, service, reply);
  g_free (service);
}

void
rollapi_reply_clear (RollApiReply *reply)
{
  g_free (reply->service);
  g_free (reply->target);
  if (reply->body)
    g_string_free (reply->body, TRUE);
  *reply = (RollApiReply){ .field = "" };
}
