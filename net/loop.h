/* loop.h - event loop of one thread: file descriptors, timers and calls posted by other threads. */
#ifndef LOOP_H
#define LOOP_H

#include "foxtail.h"

#include <sys/epoll.h>

typedef struct Loop Loop;

/* A watched file descriptor; embedded in a struct of its owner. */
typedef struct LoopFd LoopFd;
struct LoopFd
{
  int fd;
  uint32_t events;                           /* EPOLL* bits that are watched */
  void (*ready) (LoopFd *fd, uint32_t bits); /* bits: EPOLL* bits that are set */
};

/* A one-shot timer; embedded in a struct of its owner. */
typedef struct LoopTimer LoopTimer;
struct LoopTimer
{
  FtHeapNode node;
  bool armed;
  void (*fire) (LoopTimer *timer);
};

/* Returns NULL with errno set if epoll or eventfd fails. */
Loop *loop_new (void);
void loop_free (Loop *loop);
/* Runs until loop_stop is called. */
void loop_run (Loop *loop);
void loop_stop (Loop *loop);

/* The loop's clock in microseconds: CLOCK_BOOTTIME, which also counts the time that the machine is
 * suspended. It is read once per iteration. */
FtClock *loop_clock (Loop *loop);
int64_t loop_now (Loop *loop);
/* Reads the clock itself; loop_now is the start of the iteration. */
int64_t loop_read_clock (Loop *loop);
/* When the iteration before this one began, on the clock; much earlier than now if the process did
 * not run. */
int64_t loop_previous (const Loop *loop);

/* The share of time in which the loop did not wait for events lately, 0 to 1. */
double loop_load (const Loop *loop);
#define LOOP_LOAD_HIGH 0.9 /* above it work waits */

/* Starts watching fd->fd. Returns false with errno set if epoll_ctl fails. */
bool loop_add (Loop *loop, LoopFd *fd, uint32_t events);
void loop_change (Loop *loop, LoopFd *fd, uint32_t events);
/* Stops watching fd and drops its events of this iteration that are not yet dispatched. Does not
 * close fd->fd. */
void loop_remove (Loop *loop, LoopFd *fd);

/* Arms the timer for the time at of the loop's clock, in microseconds. Re-arms an armed timer. From
 * within a timer's function: it fires in the next iteration at the earliest. */
void loop_timer_set (Loop *loop, LoopTimer *timer, int64_t at);
void loop_timer_stop (Loop *loop, LoopTimer *timer);

/* Queues fn (data) to run in the loop's thread, in the order of posting. Safe from any thread. */
typedef void (*LoopFunc) (void *data);
void loop_post (Loop *loop, LoopFunc fn, void *data);
/* Removes those queued calls of fn for whose data discard (data, owner) returns true; discard frees
 * what that data owns. */
void loop_withdraw (Loop *loop, LoopFunc fn, bool (*discard) (void *data, const void *owner),
                    const void *owner);
/* Calls g_free (memory) after all events of this iteration are handled. */
void loop_free_later (Loop *loop, void *memory);
/* Calls fn (data) in every iteration, before the loop waits for events. */
void loop_add_before_wait (Loop *loop, LoopFunc fn, void *data);

/* Timing of one iteration, from the return of epoll_wait until its timers have fired. */
typedef struct
{
  int64_t took_us;
  int64_t late_us;     /* largest delay of a timer that fired; -1: none fired */
  int64_t longest_us;  /* duration of the longest piece of work */
  const char *longest; /* name of that piece, as given to loop_mark_work_end */
} LoopIteration;
typedef void (*LoopIterationFunc) (void *data, const LoopIteration *iteration);
/* Calls fn (data, iteration) after each iteration. Without a callback nothing is timed. */
void loop_set_iteration_callback (Loop *loop, LoopIterationFunc fn, void *data);
/* Marks the end of a piece of work that began at the previous mark or at the start of the
 * iteration. work: its name, a string literal. */
void loop_mark_work_end (Loop *loop, const char *work);

#endif
