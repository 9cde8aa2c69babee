/* loop.c - event loop on epoll, with a pairing heap of timers and a queue of posted calls.
 *
 * All steps of a request run in one thread: an instance has a fraction of a core, where a thread
 * switch costs more than most of these steps. Other threads, such as the voter's and that of the
 * operators' server, pass calls to the loop with loop_post.
 */
#include "loop.h"

#include <errno.h>
#include <sys/eventfd.h>
#include <time.h>
#include <unistd.h>

#define EVENTS_MAX         128 /* events handled per iteration; bounds the delay of timers */
#define POSTED_MAX         32  /* posted calls run per iteration, for the same reason */
#define LOAD_WINDOW        (100 * FT_MS) /* time constant of the average load */
#define LOAD_ITERATION_MAX (300 * FT_MS) /* for which one iteration counts at most */

typedef struct
{
  LoopFunc fn;
  void *data;
} Call;

struct Loop
{
  FtClock clock;
  int epoll;
  LoopFd wakeup;
  FtHeap timers;
  int64_t now, previous; /* start of this iteration, and of the one before */
  bool stopped;
  bool firing; /* the due timers are being fired */
  struct epoll_event events[EVENTS_MAX];
  int event_count;
  GPtrArray *deferred_frees;
  GArray *before_wait;              /* Call */
  LoopIterationFunc iteration_func; /* NULL: iterations are not timed */
  void *iteration_data;
  LoopIteration iteration;
  int64_t work_start; /* start of the current piece of work */
  int64_t wait_start; /* when the loop last began to wait */
  double load;
  pthread_mutex_t lock;
  GArray *posted; /* Call, oldest first; protected by lock */
};

static int64_t
read_clock (void)
{
  struct timespec at;

  clock_gettime (CLOCK_BOOTTIME, &at);
  return (int64_t) at.tv_sec * FT_SECOND + at.tv_nsec / 1000;
}

static int64_t
clock_now (FtClock *clock)
{
  return ((Loop *) clock)->now;
}

static const FtClockOps clock_ops = { clock_now };

static void
run_calls (GArray *calls)
{
  for (unsigned i = 0; i < calls->len; i++)
    {
      Call call = g_array_index (calls, Call, i);
      call.fn (call.data);
    }
}

static void
wakeup (const Loop *loop)
{
  uint64_t one = 1;

  if (write (loop->wakeup.fd, &one, sizeof one) < 0)
    return; /* the counter is full, so a wake-up is already pending */
}

/* Runs at most POSTED_MAX posted calls per iteration and wakes the loop again for the rest, which
 * keep their order. Otherwise, if the voter's log thread commits a hundred changes while the loop
 * waits for a CPU, timers, requests and grants are delayed until all of the posted calls have
 * run. */
static void
on_wakeup (LoopFd *fd, uint32_t bits)
{
  Loop *loop = (Loop *) ((char *) fd - offsetof (Loop, wakeup));
  uint64_t count;

  (void) bits;
  if (read (fd->fd, &count, sizeof count) < 0 && errno != EAGAIN)
    return;
  GArray *calls = g_array_new (FALSE, FALSE, sizeof (Call));
  pthread_mutex_lock (&loop->lock);
  unsigned taken = MIN (loop->posted->len, POSTED_MAX);
  g_array_append_vals (calls, loop->posted->data, taken);
  g_array_remove_range (loop->posted, 0, taken);
  bool more = loop->posted->len > 0;
  pthread_mutex_unlock (&loop->lock);
  if (more)
    wakeup (loop);
  run_calls (calls);
  g_array_unref (calls);
}

Loop *
loop_new (void)
{
  Loop *loop = g_new0 (Loop, 1);

  loop->clock.ops = &clock_ops;
  loop->now = loop->previous = read_clock ();
  loop->deferred_frees = g_ptr_array_new_with_free_func (g_free);
  loop->before_wait = g_array_new (FALSE, FALSE, sizeof (Call));
  loop->posted = g_array_new (FALSE, FALSE, sizeof (Call));
  pthread_mutex_init (&loop->lock, NULL);
  loop->epoll = epoll_create1 (EPOLL_CLOEXEC);
  loop->wakeup = (LoopFd){ .fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC), .ready = on_wakeup };
  if (loop->epoll < 0 || loop->wakeup.fd < 0 || !loop_add (loop, &loop->wakeup, EPOLLIN))
    {
      loop_free (loop);
      return NULL;
    }
  return loop;
}

void
loop_free (Loop *loop)
{
  if (loop == NULL)
    return;
  if (loop->epoll >= 0)
    close (loop->epoll);
  if (loop->wakeup.fd >= 0)
    close (loop->wakeup.fd);
  g_ptr_array_unref (loop->deferred_frees);
  g_array_unref (loop->before_wait);
  g_array_unref (loop->posted);
  pthread_mutex_destroy (&loop->lock);
  g_free (loop);
}

FtClock *
loop_clock (Loop *loop)
{
  return &loop->clock;
}

int64_t
loop_now (Loop *loop)
{
  return loop->now;
}

int64_t
loop_read_clock (Loop *loop)
{
  (void) loop;
  return read_clock ();
}

int64_t
loop_previous (const Loop *loop)
{
  return loop->previous;
}

double
loop_load (const Loop *loop)
{
  return loop->load;
}

bool
loop_add (Loop *loop, LoopFd *fd, uint32_t events)
{
  struct epoll_event event = { .events = events, .data.ptr = fd };

  fd->events = events;
  return epoll_ctl (loop->epoll, EPOLL_CTL_ADD, fd->fd, &event) == 0;
}

