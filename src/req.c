/* req.c - state machine of a request and reassembly of its answer.
 *
 * received -> asked -> granted -> dispatched -> streaming -> answered
 *                 \         \          \            \-> unknown
 *                  \-> refused ("not run")  \-> unknown
 *
 * The dispatched state is entered before the first byte is sent to a backend server, and no
 * transition leads back. So a request is dispatched at most once, and a refusal that says "not run"
 * is true: the refused state is entered only from states in which no byte was sent.
 *
 * Pieces of the answer are numbered. A duplicate is dropped and a piece that arrives early is
 * buffered until the gap closes, so a resumed stream may overlap what had already arrived.
 */
#include "foxtail.h"

#include <string.h>

#define ANSWER_BYTES_MAX (16u << 20) /* larger than any answer an engine's context allows */
#define EARLY_PIECES_MAX 4096        /* buffered pieces after a gap ... */
#define EARLY_BYTES_MAX  (1u << 20)  /* ... and bytes of them */

struct FtReq
{
  gint refs;
  char *id;
  FtReqState state;
  bool dispatched;
  FtReqTrace trace;
  void *user;
  GString *bytes;
  unsigned next;   /* number of the first missing piece */
  unsigned pieces; /* total number of pieces, once ended is set */
  bool ended;
  GHashTable *early;  /* piece number -> GBytes, pieces after a gap */
  size_t early_bytes; /* of all of them */
};

static const char *const state_names[] = {
  "received", "asked", "granted", "dispatched", "streaming", "answered", "refused", "unknown",
};

static bool
is_transition (FtReqState from, FtReqState to)
{
  static const unsigned char transitions[][FT_REQ_UNKNOWN + 1] = {
    [FT_REQ_RECEIVED] = { [FT_REQ_SUBMITTED] = 1, [FT_REQ_REFUSED] = 1 },
    [FT_REQ_SUBMITTED] = { [FT_REQ_GRANTED] = 1, [FT_REQ_REFUSED] = 1 },
    [FT_REQ_GRANTED] = { [FT_REQ_DISPATCHED] = 1, [FT_REQ_REFUSED] = 1 },
    [FT_REQ_DISPATCHED] = { [FT_REQ_STREAMING] = 1, [FT_REQ_ANSWERED] = 1, [FT_REQ_UNKNOWN] = 1 },
    [FT_REQ_STREAMING] = { [FT_REQ_ANSWERED] = 1, [FT_REQ_UNKNOWN] = 1 },
    [FT_REQ_UNKNOWN] = { 0 },
  };

  return from < FT_REQ_UNKNOWN && to <= FT_REQ_UNKNOWN && transitions[from][to];
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
  req->early
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
  g_hash_table_unref (req->early);
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
change_state (FtReq *req, FtReqState to)
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
  if (!is_transition (req->state, to))
    return FT_INVALID;
  change_state (req, to);
  return FT_OK;
}

FtStatus
ft_req_undo_grant (FtReq *req)
{
  if (req->state != FT_REQ_GRANTED)
    return FT_INVALID;
  change_state (req, FT_REQ_SUBMITTED);
  return FT_OK;
}

bool
ft_req_was_dispatched (const FtReq *req)
{
  return req->dispatched;
}

static void
append_early (FtReq *req)
{
  GBytes *piece;

  while ((piece = g_hash_table_lookup (req->early, GUINT_TO_POINTER (req->next))) != NULL)
    {
      gsize length;
      const char *data = g_bytes_get_data (piece, &length);
      g_string_append_len (req->bytes, data, (gssize) length);
      req->early_bytes -= length;
      g_hash_table_remove (req->early, GUINT_TO_POINTER (req->next));
      req->next++;
    }
}

FtStatus
ft_req_add_piece (FtReq *req, unsigned offset, const char *data, size_t length)
{
  if (offset < req->next || g_hash_table_contains (req->early, GUINT_TO_POINTER (offset)))
    return FT_CONFLICT;
  if (req->bytes->len + req->early_bytes + length > ANSWER_BYTES_MAX)
    return FT_FULL;
  if (offset > req->next)
    {
      if (g_hash_table_size (req->early) >= EARLY_PIECES_MAX
          || req->early_bytes + length > EARLY_BYTES_MAX)
        return FT_STALE;
      g_hash_table_insert (req->early, GUINT_TO_POINTER (offset), g_bytes_new (data, length));
      req->early_bytes += length;
      return FT_OK;
    }
  g_string_append_len (req->bytes, data, (gssize) length);
  req->next++;
  append_early (req);
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

/* GLib rounds the size of a string up to a power of two. */
size_t
ft_grown_size (const GString *string, size_t more)
{
  size_t size = string->allocated_len;

  while (size <= string->len + more)
    size *= 2;
  return size;
}

size_t
ft_req_memory (const FtReq *req, size_t more)
{
  return ft_grown_size (req->bytes, more) + req->early_bytes + more;
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
