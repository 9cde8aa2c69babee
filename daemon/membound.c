/* membound.c - a dynamic threshold, as switches use it for buffers that their ports share
 * (Choudhury and Hahne, Dynamic queue length thresholds for shared-memory packet switches, 1998).
 */
#include "membound.h"

#include <pthread.h>

struct MemBound
{
  pthread_mutex_t lock;
  size_t total, used;
};

MemBound *
membound_new (size_t bytes)
{
  MemBound *bound = g_new0 (MemBound, 1);

  pthread_mutex_init (&bound->lock, NULL);
  bound->total = bytes;
  return bound;
}

void
membound_free (MemBound *bound)
{
  if (bound == NULL)
    return;
  pthread_mutex_destroy (&bound->lock);
  g_free (bound);
}

bool
membound_resize (MemBound *bound, size_t *held, size_t wanted)
{
  pthread_mutex_lock (&bound->lock);
  size_t others = bound->used - *held;
  bool granted = wanted <= *held
                 || (others <= bound->total && wanted <= bound->total - others
                     && wanted <= bound->total - others - wanted);
  if (granted)
    {
      bound->used = others + wanted;
      *held = wanted;
    }
  pthread_mutex_unlock (&bound->lock);
  return granted;
}

size_t
membound_used (MemBound *bound)
{
  pthread_mutex_lock (&bound->lock);
  size_t used = bound->used;
  pthread_mutex_unlock (&bound->lock);
  return used;
}
