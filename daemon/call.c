/* call.c - callers' requests and the table that finds them by id. */
#include "call.h"

#include <string.h>

Call *
call_new (const char *id)
{
  Call *call = g_new0 (Call, 1);

  call->refs = 1;
  pthread_mutex_init (&call->lock, NULL);
  pthread_cond_init (&call->cond, NULL);
  call->id = g_strdup (id);
  call->content = g_string_new (NULL);
  return call;
}

Call *
call_ref (Call *call)
{
  g_atomic_int_inc (&call->refs);
  return call;
}

void
call_unref (Call *call)
{
  if (call == NULL || !g_atomic_int_dec_and_test (&call->refs))
    return;
  ft_req_unref (call->req);
  g_string_free (call->content, TRUE);
  g_free (call->id);
  g_free (call->pool);
  g_free (call->org);
  g_free (call->class_name);
  g_free (call->method);
  g_free (call->path);
  g_free (call->content_type);
  g_free (call->body);
  g_free (call->claim_key);
  g_free (call->answer_content_type);
  pthread_cond_destroy (&call->cond);
  pthread_mutex_destroy (&call->lock);
  g_free (call);
}

CallDecision
call_wait_decision (Call *call)
{
  pthread_mutex_lock (&call->lock);
  while (call->decision == CALL_PENDING)
    pthread_cond_wait (&call->cond, &call->lock);
  CallDecision decision = call->decision;
  pthread_mutex_unlock (&call->lock);
  return decision;
}

size_t
call_memory_size (Call *call)
{
  size_t size;

  ft_req_bytes (call->req, &size);
  return sizeof *call + size + call->content->len + call->body_size;
}

struct CallTable
{
  pthread_mutex_t lock;
  GHashTable *by_id;
  GQueue finished; /* Call, oldest first */
  int64_t keep, bytes_max, bytes;
  unsigned running;
};

CallTable *
calls_new (int64_t keep, int64_t bytes)
{
  CallTable *calls = g_new0 (CallTable, 1);

  pthread_mutex_init (&calls->lock, NULL);
  calls->by_id = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, (GDestroyNotify) call_unref);
  g_queue_init (&calls->finished);
  calls->keep = keep;
  calls->bytes_max = bytes;
  return calls;
}

void
calls_free (CallTable *calls)
{
  g_hash_table_unref (calls->by_id);
  g_queue_clear (&calls->finished);
  pthread_mutex_destroy (&calls->lock);
  g_free (calls);
}

FtStatus
calls_add (CallTable *calls, Call *call)
{
  FtStatus status = FT_CONFLICT;

  pthread_mutex_lock (&calls->lock);
  if (!g_hash_table_contains (calls->by_id, call->id))
    {
      g_hash_table_insert (calls->by_id, call->id, call_ref (call));
      calls->running++;
      status = FT_OK;
    }
  pthread_mutex_unlock (&calls->lock);
  return status;
}

Call *
calls_find (CallTable *calls, const char *id)
{
  pthread_mutex_lock (&calls->lock);
  Call *call = g_hash_table_lookup (calls->by_id, id);
  if (call)
    call_ref (call);
  pthread_mutex_unlock (&calls->lock);
  return call;
}

static void
drop_expired (CallTable *calls, int64_t now)
{
  Call *oldest;

  while ((oldest = g_queue_peek_head (&calls->finished)) != NULL
         && (calls->bytes > calls->bytes_max || now - oldest->finished_at > calls->keep))
    {
      g_queue_pop_head (&calls->finished);
      calls->bytes -= (int64_t) call_memory_size (oldest);
      g_hash_table_remove (calls->by_id, oldest->id);
    }
}

void
calls_finish (CallTable *calls, Call *call, int64_t now)
{
  pthread_mutex_lock (&calls->lock);
  calls->running--;
  call->finished_at = now;
  /* The request's body is not needed any more, only its answer. */
  g_clear_pointer (&call->body, g_free);
  call->body_size = 0;
  calls->bytes += (int64_t) call_memory_size (call);
  g_queue_push_tail (&calls->finished, call);
  drop_expired (calls, now);
  pthread_mutex_unlock (&calls->lock);
}

void
calls_remove (CallTable *calls, Call *call)
{
  pthread_mutex_lock (&calls->lock);
  calls->running--;
  g_hash_table_remove (calls->by_id, call->id);
  pthread_mutex_unlock (&calls->lock);
}

unsigned
calls_running (CallTable *calls)
{
  pthread_mutex_lock (&calls->lock);
  unsigned running = calls->running;
  pthread_mutex_unlock (&calls->lock);
  return running;
}

GPtrArray *
calls_unfinished (CallTable *calls)
{
  GPtrArray *all = g_ptr_array_new_with_free_func ((GDestroyNotify) call_unref);
  GHashTableIter iter;
  void *call;

  pthread_mutex_lock (&calls->lock);
  g_hash_table_iter_init (&iter, calls->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &call))
    if (((Call *) call)->finished_at == 0)
      g_ptr_array_add (all, call_ref (call));
  pthread_mutex_unlock (&calls->lock);
  return all;
}
