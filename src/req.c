/* req.c - the life of one request and the order of its answer's pieces.
 *
 * received -> asked -> granted -> dispatched -> streaming -> answered
 *                 \         \          \            \-> unknown
 *                  \-> refused ("not run")  \-> unknown
 *
 * The dispatched state is entered before the first byte goes to a backend server and has no way
 * back, so a request is dispatched at most once and a refusal that says "not run" is true: the
 * only edge into refused leaves from states in which no byte was sent. Pieces of the answer carry
 * their number; a piece seen before is dropped, one ahead of its turn is kept until the gap
 * closes, so that a resumed stream may overlap what had arrived.
 */
#include "foxtail.h"

#include <string.h>

#define ANSWER_BYTES_MOST (16u << 20) /* larger than any answer an engine's context allows */
#define AHEAD_MOST        4096        /* pieces kept ahead of their turn */

struct FtReq
{
  gint refs;
  char *id;
  FtReqState state;
  bool dispatched;
  FtReqTrace trace;
  void *user;
  GString *bytes;
  unsigned next;   /* number of the next piece in order */
  unsigned pieces; /* pieces in all, once known */
  bool ended;
  GHashTable *ahead; /* piece number -> GBytes */
};

static const char *const state_names[] = {
  "received", "asked", "granted", "dispatched", "streaming", "answered", "refused", "unknown",
};

static bool
step_exists (FtReqState from, FtReqState to)
{
  static const unsigned char steps[][FT_REQ_UNKNOWN + 1] = {
    [FT_REQ_RECEIVED] = { [FT_REQ_SUBMITTED] = 1, [FT_REQ_REFUSED] = 1 },
    [FT_REQ_SUBMITTED] = { [FT_REQ_GRANTED] = 1, [FT_REQ_REFUSED] = 1 },
    [FT_REQ_GRANTED] = { [FT_REQ_DISPATCHED] = 1, [FT_REQ_REFUSED] = 1 },
    [FT_REQ_DISPATCHED] = { [FT_REQ_STREAMING] = 1, [FT_REQ_ANSWERED] = 1, [FT_REQ_UNKNOWN] = 1 },
    [FT_REQ_STREAMING] = { [FT_REQ_ANSWERED] = 1, [FT_REQ_UNKNOWN] = 1 },
    [FT_REQ_UNKNOWN] = { 0 },
  };

  return from < FT_REQ_UNKNOWN && to <= FT_REQ_UNKNOWN && steps[from][to];
}

FtReq *
ft_req_new (const char *id, FtReqTrace trace, void *user)
{
  FtReq *req = g_new0 (FtReq, 1);

  req->refs = 1;
  req->id = g_strdup (id);
  req->trace = trace;
  req->user = user;
  req->bytes = g_string_new (NULL);
  req->ahead
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, (GDestroyNotify) g_bytes_unref);
  return req;
}

FtReq *
ft_req_ref (FtReq *req)
{
  g_atomic_int_inc (&req->refs);
  return req;
}

void
ft_req_unref (FtReq *req)
{
  if (req == NULL || !g_atomic_int_dec_and_test (&req->refs))
    return;
  g_hash_table_unref (req->ahead);
  g_string_free (req->bytes, TRUE);
  g_free (req->id);
  g_free (req);
}

const char *
ft_req_id (const FtReq *req)
{
  return req->id;
}

FtReqState
ft_req_state (const FtReq *req)
{
  return req->state;
}

const char *
ft_req_state_name (FtReqState state)
{
  return state <= FT_REQ_UNKNOWN ? state_names[state] : "invalid";
}

static void
enter (FtReq *req, FtReqState to)
{
  FtReqState from = req->state;

  req->state = to;
  if (to == FT_REQ_DISPATCHED)
    req->dispatched = true;
  if (req->trace)
    req->trace (req->user, req, from, to);
}

FtStatus
ft_req_set_state (FtReq *req, FtReqState to)
{
  if (!step_exists (req->state, to))
    return FT_INVALID;
  enter (req, to);
  return FT_OK;
}

FtStatus
ft_req_undo_grant (FtReq *req)
{
  if (req->state != FT_REQ_GRANTED)
    return FT_INVALID;
  enter (req, FT_REQ_SUBMITTED);
  return FT_OK;
}

bool
ft_req_was_dispatched (const FtReq *req)
{
  return req->dispatched;
}

static void
take_ahead (FtReq *req)
{
  GBytes *piece;

  while ((piece = g_hash_table_lookup (req->ahead, GUINT_TO_POINTER (req->next))) != NULL)
    {
      gsize length;
      const char *data = g_bytes_get_data (piece, &length);
      g_string_append_len (req->bytes, data, (gssize) length);
      g_hash_table_remove (req->ahead, GUINT_TO_POINTER (req->next));
      req->next++;
    }
}

FtStatus
ft_req_add_piece (FtReq *req, unsigned offset, const char *data, size_t length)
{
  if (offset < req->next || g_hash_table_contains (req->ahead, GUINT_TO_POINTER (offset)))
    return FT_CONFLICT;
  if (req->bytes->len + length > ANSWER_BYTES_MOST || g_hash_table_size (req->ahead) >= AHEAD_MOST)
    return FT_FULL;
  if (offset > req->next)
    {
      g_hash_table_insert (req->ahead, GUINT_TO_POINTER (offset), g_bytes_new (data, length));
      return FT_OK;
    }
  g_string_append_len (req->bytes, data, (gssize) length);
  req->next++;
  take_ahead (req);
  return FT_OK;
}

unsigned
ft_req_next_piece (const FtReq *req)
{
  return req->next;
}

const char *
ft_req_bytes (const FtReq *req, size_t *length)
{
  *length = req->bytes->len;
  return req->bytes->str;
}

void
ft_req_set_piece_count (FtReq *req, unsigned pieces)
{
  req->ended = true;
  req->pieces = pieces;
}

bool
ft_req_is_complete (const FtReq *req)
{
  return req->ended && req->next == req->pieces;
}
