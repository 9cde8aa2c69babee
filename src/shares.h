/* shares.h - the order in which organisations get places that are short; private to the library.
 *
 * Start-time fair queuing over the requests of one queue. Each organisation has a virtual time that
 * advances by slot time / weight with each of its requests that is served. The request whose
 * organisation's virtual time is lowest goes first, and of those the one that is due first. Within
 * an organisation the order is by due time.
 */
#ifndef SHARES_H
#define SHARES_H

#include "foxtail.h"

#include <urcu/list.h>

/* ---- Weights: each organisation's limit in relation to the mean of those that have one ---- */

typedef struct ShrWeights ShrWeights;

ShrWeights *shr_weights_new (void);
void shr_weights_free (ShrWeights *weights);
/* The organisation's limit per second; 0: none. */
void shr_weights_set (ShrWeights *weights, const char *org, double rate);
void shr_weights_clear (ShrWeights *weights);
/* 1 without a limit, and at least: who asks for less than an equal part is served. */
double shr_weight (const ShrWeights *weights, const char *org);

/* ---- One queue ---- */

typedef struct Shares Shares;
typedef struct ShrOrg ShrOrg;

/* A request that waits, embedded in the user's record. */
typedef struct
{
  struct cds_list_head link; /* of the queue, in fair order */
  struct cds_list_head own;  /* of its organisation's requests in it, by due time */
  ShrOrg *org;               /* NULL: not in a fair queue */
  double tag;                /* virtual time at which it starts */
  double work_us, span;      /* its slot time; the same / weight */
  int64_t due_at;
} ShrItem;

/* Orders the queue, a list of ShrItem.link that is empty at first. Both must outlive it. */
Shares *shr_new (const ShrWeights *weights, struct cds_list_head *queue);
void shr_free (Shares *shares);

/* A request of the organisation has been asked for. */
void shr_note_arrival (Shares *shares, const char *org, double work_us, int64_t now);
void shr_add (Shares *shares, ShrItem *item, const char *org, double work_us, int64_t due_at,
              int64_t now);
/* It leaves the queue unserved, and its organisation is charged nothing. What waits keeps its place
 * until shr_reorder. */
void shr_remove (Shares *shares, ShrItem *item);
/* A request of the organisation is served, in whichever order; item: it leaves the queue; NULL: it
 * was not in it. What waits keeps its place until shr_reorder. */
void shr_serve (Shares *shares, ShrItem *item, const char *org, double work_us, int64_t now);
/* Puts what waits into the order that follows from what was removed and served. */
void shr_reorder (Shares *shares);

/* How the order of a newcomer differs from the end of the queue, in slot time. */
typedef struct
{
  double overtakes_us;    /* waits, and goes behind it */
  double overtaken_by_us; /* comes until it starts, and goes before it */
} ShrOvertaking;

/* The turn of a newcomer with work_us of slot time, in a queue that places serve after ahead_us of
 * slot time, all that waits here included. */
void shr_overtaking (Shares *shares, const char *org, double work_us, double ahead_us,
                     double places, int64_t now, ShrOvertaking *turn);

/* Organisations with requests in the queue, and those with state. */
unsigned shr_waiting_orgs (const Shares *shares);
unsigned shr_known_orgs (const Shares *shares);
/* Appends the organisations with most requests in the queue, at most a few, each as
 * " name=WAITING/PART", PART of the slot time served lately. */
void shr_describe (const Shares *shares, GString *out, int64_t now);

#endif
