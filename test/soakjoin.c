/* soakjoin.c - a release during which one instance after another is out of step.
 *
 * Callers begin streams at the other entries all the time. As the instance goes on, those that have
 * events hang up and come back: at just that entry or, if it is a voter, at any. */
#include "soakjoin.h"
#include "soakver.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define CALLERS        10
#define FIRST_NEW      2 /* servers from this one on have the new version */
#define NEW            "v2"
#define RUN_S          18  /* streams begin at the new version 6 s after it was listed */
#define EVENT_MS_MIN   200 /* between a stream's events */
#define RELEASE_MS_MIN 1000
#define RELEASE_MS_MAX 2000
#define LEAD_MS_MAX    500 /* by which the first instance is out of step before the release */
#define OUT_MS_MIN     500 /* that an instance is out of step */
#define OUT_MS_MAX     8000
#define OUT_MS_SHORT   2500 /* of two in three, after the first one, at most */
#define SLOTS_MIN      3    /* of each server */
#define LATE_MS_MIN    6500 /* the first one sees streams begin at the new version */
#define SHORT_MS_MIN   1000 /* its list still decides as it goes on */
#define SHORT_MS_MAX   3000
#define CUT_MS_MIN     300 /* from the end of a stop to the end of a cut */
#define CUT_MS_MAX     2800
#define REST_MS_MAX    1200         /* from one instance to the next one */
#define BACKLOG_TIME   (20 * FT_MS) /* in which connections reach a process that is stopped */
#define RETRY_MS       100          /* from a refusal to the next request */

typedef enum
{
  STOP,
  CUT,
  STOP_AND_CUT, /* its links are cut as it goes on */
  KINDS
} Kind;

static const char *const kind_names[KINDS] = { "stopped", "cut", "stopped, then cut" };

typedef enum
{
  STEP_IDLE,
  STEP_STOPPED,
  STEP_WAKING, /* callers have come back; SIGCONT is due */
  STEP_CUT,
} Step;

typedef struct
{
  Answer answer;
  char id[24];
  SoakStream stream;
  const FleetNode *entry; /* that the request was sent to */
  bool open, came_back;   /* came_back: to an instance that was out of step */
  unsigned before;        /* number of its last event as it came back */
  int64_t again_at;
} JoinCaller;

typedef struct
{
  FleetNode *node; /* NULL: none */
  Kind kind;
  Step step;
  ProxyMode mode; /* of its links while they are cut */
  int64_t until;
  int64_t return_at; /* callers come back while its links are cut; 0: they did */
} Outage;

static Fleet *fleet;
static GRand *source, *caller_source;
static bool (*is_free) (const FleetNode *node);
static bool planned, has_rollout, mixes, released;
static int64_t release_at;
static JoinCaller callers[CALLERS];
static Outage outage;
static unsigned sent, begun, begun_new, outages, came_back, came_back_new, went_on, went_on_new,
    refused;

static unsigned
draw (unsigned limit)
{
  return (unsigned) g_rand_int_range (source, 0, (gint32) limit);
}

static int64_t
after_ms (unsigned ms)
{
  return loop_now (fleet->loop) + ms * FT_MS;
}

void
soakjoin_begin (Fleet *new_fleet, unsigned seed, bool (*may_touch) (const FleetNode *node))
{
  fleet = new_fleet;
  is_free = may_touch;
  planned = seed >= SOAKJOIN_SEED;
  released = false;
  release_at = 0;
  outage = (Outage){ 0 };
  memset (callers, 0, sizeof callers);
  sent = begun = begun_new = outages = came_back = came_back_new = went_on = went_on_new = 0;
  refused = 0;
  if (!planned)
    return;
  g_clear_pointer (&source, g_rand_free);
  g_clear_pointer (&caller_source, g_rand_free);
  source = g_rand_new_with_seed (seed ^ 0x6a6f696eu);
  caller_source = g_rand_new_with_seed (seed ^ 0x63616c6cu);
  has_rollout = !fleet->servers[FIRST_NEW].listed;
  mixes = !has_rollout && seed % 2 == 1;
  fleet->event_ms = MAX (fleet->event_ms, EVENT_MS_MIN);
  fleet->slots = MAX (fleet->slots, SLOTS_MIN);
  for (unsigned i = FIRST_NEW; i < FLEET_SERVERS; i++)
    {
      g_strlcpy (fleet->servers[i].version, NEW, sizeof fleet->servers[i].version);
      fleet->servers[i].listed = false;
    }
}

