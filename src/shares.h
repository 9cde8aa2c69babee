/* shares.h - fair sharing of scarce places between organisations; private to the library.
 *
 * Start-time fair queuing over the requests of one queue. Each organisation has a virtual time that
 * advances by slot time / weight with each of its requests that is served. The request of the
 * organisation with the lowest virtual time goes first; ties go to the earliest due time. Requests
 * of one organisation are ordered by due time.
 */
#ifndef SHARES_H
#define SHARES_H

#include "foxtail.h"

#include <urcu/list.h>

/* ---- Weights: each organisation's limit relative to the mean limit ---- */

typedef struct ShrWeights ShrWeights;

ShrWeights *shr_weights_new (void);
void shr_weights_free (ShrWeights *weights);
/* Sets the organisation's limit per second; 0: no limit. */
void shr_weights_set (ShrWeights *weights, const char *org, double rate);
void shr_weights_clear (ShrWeights *weights);
/* At least 1, and 1 without a limit, so that an organisation that needs less than an equal share
 * is served. */
double shr_weight (const ShrWeights *weights, const char *org);

/* ---- One queue ---- */

typedef struct Shares Shares;
typedef struct ShrOrg ShrOrg;

/* A waiting request, embedded in the record of the module that owns the queue. */
typedef struct
{
  struct cds_list_head link; /* in the queue, in fair order */
  struct cds_list_head own;  /* in its organisation's list, by due time */
  ShrOrg *org;               /* NULL: not in a fair queue */
  double tag;                /* virtual time at which it starts */
  double work_us, span;      /* its slot time; slot time / weight */
  int64_t due_at;
} ShrItem;

/* Keeps the queue, an initially empty list of ShrItem.link, in fair order. Both arguments must
 * outlive the result. */
Shares *shr_new (const ShrWeights *weights, struct cds_list_head *queue);
void shr_free (Shares *shares);

/* Records that a request of the organisation has arrived. */
void shr_note_arrival (Shares *shares, const char *org, double work_us, int64_t now);
/* Adds a request to the queue. */
void shr_add (Shares *shares, ShrItem *item, const char *org, double work_us, int64_t due_at,
              int64_t now);
/* Removes a request that was not served; its organisation is not charged. The other requests keep
 * their positions until shr_reorder. */
void shr_remove (Shares *shares, ShrItem *item);
/* Charges the organisation for a request that is served, in order or not, and removes item from the
 * queue; NULL: the request was not queued. The other requests keep their positions until
 * shr_reorder. */
void shr_serve (Shares *shares, ShrItem *item, const char *org, double work_us, int64_t now);
/* Restores the fair order after requests were removed or served. */
void shr_reorder (Shares *shares);

/* How the position of a new request differs from the end of the queue, in slot time. */
typedef struct
{
  double overtakes_us;    /* waiting requests that it goes before */
  double overtaken_by_us; /* requests that arrive before it starts and go before it */
} ShrOvertaking;

/* Estimates the position of a new request that needs work_us of slot time. ahead_us: the slot time
 * that would be served before it in order of arrival, including this whole queue. places: the
 * places that serve the queue. */
void shr_overtaking (Shares *shares, const char *org, double work_us, double ahead_us,
                     double places, int64_t now, ShrOvertaking *overtaking);

/* Number of organisations with requests in the queue, and of those with any state. */
unsigned shr_waiting_orgs (const Shares *shares);
unsigned shr_known_orgs (const Shares *shares);
/* Appends the organisations with the most requests in the queue, up to 16, each as
 * " name=WAITING/SHARE", with its share of the recently served slot time. */
void shr_describe (const Shares *shares, GString *out, int64_t now);

#endif
