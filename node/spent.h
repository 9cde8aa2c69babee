/* spent.h - what schedulers gave this entry of organisations' limits, and what each must be told.
 *
 * A scheduler is known by its peer's address; NULL is the entry's own. No I/O.
 */
#ifndef SPENT_H
#define SPENT_H

#include "foxtail.h"

typedef struct Spent Spent;

Spent *spent_new (FtClock *clock);
void spent_free (Spent *spent);
/* The scheduler gave this entry so much of the organisation's limit. */
void spent_record_grant (Spent *spent, const void *scheduler, const char *org, double cost);
/* What others gave since the scheduler was last told, in the latest seconds; 0 when it is asked for
 * the first time. It counts as told from now on. *for_us: the time in which that was given. */
double spent_take_untold (Spent *spent, const void *scheduler, const char *org, int64_t *for_us);
/* The scheduler has reported how full the organisation's account is, 0 to 1. */
void spent_record_report (Spent *spent, const void *scheduler, const char *org, double full);
/* The newest report of another scheduler than this one: how full the account was, and how long ago,
 * microseconds. False: there is none recent enough. */
bool spent_latest_report (const Spent *spent, const void *scheduler, const char *org, double *full,
                          int64_t *age_us);
/* Names of all organisations of which the scheduler may be told something, borrowed; added to out.
 */
void spent_orgs (const Spent *spent, const void *scheduler, GPtrArray *out);
/* The scheduler's link is down: on a new one it counts as another. */
void spent_forget_scheduler (Spent *spent, const void *scheduler);

#endif
