/* operators.c - the HTTP API for operators.
 *
 * A change is checked, proposed to the log and acknowledged once it is committed. Reads return the
 * newest committed state. Both need the voter in charge; another voter redirects the operator to
 * it.
 *
 * A catalogue whose version is not above the newest one changes nothing but is acknowledged, as it
 * or a newer one is already in force. So a change that is sent again, to any voter, is never
 * refused.
 */
#include "operators.h"
#include "content.h"
#include "jlog.h"
#include "rollapi.h"
#include "compress.h"

#include <string.h>

#define CHANGE_TIMEOUT (2500 * FT_MS) /* operators retry at another voter after a second */

#define SUSPECTS_PATH                                                                              \
  "/v1/suspects" /* GET lists all; DELETE of SUSPECTS_PATH/CONTENT releases one */

typedef struct
{
  uint64_t ticket;
  uint64_t version;     /* of a catalogue; 0: not a catalogue */
  RollApiReply rollout; /* service is NULL: not a roll-out */
  HCall *call;
  int64_t deadline;
} Change;

struct Operators
{
  Loop *loop;
  const AdapterOps *adapter_ops;
  Voter *voter;
  Suspects *suspects;
  Rollouts *rollouts;
  const RtCat *cat; /* in force; NULL: none */
  SockAddr address;
  HSrv *srv;
  GArray *changes; /* Change */
  VoterStatus status;
  bool leaving;
};

static void
reply_text (HCall *call, unsigned status, GString *fields, const char *text, size_t size)
{
  hwrite_field (fields, "Content-Type", "application/json");
  hcall_reply (call, status, fields, text, size);
  g_string_free (fields, TRUE);
}

static void
reply_error (HCall *call, unsigned status, const char *field, const char *why)
{
  char *safe_field = g_strescape (field, NULL), *safe_why = g_strescape (why, NULL);
  char *body
      = g_strdup_printf ("{\"error\":\"%s%s%s\"}\n", safe_field, *field ? ": " : "", safe_why);

  reply_text (call, status, g_string_new (NULL), body, strlen (body));
  g_free (body);
  g_free (safe_field);
  g_free (safe_why);
}

/* Redirects the operator to the voter in charge, or answers 503 if none is known. */
static void
redirect_to_leader (Operators *operators, HCall *call)
{
  GString *fields;
  SockAddr to = { operators->status.leader, operators->address.port };

  if (operators->status.leader == 0 || operators->status.leader == operators->address.ip)
    {
      reply_error (call, 503, "", "no voter is known to be in charge");
      return;
    }
  fields = g_string_new (NULL);
  operators->adapter_ops->write_redirect (fields, to, hmsg_target (hcall_msg (call)));
  reply_text (call, 307, fields, "{}\n", 3);
}

static bool
in_charge (Operators *operators)
{
  voter_status (operators->voter, &operators->status);
  return operators->status.proved && !operators->leaving;
}

/* The number under which this version is logged; 0: it is not above the newest one. */
static uint64_t
number_after_newest (const Operators *operators, uint64_t version)
{
  FtError error;
  uint64_t newest_number;
  RtCat *newest = voter_catalogue (operators->voter, &newest_number, &error);
  uint64_t newest_version = newest ? rt_cat_version (newest) : newest_number;
  uint64_t number = rt_number_after (newest_version, newest_number, version);

  rt_cat_unref (newest);
  if (number == 0)
    jlog (JLOG_INFO, "change-known", NULL, JL_UINT ("version", version),
          JL_UINT ("newest", newest_version));
  else if (number != version)
    jlog (JLOG_INFO, "change-number", NULL, JL_UINT ("version", version),
          JL_UINT ("number", number), JL_UINT ("newest", newest_version),
          JL_UINT ("newest_number", newest_number));
  return number;
}

