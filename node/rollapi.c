/* rollapi.c - what an order of a version means, is checked against, and answered with.
 *
 * Own calls:
 *     POST   /v1/rollouts           {"service": "s", "target": "v2", "limit_s": 60}
 *     GET    /v1/rollouts/SERVICE   what is known of the newest one
 *     DELETE /v1/rollouts/SERVICE   rolls back what is under way
 */
#include "rollapi.h"

#include <string.h>

#define OWN_PATH   "/v1/rollouts"
#define LIMIT_MOST 604800 /* seconds; a move that takes a week is none */
#define NAME_MOST  100    /* bytes; as versions in the list of servers */

RollApiCall
rollapi_classify (const Seam *seam, const char *method, const char *target)
{
  bool one = g_str_has_prefix (target, OWN_PATH "/");

  switch (seam->call (method, target))
    {
    case SEAM_CALL_ROLLOUT_START:
      return ROLLAPI_START;
    case SEAM_CALL_ROLLOUT_STATE:
      return ROLLAPI_STATE;
    default:
      break;
    }
  if (strcmp (method, "POST") == 0 && strcmp (target, OWN_PATH) == 0)
    return ROLLAPI_OWN_START;
  if (one && strcmp (method, "GET") == 0)
    return ROLLAPI_OWN_STATE;
  return one && strcmp (method, "DELETE") == 0 ? ROLLAPI_OWN_ABORT : ROLLAPI_NONE;
}

static void
fail (RollApiReply *reply, unsigned status, const char *field, const char *why)
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
read_own (const GByteArray *body, SeamRollout *out, FtError *error)
{
  char *text = g_strndup ((const char *) body->data, body->len);
  OwnOrder own = { 0 };
  FtJson *doc = NULL;
  FtStatus status = ft_json_parse (text, &doc, error);

  if (status == FT_OK)
    status = ft_json_fields (doc, ft_json_root (doc), "", own_fields, NULL, &own, error);
  if (status == FT_OK)
    *out = (SeamRollout){ g_strdup (own.service), g_strdup (own.target), own.limit_s * FT_SECOND };
  ft_json_fields_clear (own_fields, &own);
  ft_json_free (doc);
  g_free (text);
  return status;
}

static void
take_order (Rollouts *rollouts, const RtCat *cat, const SeamRollout *order, RollApiReply *reply)
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
start (const Seam *seam, Rollouts *rollouts, const RtCat *cat, bool own, const GByteArray *body,
       RollApiReply *reply)
{
  SeamRollout order = { 0 };
  FtError error = { 0 };
  FtStatus status = own ? read_own (body, &order, &error)
                        : seam->read_rollout ((const char *) body->data, body->len, &order, &error);

  if (status != FT_OK)
    {
      fail (reply, 400, "", "");
      g_snprintf (reply->why, sizeof reply->why, "%s%s%s", error.field, *error.field ? ": " : "",
                  error.text);
      return;
    }
  take_order (rollouts, cat, &order, reply);
  seam_rollout_clear (&order);
}

void
rollapi_order_committed (const Rollouts *rollouts, RollApiReply *reply)
{
  const MsgRollout *known = rollouts_find (rollouts, reply->service);

  reply->status = 200;
  if (known == NULL || strcmp (known->target, reply->target) != 0)
    fail (reply, 409, "target", "another version is being moved to");
}

/* ---- Questions ---- */

static SeamRolloutState
state_of (const MsgRollout *rollout)
{
  if (roll_is_active (rollout))
    return SEAM_ROLLOUT_ACTIVE;
  return rollout->phase == MSG_ROLLOUT_COMPLETED ? SEAM_ROLLOUT_COMPLETED
                                                 : SEAM_ROLLOUT_ROLLED_BACK;
}

static void
show (const Seam *seam, const Rollouts *rollouts, bool own, const char *service,
      RollApiReply *reply)
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
    rollouts_append_json (rollout, reply->body);
  else
    seam->write_rollout (reply->body, state_of (rollout), rollout->target);
}

static void
stop (Rollouts *rollouts, const char *service, RollApiReply *reply)
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
rollapi_handle (const Seam *seam, Rollouts *rollouts, const RtCat *cat, RollApiCall kind,
                const HMsg *msg, const GByteArray *body, RollApiReply *reply)
{
  const char *target = hmsg_target (msg);
  char *service = NULL;

  *reply = (RollApiReply){ .field = "" };
  if (kind == ROLLAPI_START || kind == ROLLAPI_OWN_START)
    {
      start (seam, rollouts, cat, kind == ROLLAPI_OWN_START, body, reply);
      return;
    }
  service = kind == ROLLAPI_STATE ? seam->rollout_service (target) : own_service (target);
  if (service == NULL)
    fail (reply, 400, "service", "its name cannot be read");
  else if (kind == ROLLAPI_OWN_ABORT)
    stop (rollouts, service, reply);
  else
    show (seam, rollouts, kind == ROLLAPI_OWN_STATE, service, reply);
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