bool
soakjoin_is_planned (void)
{
  return planned;
}

unsigned
soakjoin_seconds (unsigned seconds)
{
  return planned ? MAX (seconds, RUN_S) : seconds;
}

/* From the first round, since the processes' start takes some time. */
static void
draw_times (void)
{
  release_at = after_ms (RELEASE_MS_MIN + draw (RELEASE_MS_MAX - RELEASE_MS_MIN));
  outage.until = release_at - draw (LEAD_MS_MAX) * FT_MS;
}

static void
step_release (void)
{
  if (released || loop_now (fleet->loop) < release_at)
    return;
  if (has_rollout)
    {
      released = fleet->servers[FIRST_NEW].listed;
      return;
    }
  for (unsigned i = FIRST_NEW; i < FLEET_SERVERS; i++)
    fleet->servers[i].listed = true;
  if (mixes)
    soakver_mix ();
  released = true;
}

/* ---- Callers ---- */

static bool
is_new (const JoinCaller *caller)
{
  return strcmp (soakver_version (&caller->stream), NEW) == 0;
}

static const FleetNode *
any_entry (void)
{
  int number = g_rand_int_range (caller_source, 0, (gint32) fleet->entry_count);
  const FleetNode *entry = &fleet->entries[number];

  return entry->pid && entry != outage.node ? entry : NULL;
}

static void
begin_stream (JoinCaller *caller)
{
  char body[40];
  const FleetNode *entry = any_entry ();

  if (entry == NULL)
    return;
  soakver_reset (&caller->stream);
  caller->came_back = false;
  caller->entry = entry;
  g_snprintf (caller->id, sizeof caller->id, "j%u", ++sent);
  g_snprintf (body, sizeof body, "body of %s", caller->id);
  fleet_send_body (fleet, entry, "/stream/a", caller->id, body, &caller->answer);
  caller->open = true;
}

static void
come_back (JoinCaller *caller, const FleetNode *entry)
{
  caller->came_back = true;
  caller->before = soakver_last_event (&caller->stream);
  caller->entry = entry;
  g_snprintf (caller->id, sizeof caller->id, "j%u", ++sent);
  came_back++;
  came_back_new += is_new (caller);
  soakver_send (&caller->stream, entry, caller->id, "body", &caller->answer);
  caller->open = true;
}

static void
take_answer (JoinCaller *caller)
{
  bool had_events = soakver_last_event (&caller->stream) > 0;

  soakver_take (&caller->stream, caller->id, &caller->answer);
  if (!had_events && soakver_last_event (&caller->stream) > 0)
    {
      begun++;
      begun_new += is_new (caller);
    }
  if (caller->came_back && soakver_last_event (&caller->stream) > caller->before)
    {
      went_on++;
      went_on_new += is_new (caller);
    }
  refused += caller->came_back && caller->answer.status == 503;
  caller->again_at = caller->answer.status == 200 ? 0 : after_ms (RETRY_MS);
  fleet_answer_clear (&caller->answer);
  caller->open = false;
}

/* Closes the connection of a caller that has events. False: it has none, or the answer has ended.
 */
static bool
hang_up (JoinCaller *caller)
{
  Answer *answer = &caller->answer;

  if (!caller->open || answer->done || answer->status != 200
      || strstr (answer->body->str, "\n\n") == NULL)
    return false;
  hxfer_cancel (answer->xfer);
  answer->broken = true;
  take_answer (caller);
  return true;
}

/* Callers come back at the instance that was out of step or, if it is a voter, at any entry. */
static void
return_callers (void)
{
  for (unsigned i = 0; i < CALLERS; i++)
    {
      const FleetNode *entry = outage.node->voter ? any_entry () : outage.node;
      if (entry && entry->pid && callers[i].entry != outage.node && hang_up (&callers[i])
          && soakver_returns (&callers[i].stream))
        come_back (&callers[i], entry);
    }
}

/* A stream that was taken up is taken up at that entry again, if it broke off or was refused. */
static void
step_caller (JoinCaller *caller, bool more)
{
  if (caller->open && caller->answer.done)
    take_answer (caller);
  if (caller->open || !more || loop_now (fleet->loop) < caller->again_at)
    return;
  if (caller->came_back && caller->entry->pid && soakver_returns (&caller->stream))
    come_back (caller, caller->entry);
  else
    begin_stream (caller);
}

/* ---- Instances out of step ---- */

