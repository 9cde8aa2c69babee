/* route.h - a catalogue of routes, services and organisations: the service that a request goes to,
 * whether it may be repeated, its priority and its organisation; private to the library and its
 * shells. */
#ifndef ROUTE_H
#define ROUTE_H

#include "foxtail.h"

typedef enum
{
  RT_IDEMPOTENT,   /* may run more than once */
  RT_AT_MOST_ONCE, /* runs at most once for each request of a caller */
  RT_STREAM /* answered by a stream of events; runs at most once unless the route is resumable */
} RtKind;

typedef struct
{
  char *service;
  unsigned weight;
} RtTarget;

typedef struct
{
  char *name, *host, *prefix; /* prefix: of the path, begins and ends with a slash */
  RtKind kind;
  int64_t timeout_us; /* limit for the complete answer; above 0 */
  int64_t target_us;  /* target for the first event, or for the answer if it is not a stream */
  int64_t gap_us;     /* target for the time between two events; 0: none */
  unsigned tier;      /* 0 is the highest */
  unsigned attempts;  /* maximum of servers to which one request is sent; at least 1 */
  bool open;          /* requests need no key */
  bool resumable;     /* a broken stream may continue at another server */
  GArray *targets;    /* RtTarget, at least one; the sum of weights is above 0 */
} RtRoute;

typedef struct
{
  char *name, *health_path;
  unsigned connections; /* limit of one server for all instances together; 0: none given */
  bool engine;          /* true: a language model that batches requests; false: a plain service */
  unsigned stride;      /* engines: tokens in one event */
  uint64_t memory;      /* engines: size of a server's KV cache in tokens */
} RtService;

typedef struct
{
  char *name;
  bool has_tier;
  unsigned tier;           /* takes precedence over the route's */
  double rate, burst;      /* per second, and burst size, over all instances; rate 0: no limit */
  bool by_tokens;          /* rate and burst count tokens instead of requests */
  unsigned default_tokens; /* charge of a request that states no number of tokens */
  GPtrArray *keys;         /* char * */
} RtOrg;

typedef struct
{
  size_t head_bytes, body_bytes; /* maximum size of a request's header and body */
  int64_t head_us, idle_us;      /* timeouts for the header and between two requests */
} RtLimits;

typedef struct RtCat RtCat;

/* Creates an empty catalogue; the caller owns the reference. Add records, which are copied, and
 * then seal it. After that it is immutable. */
RtCat *rt_cat_new (uint64_t version, uint64_t number, const RtLimits *limits);
FtStatus rt_cat_add_service (RtCat *cat, const RtService *service, FtError *error);
FtStatus rt_cat_add_route (RtCat *cat, const RtRoute *route, FtError *error);
FtStatus rt_cat_add_org (RtCat *cat, const RtOrg *org, FtError *error);
/* Validates the catalogue as a whole and builds the indexes. */
FtStatus rt_cat_seal (RtCat *cat, FtError *error);
RtCat *rt_cat_ref (RtCat *cat);
void rt_cat_unref (RtCat *cat);

/* The operator's version. */
uint64_t rt_cat_version (const RtCat *cat);
/* Its place in the order of all catalogues, by which instances compare them. It is the version,
 * unless an earlier program logged this catalogue or one before it (rt_number_after). */
uint64_t rt_cat_number (const RtCat *cat);
/* The number for a catalogue of this version that follows newest. 0: the version is not above the
 * newest one; G_MAXUINT64: there is no such number. */
uint64_t rt_number_after (uint64_t newest_version, uint64_t newest_number, uint64_t version);
const RtLimits *rt_cat_limits (const RtCat *cat);
/* The route of host with the longest prefix that matches path, or NULL. The host's port and case
 * are ignored. */
const RtRoute *rt_cat_route (const RtCat *cat, const char *host, const char *path);
const RtService *rt_cat_service (const RtCat *cat, const char *name);
unsigned rt_cat_service_count (const RtCat *cat);
const RtService *rt_cat_service_at (const RtCat *cat, unsigned index);
unsigned rt_cat_route_count (const RtCat *cat);
/* States that the catalogue has a list of organisations, be it an empty one. */
void rt_cat_declare_orgs (RtCat *cat);
/* True if it has one; then requests need the key of an organisation, unless their route is open. */
bool rt_cat_has_orgs (const RtCat *cat);
unsigned rt_cat_org_count (const RtCat *cat);
const RtOrg *rt_cat_org_at (const RtCat *cat, unsigned index);
/* NULL for an empty key, too. */
const RtOrg *rt_cat_org_by_key (const RtCat *cat, const char *key);
/* Chooses one of the route's services at random by weight; draw: random bits. */
const char *rt_route_target (const RtRoute *route, uint64_t draw);
/* Priority of a request, 0 is the highest: by the organisation's tier, then by the route's. */
unsigned rt_priority (const RtRoute *route, const RtOrg *org);
/* The route's tier within a priority. */
unsigned rt_priority_route_tier (unsigned priority);
/* True if a request that one server may have run may run again on another. */
bool rt_route_is_repeatable (const RtRoute *route);

#endif
