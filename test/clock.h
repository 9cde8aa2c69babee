/* clock.h - a simulated clock that tests advance. */
#ifndef TEST_CLOCK_H
#define TEST_CLOCK_H

#include "foxtail.h"

typedef struct
{
  FtClock base;
  int64_t now;
} TestClock;

static int64_t
test_clock_now (FtClock *clock)
{
  return ((TestClock *) clock)->now;
}

static const FtClockOps test_clock_ops = { test_clock_now };

static inline TestClock
test_clock (void)
{
  return (TestClock){ { &test_clock_ops }, 1000 * FT_SECOND };
}

#endif