static void
put_catalogue (Operators *operators, HCall *call)
{
  const GByteArray *body = hcall_body (call);
  FtError error = { 0 };
  RtCat *cat = NULL;
  Change change = { 0 };
  uint64_t number;

  if (operators->adapter_ops->read_catalogue ((const char *) body->data, body->len, 0, &cat, &error)
      != FT_OK)
    {
      jlog (JLOG_WARN, "change-invalid", NULL, JL_TEXT ("field", error.field),
            JL_TEXT ("why", error.text), JL_INT ("bytes", body->len));
      reply_error (call, 400, error.field, error.text);
      return;
    }
  change.version = rt_cat_version (cat);
  rt_cat_unref (cat);
  if (!in_charge (operators))
    {
      redirect_to_leader (operators, call);
      return;
    }
  number = number_after_newest (operators, change.version);
  if (number == 0)
    {
      reply_text (call, 200, g_string_new (NULL), "{}\n", 3);
      return;
    }
  if (number == G_MAXUINT64)
    {
      reply_error (call, 400, "Version", "is too high");
      return;
    }
  change.call = call;
  change.deadline = loop_now (operators->loop) + CHANGE_TIMEOUT;
  GBytes *packed = compress_pack (body->data, body->len);
  if (packed == NULL)
    {
      reply_error (call, 503, "", "not enough memory for the change");
      return;
    }
  change.ticket = voter_propose (operators->voter, number, packed);
  g_bytes_unref (packed);
  if (change.ticket)
    g_array_append_val (operators->changes, change);
  else
    {
      jlog (JLOG_WARN, "change-refused", NULL, JL_UINT ("version", change.version),
            JL_TEXT ("why", "too many bytes wait for the disk"));
      reply_error (call, 503, "", "too many changes wait for the disk");
    }
}

static void
get_catalogue (Operators *operators, HCall *call)
{
  uint64_t number;

  if (!in_charge (operators))
    {
      redirect_to_leader (operators, call);
      return;
    }
  GBytes *document = voter_document (operators->voter, &number);
  if (document == NULL)
    {
      reply_error (call, 503, "", "no catalogue has been accepted yet");
      return;
    }
  gsize size;
  const void *packed = g_bytes_get_data (document, &size);
  GBytes *text = compress_unpack (packed, size);
  if (text)
    reply_text (call, 200, g_string_new (NULL), g_bytes_get_data (text, NULL),
                g_bytes_get_size (text));
  else
    reply_error (call, 503, "", "the catalogue cannot be unpacked");
  if (text)
    g_bytes_unref (text);
  g_bytes_unref (document);
}

/* ---- Contents suspected of crashing servers: calls in addition to the platform's ---- */

static void
list_suspects (Operators *operators, HCall *call)
{
  char *text = suspects_list (operators->suspects);

  reply_text (call, 200, g_string_new (NULL), text, strlen (text));
  g_free (text);
}

static void
release_suspect (Operators *operators, HCall *call, const char *text)
{
  Change change = { .call = call, .deadline = loop_now (operators->loop) + CHANGE_TIMEOUT };
  uint64_t content;

  if (!content_parse (text, &content))
    {
      reply_error (call, 400, "content", "must be 16 hexadecimal digits");
      return;
    }
  change.ticket = suspects_release (operators->suspects, content);
  if (change.ticket == 0)
    reply_error (call, 404, "content", "is not a suspect");
  else
    g_array_append_val (operators->changes, change);
}

/* Handles a call on suspects; false: it is another call. */
static bool
handle_suspects_call (Operators *operators, HCall *call)
{
  const char *method = hmsg_method (hcall_msg (call)), *target = hmsg_target (hcall_msg (call));
  bool lists = strcmp (method, "GET") == 0 && strcmp (target, SUSPECTS_PATH) == 0;
  bool releases = strcmp (method, "DELETE") == 0 && g_str_has_prefix (target, SUSPECTS_PATH "/");

  if (!lists && !releases)
    return false;
  if (!in_charge (operators))
    redirect_to_leader (operators, call);
  else if (lists)
    list_suspects (operators, call);
  else
    release_suspect (operators, call, target + strlen (SUSPECTS_PATH "/"));
  return true;
}

/* ---- Roll-outs ---- */

static void
reply_rollout (HCall *call, RollApiReply *reply)
{
  const char *text = reply->body ? reply->body->str : "{}\n";

  if (reply->status == 200)
    reply_text (call, 200, g_string_new (NULL), text, strlen (text));
  else
    reply_error (call, reply->status, reply->field, reply->why);
  rollapi_reply_clear (reply);
}

/* Handles a call on roll-outs; false: it is another call. */
static bool
handle_rollout_call (Operators *operators, HCall *call)
{
  const HMsg *msg = hcall_msg (call);
  RollApiCall kind
      = rollapi_classify (operators->adapter_ops, hmsg_method (msg), hmsg_target (msg));
  Change change = { .call = call, .deadline = loop_now (operators->loop) + CHANGE_TIMEOUT };

  if (kind == ROLLAPI_NONE)
    return false;
  if (!in_charge (operators))
    {
      redirect_to_leader (operators, call);
      return true;
    }
  rollapi_handle (operators->adapter_ops, operators->rollouts, operators->cat, kind, msg,
                  hcall_body (call), &change.rollout);
  change.ticket = change.rollout.ticket;
  if (change.rollout.status)
    reply_rollout (call, &change.rollout);
  else
    g_array_append_val (operators->changes, change);
  return true;
}