/* The links of an entry are those that it opens to voters, which others share. */
static void
set_links (ProxyMode mode)
{
  proxy_set_mode (outage.node->proxy, mode);
  for (unsigned i = 0; !outage.node->voter && i < fleet->voter_count; i++)
    proxy_set_mode (fleet->voters[i].proxy, mode);
}

static void
cut_links (unsigned ms)
{
  set_links (outage.mode);
  outage.step = STEP_CUT;
  outage.until = after_ms (ms);
  outage.return_at = after_ms (ms / 2);
}

/* The first one is drawn from the lengths around which what it knows changes, or from all. */
static unsigned
draw_length (void)
{
  unsigned min = OUT_MS_MIN, max = OUT_MS_MAX, part = draw (3);

  if (outages == 1 && part == 0)
    min = LATE_MS_MIN;
  else if (outages == 1 && part == 1)
    min = SHORT_MS_MIN, max = SHORT_MS_MAX;
  else if (outages > 1 && part > 0)
    max = OUT_MS_SHORT;
  return min + draw (max - min + 1);
}

/* The first one is an entry in three of four seeds. */
static FleetNode *
draw_node (void)
{
  unsigned entry = draw (fleet->entry_count), voter = draw (3);
  bool is_entry = outages == 0 ? draw (4) > 0 : draw (2) > 0;

  return is_entry ? &fleet->entries[entry] : &fleet->voters[voter];
}

static void
begin_outage (void)
{
  FleetNode *node = draw_node ();

  if (node->pid == 0 || !is_free (node) || !fleet_handles_signals (node))
    return;
  outages++;
  outage.node = node;
  outage.kind = (Kind) draw (KINDS);
  outage.mode = draw (2) ? PROXY_REFUSE : PROXY_BLACKHOLE;
  unsigned ms = draw_length ();
  printf ("# out of step: %s for %u ms, %s\n", node->name, ms, kind_names[outage.kind]);
  if (outage.kind == CUT)
    {
      cut_links (ms);
      return;
    }
  fleet_signal (node, SIGSTOP);
  outage.step = STEP_STOPPED;
  outage.until = after_ms (ms);
}

static void
end_outage (void)
{
  outage.step = STEP_IDLE;
  outage.node = NULL;
  outage.until = after_ms (draw (REST_MS_MAX));
}

static void
step_outage (bool more)
{
  int64_t now = loop_now (fleet->loop);

  if (outage.step == STEP_CUT && outage.return_at && now >= outage.return_at)
    {
      outage.return_at = 0;
      return_callers ();
    }
  if (more && now < outage.until)
    return;
  switch (outage.step)
    {
    case STEP_IDLE:
      if (more && (!has_rollout || released))
        begin_outage ();
      break;
    case STEP_STOPPED:
      return_callers ();
      outage.step = STEP_WAKING;
      outage.until = now + BACKLOG_TIME;
      break;
    case STEP_WAKING:
      if (more && outage.kind == STOP_AND_CUT)
        cut_links (CUT_MS_MIN + draw (CUT_MS_MAX - CUT_MS_MIN + 1));
      fleet_signal (outage.node, SIGCONT);
      if (outage.step == STEP_WAKING)
        end_outage ();
      break;
    case STEP_CUT:
      return_callers ();
      set_links (PROXY_PASS);
      end_outage ();
      break;
    }
}

void
soakjoin_turn (bool more)
{
  if (!planned)
    return;
  if (release_at == 0)
    draw_times ();
  step_release ();
  step_outage (more);
  for (unsigned i = 0; i < CALLERS; i++)
    step_caller (&callers[i], more);
}

bool
soakjoin_touches (const FleetNode *node)
{
  return outage.node && (node == outage.node || (outage.step == STEP_CUT && !outage.node->voter));
}

bool
soakjoin_is_open (void)
{
  for (unsigned i = 0; i < CALLERS; i++)
    if (callers[i].open)
      return true;
  return outage.node != NULL;
}

void
soakjoin_end (void)
{
  if (!planned)
    return;
  for (unsigned i = 0; i < CALLERS; i++)
    soakver_reset (&callers[i].stream);
  printf ("# release: %u instances out of step; %u streams begun, of which %u at the new version; "
          "%u taken up there, of which %u at the new version; %u went on, of which %u at the new "
          "version; %u refused, %u without an answer or broken off at once\n",
          outages, begun, begun_new, came_back, came_back_new, went_on, went_on_new, refused,
          came_back - went_on - refused);
}
