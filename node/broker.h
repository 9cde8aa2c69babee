/* broker.h - a scheduler for the requests of its own instance and, over links, of others. */
#ifndef BROKER_H
#define BROKER_H

#include "mesh.h"
#include "quota.h"
#include "route.h"
#include "scheduler.h"
#include "servers.h"

typedef struct Broker Broker;

/* A place for a request on a server of the granting scheduler's list. */
typedef struct
{
  AdapterServer
      server;          /* borrowed; only id, name, version, addr and leaving are valid; version NULL
                          or "": unknown. A server that has gone from the list counts as leaving. */
  int64_t listed_at;   /* when the list was requested from the platform */
  int64_t max_idle_us; /* connections idle for longer are not reused for requests that are not
                        repeatable */
} Grant;

/* Decisions on requests of the own instance. Never called from within broker_ask. */
typedef struct
{
  void (*grant) (void *host, uint64_t request, const Grant *grant);
  void (*refuse) (void *host, uint64_t request, const SchedRefusal *refusal);
} BrokerOps;

/* ops: NULL if the own instance sends no requests. name: for the log. */
Broker *broker_new (Loop *loop, const char *name, const BrokerOps *ops, void *host);
void broker_free (Broker *broker);
void broker_set_catalogue (Broker *broker, const RtCat *cat);
/* Call when the server list has changed. servers must outlive the broker. */
void broker_set_servers (Broker *broker, const Servers *servers);
/* The newest list is the same as the one before; see sched_keep_servers. */
void broker_keep_servers (Broker *broker);
/* Sets which parts of the places and of the limits, of organisations and servers, this scheduler
 * may give away; salt as in sched_set_share. The parts depend on which instances ask: set them
 * after broker_note_asker. */
void broker_set_shares (Broker *broker, double places, double limits, uint64_t salt);
/* The same for a scheduler that serves all instances. heard: how many of them it hears; lost: how
 * many it has lost lately. */
void broker_set_shares_by_heard (Broker *broker, unsigned heard, unsigned lost);
/* Settings of a deployment for behaviour under load; all off at first. */
typedef struct
{
  int64_t handover_us; /* longest wait for the entries' reports after a takeover; 0: handover is
                          disabled */
  double return_part;  /* part of the limits that may be reserved for refused callers that return */
  double return_place_part; /* the same for places */
  bool fair_shares;         /* scarce places are divided between organisations by their shares */
  bool all_versions;        /* see sched_set_all_versions */
} BrokerConf;

void broker_configure (Broker *broker, const BrokerConf *conf);
/* See quota_set_margin. */
void broker_set_margin (Broker *broker, double overage, double slack, double window_s, bool alone);
/* Grants and refuses what has become due. Call about every 20 ms. */
void broker_tick (Broker *broker);

/* ---- Requests of the own instance; the broker sets the ask's owner ---- */
void broker_ask (Broker *broker, const SchedAsk *ask, double cost);
/* The request runs on server by another scheduler's grant. */
void broker_adopt (Broker *broker, const SchedAsk *ask, const char *server, double cost);
void broker_report_first (Broker *broker, uint64_t request, int64_t after_us);
void broker_report_silence (Broker *broker, uint64_t request);
/* See sched_notice and sched_older_notice. */
void broker_notice (Broker *broker, uint64_t request, const char *server, const Notice *notice);
void broker_past_notice (Broker *broker, const char *server, const Notice *notice, int64_t age);
void broker_end (Broker *broker, uint64_t request, const SchedResult *result);

/* ---- Requests of other instances ---- */
/* A link over which a peer may ask has come up or gone down. */
void broker_link_up (Broker *broker, MeshPeer *peer);
void broker_link_down (Broker *broker, MeshPeer *peer);
/* Counts the peer as an asker. Call at its first ask after a while, before broker_message. */
void broker_note_asker (Broker *broker, MeshPeer *peer);
/* Handles a message of the peer. False: it does not concern scheduling. */
bool broker_message (Broker *broker, MeshPeer *peer, const MeshMsg *msg);
/* True if a request of the peer waits here. */
bool broker_peer_waits (const Broker *broker, const MeshPeer *peer);
/* True if the peer has asked within the last three seconds. */
bool broker_peer_asked (const Broker *broker, const MeshPeer *peer);
/* Number of instances whose reports this scheduler expects when it takes over. */
void broker_set_expected (Broker *broker, unsigned instances);
/* The instance starts to schedule for others; call before any of them has asked. */
void broker_take_over (Broker *broker);
/* True if the settings make it wait for reports after a takeover. */
bool broker_handover_enabled (const Broker *broker);
/* True while it waits for reports. */
bool broker_is_taking_over (const Broker *broker);
/* Number of other instances that have asked within the last three seconds. */
unsigned broker_asker_count (const Broker *broker);
/* Number of linked entries of which this scheduler does not know all requests that they run: those
 * that have not reported them, that ask another scheduler now, or that were not heard since then.
 */
unsigned broker_unreported_count (const Broker *broker, int64_t since);
/* The largest number of entries that a linked instance reported; 0: none did. */
unsigned broker_reported_entry_count (const Broker *broker);
/* Number of linked instances that have told that they ask another scheduler now. */
unsigned broker_away_count (const Broker *broker);

/* See sched_set_versions, sched_set_in_use, sched_settle_version, sched_streams_begin_soon,
 * sched_get_in_use and SchedOps.judged. */
void broker_set_versions (Broker *broker, const char *service, const SchedVersions *versions);
void broker_set_in_use (Broker *broker, const char *service, const char *version);
void broker_settle_version (Broker *broker, const char *service, const char *version);
bool broker_streams_begin_soon (const Broker *broker, const char *service, const char *version);
const char *broker_get_in_use (const Broker *broker, const char *service);
void broker_set_judged_callback (Broker *broker,
                                 void (*judged) (void *host, const SchedVerdict *judged),
                                 void *host);
void broker_service_stats (const Broker *broker, const char *service, SchedServiceStats *stats);

void broker_stats (const Broker *broker, SchedStats *stats);
/* A description of each server, for operators; free it with g_free. */
char *broker_describe (const Broker *broker);

#endif