static void
on_call (void *owner, HCall *call)
{
  Operators *operators = owner;
  const HMsg *msg = hcall_msg (call);

  if (handle_suspects_call (operators, call) || handle_rollout_call (operators, call))
    return;
  switch (operators->adapter_ops->call (hmsg_method (msg), hmsg_target (msg)))
    {
    case ADAPTER_CALL_PUT:
      put_catalogue (operators, call);
      break;
    case ADAPTER_CALL_GET:
      get_catalogue (operators, call);
      break;
    case ADAPTER_CALL_READY:
      hcall_reply (call, operators->leaving ? 503 : 200, NULL, "", 0);
      break;
    default:
      reply_error (call, 404, "", "no such call");
      break;
    }
}

static void
remove_change (Operators *operators, unsigned index)
{
  g_array_remove_index_fast (operators->changes, index);
}

static void
on_caller_gone (void *owner, HCall *call)
{
  Operators *operators = owner;

  for (unsigned i = 0; i < operators->changes->len; i++)
    if (g_array_index (operators->changes, Change, i).call == call)
      {
        rollapi_reply_clear (&g_array_index (operators->changes, Change, i).rollout);
        remove_change (operators, i);
        return;
      }
}

static const HSrvOps operator_ops = { on_call, on_caller_gone, NULL };

void
operators_on_verdict (Operators *operators, uint64_t ticket, FtStatus status)
{
  for (unsigned i = 0; i < operators->changes->len; i++)
    {
      Change change = g_array_index (operators->changes, Change, i);
      if (change.ticket != ticket)
        continue;
      remove_change (operators, i);
      if (change.version)
        jlog (JLOG_INFO, "change", NULL, JL_UINT ("version", change.version),
              JL_TEXT ("verdict", status == FT_OK ? "committed" : ft_strerror (status)),
              JL_INT ("term", operators->status.term));
      if (status == FT_OK && change.rollout.service)
        {
          rollapi_order_committed (operators->rollouts, &change.rollout);
          reply_rollout (change.call, &change.rollout);
          return;
        }
      rollapi_reply_clear (&change.rollout);
      if (status == FT_OK)
        reply_text (change.call, 200, g_string_new (NULL), "{}\n", 3);
      else
        reply_error (change.call, 503, "", "it is not known whether the change was accepted");
      return;
    }
}

void
operators_tick (Operators *operators)
{
  int64_t now = loop_now (operators->loop);

  for (unsigned i = operators->changes->len; i-- > 0;)
    {
      Change change = g_array_index (operators->changes, Change, i);
      if (now < change.deadline)
        continue;
      rollapi_reply_clear (&change.rollout);
      remove_change (operators, i);
      reply_error (change.call, 503, "", "it is not known whether the change was accepted");
    }
}

/* ---- Interface ---- */

Operators *
operators_new (const OperatorsConf *conf)
{
  Operators *operators = g_new0 (Operators, 1);
  HSrvLimits limits = { 65536, FT_TEXT_MAX, 10 * FT_SECOND, 30 * FT_SECOND, 0, 0 };

  operators->loop = conf->loop;
  operators->adapter_ops = conf->adapter_ops;
  operators->voter = conf->voter;
  operators->suspects = conf->suspects;
  operators->rollouts = conf->rollouts;
  operators->address = conf->address;
  operators->changes = g_array_new (FALSE, FALSE, sizeof (Change));
  operators->srv = hsrv_new (conf->loop, conf->address, &operator_ops, operators);
  if (operators->srv == NULL)
    {
      g_array_unref (operators->changes);
      g_free (operators);
      return NULL;
    }
  hsrv_set_limits (operators->srv, &limits);
  return operators;
}

void
operators_free (Operators *operators)
{
  if (operators == NULL)
    return;
  hsrv_free (operators->srv);
  for (unsigned i = 0; i < operators->changes->len; i++)
    rollapi_reply_clear (&g_array_index (operators->changes, Change, i).rollout);
  g_array_unref (operators->changes);
  g_free (operators);
}

void
operators_set_catalogue (Operators *operators, const RtCat *cat)
{
  operators->cat = cat;
}

void
operators_start_leaving (Operators *operators)
{
  operators->leaving = true;
}

unsigned
operators_open_count (const Operators *operators)
{
  return operators->changes->len;
}
