/* route.h - a catalogue of routes: which service a request goes to, what may be repeated, how
 * urgent it is, and which organisation sends it; private to the library and its shells. */
#ifndef ROUTE_H
#define ROUTE_H

#include "foxtail.h"

typedef enum
{
  RT_IDEMPOTENT,   /* may run more than once */
  RT_AT_MOST_ONCE, /* may run once at most for each request of a caller */
  RT_STREAM        /* answered by a stream of events; runs once unless the route is resumable */
} RtKind;

typedef struct
{
  char *service;
  unsigned weight;
} RtTarget;

typedef struct
{
  char *name, *host, *prefix; /* the prefix begins and ends with a slash */
  RtKind kind;
  int64_t timeout_us; /* a request has its final answer by then; above 0 */
  int64_t target_us;  /* the first event, or the answer, is on time until then */
  int64_t gap_us;     /* longest pause between two events that is on time; 0: not stated */
  unsigned tier;      /* 0 is the highest */
  unsigned attempts;  /* most servers to which one request may be sent; at least 1 */
  bool open;          /* needs no key */
  bool resumable;     /* a stream may go on at another server */
  GArray *targets;    /* RtTarget, at least one, weights above 0 in sum */
} RtRoute;

typedef struct
{
  char *name, *health_path;
  unsigned connections; /* most that one server takes from all instances; 0: not stated */
  bool engine;          /* a language model that batches requests; else a plain service */
  unsigned stride;      /* engine: tokens in one event */
  uint64_t memory;      /* engine: tokens that a server's memory holds */
} RtService;

typedef struct
{
  char *name;
  bool has_tier;
  unsigned tier;           /* goes before the route's */
  double rate, burst;      /* a second and at once, over all instances; rate 0: no limit */
  bool by_tokens;          /* rate and burst count tokens, else requests */
  unsigned default_tokens; /* what a request counts that names no tokens */
  GPtrArray *keys;         /* char * */
} RtOrg;

typedef struct
{
  size_t head_bytes, body_bytes; /* of a caller's request */
  int64_t head_us, idle_us;      /* to send one, and between two */
} RtLimits;

typedef struct RtCat RtCat;

/* Records are copied. The reference is the caller's; the catalogue is filled, sealed, and never
 * changes after. */
RtCat *rt_cat_new (uint64_t version, const RtLimits *limits);
FtStatus rt_cat_add_service (RtCat *cat, const RtService *service, FtError *error);
FtStatus rt_cat_add_route (RtCat *cat, const RtRoute *route, FtError *error);
FtStatus rt_cat_add_org (RtCat *cat, const RtOrg *org, FtError *error);
/* Checks the whole and makes it ready for look-ups. */
FtStatus rt_cat_seal (RtCat *cat, FtError *error);
RtCat *rt_cat_ref (RtCat *cat);
void rt_cat_unref (RtCat *cat);

uint64_t rt_cat_version (const RtCat *cat);
const RtLimits *rt_cat_limits (const RtCat *cat);
/* The route of host whose prefix is the longest that begins path; NULL: none. A port behind the
 * host and letters' case do not count. */
const RtRoute *rt_cat_route (const RtCat *cat, const char *host, const char *path);
const RtService *rt_cat_service (const RtCat *cat, const char *name);
unsigned rt_cat_service_count (const RtCat *cat);
const RtService *rt_cat_service_at (const RtCat *cat, unsigned index);
unsigned rt_cat_route_count (const RtCat *cat);
/* Does the catalogue name organisations at all? If not, no request needs a key. */
bool rt_cat_has_orgs (const RtCat *cat);
unsigned rt_cat_org_count (const RtCat *cat);
const RtOrg *rt_cat_org_at (const RtCat *cat, unsigned index);
const RtOrg *rt_cat_org_by_key (const RtCat *cat, const char *key);
/* One of the route's services, by weight; draw: random bits. */
const char *rt_route_target (const RtRoute *route, uint64_t draw);
/* Order of a request among all: the organisation's tier goes before the route's. 0 is the first. */
unsigned rt_priority (const RtRoute *route, const RtOrg *org);
/* The route's own part of an order. */
unsigned rt_priority_route_tier (unsigned order);
/* May a request of the route run again at another server once one may have run it? */
bool rt_route_is_repeatable (const RtRoute *route);

#endif
