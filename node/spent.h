/* spent.h - how much of the organisations' limits schedulers granted to this entry, and what each
 * scheduler must be told of the others' grants. A scheduler is identified by the address of its
 * MeshPeer; NULL is the entry's own. No I/O. */
#ifndef SPENT_H
#define SPENT_H

#include "foxtail.h"

typedef struct Spent Spent;

Spent *spent_new (FtClock *clock);
void spent_free (Spent *spent);
/* The scheduler granted this entry cost of the organisation's limit. */
void spent_record_grant (Spent *spent, const void *scheduler, const char *org, double cost);
/* What other schedulers granted since this one was last told, over the last two seconds at most;
 * 0 for one that is new. Counts as told from now on. *for_us: the time within which it was
 * granted. */
double spent_take_untold (Spent *spent, const void *scheduler, const char *org, int64_t *for_us);
/* The scheduler has reported how full the organisation's account is, 0 to 1. */
void spent_record_report (Spent *spent, const void *scheduler, const char *org, double fill);
/* The latest report on the account: how full it was, 0 to 1, and its age in microseconds. False:
 * it came from this scheduler, or there is none of the last two seconds. */
bool spent_latest_report (const Spent *spent, const void *scheduler, const char *org, double *fill,
                          int64_t *age_us);
/* Appends to out the names, borrowed, of all organisations of which the scheduler may have to be
 * told something. */
void spent_orgs (const Spent *spent, const void *scheduler, GPtrArray *out);
/* The scheduler's link is down. On a new link it counts as a new scheduler. */
void spent_forget_scheduler (Spent *spent, const void *scheduler);

#endif