void
loop_change (Loop *loop, LoopFd *fd, uint32_t events)
{
  struct epoll_event event = { .events = events, .data.ptr = fd };

  if (fd->events == events)
    return;
  fd->events = events;
  epoll_ctl (loop->epoll, EPOLL_CTL_MOD, fd->fd, &event);
}

void
loop_remove (Loop *loop, LoopFd *fd)
{
  epoll_ctl (loop->epoll, EPOLL_CTL_DEL, fd->fd, NULL);
  for (int i = 0; i < loop->event_count; i++)
    if (loop->events[i].data.ptr == fd)
      loop->events[i].data.ptr = NULL;
}

void
loop_timer_set (Loop *loop, LoopTimer *timer, int64_t at)
{
  loop_timer_stop (loop, timer);
  timer->armed = true;
  /* What becomes due while timers fire waits for the next iteration, so that timers that arm each
   * other cannot keep the loop from its descriptors and its clock. */
  if (loop->firing)
    at = MAX (at, loop->now + 1);
  ft_heap_push (&loop->timers, &timer->node, (double) at);
}

void
loop_timer_stop (Loop *loop, LoopTimer *timer)
{
  if (timer->armed)
    ft_heap_remove (&loop->timers, &timer->node);
  timer->armed = false;
}

void
loop_post (Loop *loop, LoopFunc fn, void *data)
{
  Call call = { fn, data };

  pthread_mutex_lock (&loop->lock);
  g_array_append_val (loop->posted, call);
  pthread_mutex_unlock (&loop->lock);
  wakeup (loop);
}

void
loop_withdraw (Loop *loop, LoopFunc fn, bool (*discard) (void *data, const void *owner),
               const void *owner)
{
  pthread_mutex_lock (&loop->lock);
  for (unsigned i = loop->posted->len; i-- > 0;)
    {
      const Call *call = &g_array_index (loop->posted, Call, i);
      if (call->fn == fn && discard (call->data, owner))
        g_array_remove_index (loop->posted, i);
    }
  pthread_mutex_unlock (&loop->lock);
}

void
loop_free_later (Loop *loop, void *memory)
{
  g_ptr_array_add (loop->deferred_frees, memory);
}

void
loop_add_before_wait (Loop *loop, LoopFunc fn, void *data)
{
  Call call = { fn, data };

  g_array_append_val (loop->before_wait, call);
}

void
loop_set_iteration_callback (Loop *loop, LoopIterationFunc fn, void *data)
{
  loop->iteration_func = fn;
  loop->iteration_data = data;
}

void
loop_mark_work_end (Loop *loop, const char *work)
{
  if (loop->iteration_func == NULL)
    return;
  int64_t now = read_clock ();
  if (now - loop->work_start > loop->iteration.longest_us)
    {
      loop->iteration.longest_us = now - loop->work_start;
      loop->iteration.longest = work;
    }
  loop->work_start = now;
}

/* Adds the iteration from start, which waited since wait_start, to the average. A single one counts
 * for LOAD_ITERATION_MAX at most, since a process that was suspended is not loaded. */
static void
update_load (Loop *loop, int64_t start)
{
  double took = (double) (loop->now - start);
  double weight = MIN (took, (double) LOAD_ITERATION_MAX);

  if (took <= 0)
    return;
  double busy = (double) (loop->wait_start - start) / took;
  loop->load += weight / (weight + (double) LOAD_WINDOW) * (busy - loop->load);
}

static void
begin_iteration (Loop *loop)
{
  int64_t start = loop->now;

  loop->previous = start;
  loop->now = loop->work_start = read_clock ();
  update_load (loop, start);
  loop->iteration = (LoopIteration){ .late_us = -1, .longest = "" };
}

static void
end_iteration (Loop *loop)
{
  if (loop->iteration_func == NULL)
    return;
  loop_mark_work_end (loop, "timers");
  loop->iteration.took_us = loop->work_start - loop->now;
  loop->iteration_func (loop->iteration_data, &loop->iteration);
}

static void
fire_timers (Loop *loop)
{
  FtHeapNode *top;

  loop->firing = true;
  while ((top = ft_heap_top (&loop->timers)) != NULL && top->key <= (double) loop->now)
    {
      LoopTimer *timer = (LoopTimer *) top; /* node is the first member */
      loop->iteration.late_us = MAX (loop->iteration.late_us, loop->now - (int64_t) top->key);
      loop_timer_stop (loop, timer);
      timer->fire (timer);
    }
  loop->firing = false;
}

static int
wait_ms (Loop *loop)
{
  FtHeapNode *top = ft_heap_top (&loop->timers);

  loop->wait_start = read_clock ();
  if (top == NULL)
    return -1;
  int64_t left = (int64_t) top->key - loop->wait_start;
  return left <= 0 ? 0 : (int) MIN (left / 1000 + 1, 60000);
}

void
loop_run (Loop *loop)
{
  loop->stopped = false;
  while (!loop->stopped)
    {
      run_calls (loop->before_wait);
      g_ptr_array_set_size (loop->deferred_frees, 0);
      int count = epoll_wait (loop->epoll, loop->events, EVENTS_MAX, wait_ms (loop));
      begin_iteration (loop);
      loop->event_count = MAX (count, 0);
      for (int i = 0; i < loop->event_count; i++)
        {
          LoopFd *fd = loop->events[i].data.ptr;
          if (fd)
            fd->ready (fd, loop->events[i].events);
        }
      loop->event_count = 0;
      loop_mark_work_end (loop, "reports");
      fire_timers (loop);
      end_iteration (loop);
    }
  g_ptr_array_set_size (loop->deferred_frees, 0);
}

void
loop_stop (Loop *loop)
{
  loop->stopped = true;
}
