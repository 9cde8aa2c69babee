/* judge.h - is a version of a service's servers bad, by the answers of both versions; private to
 * the library and its shells. */
#ifndef JUDGE_H
#define JUDGE_H

#include "foxtail.h"

typedef struct
{
  unsigned route;  /* digest of the route's name */
  uint32_t server; /* digest of the server's id */
  bool ordered;    /* of the version that was ordered, else of the one before */
  bool bad;
} JudgeAnswer;

typedef struct
{
  unsigned answers, bad;        /* of the ordered version */
  double suspicion;             /* evidence against it: from 1 on it is bad */
  unsigned route;               /* by which answers; 0: by all */
  double before, after;         /* share of bad answers of both versions there, of late ... */
  double before_all, after_all; /* ... and over all routes */
} JudgeResult;

typedef struct Judge Judge;

/* Ways to judge; see the comment atop judge.c. */
typedef enum
{
  JUDGE_CUSUM,
  JUDGE_WINDOW
} JudgeMethod;

Judge *judge_new (FtClock *clock, JudgeMethod way);
void judge_free (Judge *judge);
/* Goes on from what another instance knew. */
void judge_resume (Judge *judge, unsigned answers, unsigned bad, double suspicion);
/* How many servers of the ordered version are live. */
void judge_set_servers (Judge *judge, unsigned count);
void judge_add_answer (Judge *judge, const JudgeAnswer *answer);
void judge_get_result (Judge *judge, JudgeResult *facts);

#endif
