/* loop.h - one thread's event loop: descriptors, timers and calls from other threads. */
#ifndef LOOP_H
#define LOOP_H

#include "foxtail.h"

#include <sys/epoll.h>

typedef struct Loop Loop;

/* A descriptor's part of its owner's record. */
typedef struct LoopFd LoopFd;
struct LoopFd
{
  int fd;
  uint32_t events;                           /* EPOLL bits that are waited for */
  void (*ready) (LoopFd *fd, uint32_t bits); /* bits: what epoll reported */
};

/* A timer's part of its owner's record; fires once. */
typedef struct LoopTimer LoopTimer;
struct LoopTimer
{
  FtHeapNode node;
  bool armed;
  void (*fire) (LoopTimer *timer);
};

/* NULL: no descriptor could be had; errno says why. */
Loop *loop_new (void);
void loop_free (Loop *loop);
/* Runs until loop_stop. */
void loop_run (Loop *loop);
void loop_stop (Loop *loop);

/* The clock of this loop: CLOCK_BOOTTIME, which goes on while the machine is suspended, read once
 * a turn. */
FtClock *loop_clock (Loop *loop);
int64_t loop_now (Loop *loop);

/* False: epoll refused, errno says why. */
bool loop_add (Loop *loop, LoopFd *fd, uint32_t events);
void loop_change (Loop *loop, LoopFd *fd, uint32_t events);
/* Also drops what this turn has still to report of it. Does not close fd->fd. */
void loop_remove (Loop *loop, LoopFd *fd);

/* at: microseconds of the loop's clock. An armed timer is moved. */
void loop_timer_set (Loop *loop, LoopTimer *timer, int64_t at);
void loop_timer_stop (Loop *loop, LoopTimer *timer);

/* Calls fn (data) in the loop's thread, soon and in order. From any thread. */
typedef void (*LoopFn) (void *data);
void loop_post (Loop *loop, LoopFn fn, void *data);
/* g_free (memory) once this turn's events are through. */
void loop_free_later (Loop *loop, void *memory);
/* Called at the end of each turn, before waiting. */
void loop_each_turn (Loop *loop, LoopFn fn, void *data);

/* How long a turn took, from its reports to its end, and what in it took longest. */
typedef struct
{
  int64_t took_us, late_us; /* late: of the timer that fired latest after its time; -1: none did */
  int64_t longest_us;       /* of one piece of work ... */
  const char *longest;      /* ... by the name that loop_done gave it, or what reported it */
} LoopTurn;
typedef void (*LoopTurned) (void *data, const LoopTurn *turn);
/* Calls fn (data, turn) after each turn. */
void loop_watch (Loop *loop, LoopTurned fn, void *data);
/* The piece of work that ends here, since the one before, was this. work: a literal. */
void loop_done (Loop *loop, const char *work);

#endif
