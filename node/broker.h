/* broker.h - a scheduler that other instances ask over their links, and its own instance beside. */
#ifndef BROKER_H
#define BROKER_H

#include "mesh.h"
#include "quota.h"
#include "route.h"
#include "scheduler.h"
#include "servers.h"

typedef struct Broker Broker;

/* A place for a request, by one scheduler's list. */
typedef struct
{
  SeamServer server;   /* id, name, address and whether it leaves, borrowed; one that the list has
                          lost leaves */
  int64_t listed_at;   /* when that list was asked for */
  int64_t max_idle_us; /* connections that rested longer are not used for what may run once only */
} Grant;

/* Verdicts on requests of the own instance. Never called from within broker_ask. */
typedef struct
{
  void (*grant) (void *host, uint64_t request, const Grant *grant);
  void (*refuse) (void *host, uint64_t request, const SchedRefusal *refusal);
} BrokerOps;

/* ops may be NULL: the own instance asks nothing. name: for the log. */
Broker *broker_new (Loop *loop, const char *name, const BrokerOps *ops, void *host);
void broker_free (Broker *broker);
void broker_set_catalogue (Broker *broker, const RtCat *cat);
/* The list has changed. servers must outlive the broker. */
void broker_set_servers (Broker *broker, const Servers *servers);
/* Parts of the places and of the limits, of organisations and servers, that it may give away; salt
 * as in sched_set_share. Both follow who asks: set them after broker_note_asker. */
void broker_set_shares (Broker *broker, double places, double limits, uint64_t salt);
/* The same for one that schedules for all, of which so many are heard and so many lost lately. */
void broker_set_shares_by_heard (Broker *broker, unsigned heard, unsigned lost);
/* What a deployment's settings call for under load; all off at first. */
typedef struct
{
  int64_t handover_us;      /* longest wait for entries' reports after a takeover; 0: none */
  double return_part;       /* of limits, that may be promised to callers that come again */
  double return_place_part; /* the same of places */
  bool fair_shares;         /* places that are short go to organisations by shares */
} BrokerConf;

void broker_configure (Broker *broker, const BrokerConf *conf);
/* See quota_set_margin. */
void broker_set_margin (Broker *broker, double overage, double slack, double window_s, bool alone);
/* Refuses and places what time has decided. Call every 20 ms or so. */
void broker_tick (Broker *broker);

/* ---- Requests of the own instance; the ask's owner is set here. ---- */
void broker_ask (Broker *broker, const SchedAsk *ask, double cost);
void broker_adopt (Broker *broker, const SchedAsk *ask, const char *server, double cost);
void broker_report_first (Broker *broker, uint64_t request, int64_t after_us);
void broker_report_silence (Broker *broker, uint64_t request);
/* See sched_notice. */
void broker_notice (Broker *broker, uint64_t request, const char *server, const Notice *notice);
void broker_past_notice (Broker *broker, const char *server, const Notice *notice, int64_t age);
void broker_end (Broker *broker, uint64_t request, const SchedResult *result);

/* ---- Requests of other instances ---- */
/* A link over which it may be asked has come up or gone down. */
void broker_link_up (Broker *broker, MeshPeer *peer);
void broker_link_down (Broker *broker, MeshPeer *peer);
/* The peer's first ask for a while has come: it counts as one that asks. */
void broker_note_asker (Broker *broker, MeshPeer *peer);
/* True: the message concerned scheduling. */
bool broker_message (Broker *broker, MeshPeer *peer, const MeshMsg *msg);
/* Has the peer a request that waits here? */
bool broker_peer_waits (const Broker *broker, const MeshPeer *peer);
/* Has the peer asked within the last seconds? */
bool broker_peer_asked (const Broker *broker, const MeshPeer *peer);
/* So many instances may hold what this scheduler is told when it begins to be asked. */
void broker_set_expected (Broker *broker, unsigned instances);
/* The instance schedules for others from now on, before any has asked. */
void broker_take_over (Broker *broker);
/* Does it wait for reports after a takeover? */
bool broker_handover_enabled (const Broker *broker);
/* Does it wait for reports now? */
bool broker_is_taking_over (const Broker *broker);
/* Instances that have asked within the last seconds. */
unsigned broker_asker_count (const Broker *broker);
/* Linked instances that have said that they ask another now. */
unsigned broker_away_count (const Broker *broker);

/* See sched_set_versions and SchedOps.judged. */
void broker_set_versions (Broker *broker, const char *service, const SchedVersions *versions);
void broker_set_judged_callback (Broker *broker,
                                 void (*judged) (void *host, const SchedVerdict *judged),
                                 void *host);
void broker_service_stats (const Broker *broker, const char *service, SchedServiceStats *stats);

void broker_stats (const Broker *broker, SchedStats *stats);
/* Lines about each server, for operators; g_free. */
char *broker_describe (const Broker *broker);

#endif
