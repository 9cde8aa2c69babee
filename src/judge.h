/* judge.h - decides whether the target version of a roll-out is bad, by comparing its answers with
 * those of the previous version; private to the library and its shells. */
#ifndef JUDGE_H
#define JUDGE_H

#include "foxtail.h"

typedef struct
{
  unsigned route;  /* digest of the route's name */
  uint32_t server; /* digest of the server's id */
  bool ordered;    /* from the target version, otherwise from the previous one */
  bool bad;
} JudgeAnswer;

typedef struct
{
  unsigned answers, bad; /* of the target version */
  /* Evidence against the target version as a fraction of the threshold; from 1 on it is bad. */
  double suspicion;
  unsigned route; /* digest of the route with the strongest evidence; 0: all routes together */
  /* Recent share of bad answers of the previous and of the target version, on that route and over
   * all routes. */
  double before, after;
  double before_all, after_all;
} JudgeResult;

typedef struct Judge Judge;

/* Statistical methods; see the comment at the top of judge.c. */
typedef enum
{
  JUDGE_CUSUM,
  JUDGE_WINDOW
} JudgeMethod;

Judge *judge_new (FtClock *clock, JudgeMethod method);
void judge_free (Judge *judge);
/* Continues from the counts and the suspicion that another instance recorded. */
void judge_resume (Judge *judge, unsigned answers, unsigned bad, double suspicion);
/* Sets how many servers of the target version are live. */
void judge_set_servers (Judge *judge, unsigned count);
void judge_add_answer (Judge *judge, const JudgeAnswer *answer);
void judge_get_result (Judge *judge, JudgeResult *result);

#endif
