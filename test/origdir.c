/* origdir.c - tests of the table and the directory of streams' origins. The table is compared with
 * a simple model; the event loop and the links of the directory are simulated on a manual clock. */
#include "clock.h"
#include "codec.h"
#include "origdir.h"

#include <string.h>

#define VOTERS_MAX 9
#define SERVICE    "s"

/* ---- Substitutes for the loop, the links and the list ---- */

struct Loop
{
  TestClock clock;
  GPtrArray *timers; /* LoopTimer, armed */
};

typedef struct
{
  MeshPeer peer;
  bool up, answers;
  OriginDir *voter; /* its directory; NULL: an older program */
  unsigned got;     /* records */
} End;

struct Mesh
{
  End ends[VOTERS_MAX];
  unsigned count;
};

static struct Loop loop;
static struct Mesh mesh, no_mesh;
static OriginDir *entry;

int64_t
loop_now (Loop *of)
{
  return of->clock.now;
}

FtClock *
loop_clock (Loop *of)
{
  return &of->clock.base;
}

void
loop_timer_set (Loop *of, LoopTimer *timer, int64_t at)
{
  loop_timer_stop (of, timer);
  timer->node.key = at;
  timer->armed = true;
  g_ptr_array_add (of->timers, timer);
}

void
loop_timer_stop (Loop *of, LoopTimer *timer)
{
  timer->armed = false;
  g_ptr_array_remove (of->timers, timer);
}

static void
pass_time (int64_t us)
{
  loop.clock.now += us;
  for (unsigned i = 0; i < loop.timers->len;)
    {
      LoopTimer *timer = loop.timers->pdata[i];
      if (timer->node.key > loop.clock.now)
        {
          i++;
          continue;
        }
      loop_timer_stop (&loop, timer);
      timer->fire (timer);
      i = 0;
    }
}

void
mesh_for_each_peer (Mesh *of, void (*fn) (MeshPeer *peer, void *data), void *data)
{
  for (unsigned i = 0; i < of->count; i++)
    if (of->ends[i].up)
      fn (&of->ends[i].peer, data);
}

static int64_t suspended_for; /* since the iteration began */

int64_t
loop_read_clock (Loop *of)
{
  return of->clock.now + suspended_for;
}

int64_t
mesh_arrived_at (const MeshPeer *peer)
{
  return peer->drained_at ? peer->drained_at : loop.clock.now;
}

static int64_t list_asked_at;

int64_t
servers_asked_at (const Servers *servers)
{
  (void) servers;
  return list_asked_at;
}

unsigned
servers_count (const Servers *servers)
{
  (void) servers;
  return 0;
}

const AdapterServer *
servers_at (const Servers *servers, unsigned index)
{
  (void) servers;
  (void) index;
  return NULL;
}

/* A voter's replies to the entry go through this peer, and wait for deliver. */
static MeshPeer to_entry;
static End *replying;

typedef struct
{
  End *from;
  GByteArray *bytes;
} Reply;

static GArray *replies;

static void
deliver (void)
{
  while (replies->len > 0)
    {
      Reply reply = g_array_index (replies, Reply, 0);
      MeshMsg msg = { 0 };
      g_array_remove_index (replies, 0);
      codec_unpack (CODEC (MeshMsg), reply.bytes->data, reply.bytes->len, &msg, NULL);
      if (reply.from->up)
        g_assert_true (origdir_message (entry, &reply.from->peer, &msg));
      codec_clear (CODEC (MeshMsg), &msg);
      g_byte_array_unref (reply.bytes);
    }
}

bool
mesh_send (MeshPeer *peer, const MeshMsg *msg)
{
  if (peer == &to_entry)
    {
      Reply reply = { replying, codec_pack (CODEC (MeshMsg), msg) };
      g_assert_nonnull (reply.bytes);
      g_array_append_val (replies, reply);
      return true;
    }
  End *end = (End *) peer;
  g_assert_nonnull (end->voter);
  end->got += msg->kind == MESH_ORIGINS ? msg->MeshMsg_u.origins.streams.streams_len : 0;
  replying = end;
  if (msg->kind == MESH_ORIGINS || end->answers)
    g_assert_true (origdir_message (end->voter, &to_entry, msg));
  return true;
}

/* ---- Fixture ---- */

static void
start (unsigned voters)
{
  loop.clock = test_clock ();
  loop.timers = g_ptr_array_new ();
  replies = g_array_new (FALSE, FALSE, sizeof (Reply));
  mesh.count = voters;
  for (unsigned i = 0; i < voters; i++)
    mesh.ends[i] = (End){ .peer = { .mesh = &mesh,
                                    .ip = 0x0a000001 + i,
                                    .role = MESH_VOTER,
                                    .dialled = true,
                                    .knows_origins = true },
                          .up = true,
                          .answers = true,
                          .voter = origdir_new (&loop, &no_mesh, 1000) };
  entry = origdir_new (&loop, &mesh, 1000);
}

static void
stop (void)
{
  origdir_free (entry);
  for (unsigned i = 0; i < mesh.count; i++)
    origdir_free (mesh.ends[i].voter);
  g_ptr_array_unref (loop.timers);
  g_array_unref (replies);
}

/* The entry starts anew, as the one to which a caller comes back. */
static void
restart_entry (void)
{
  origdir_free (entry);
  entry = origdir_new (&loop, &mesh, 1000);
}

static void
restart_voter (End *end)
{
  origdir_free (end->voter);
  end->voter = origdir_new (&loop, &no_mesh, 1000);
}

static Origin
origin_of (uint64_t stream)
{
  return (Origin){ stream, SERVICE, "v1", loop.clock.now + 8 * FT_SECOND };
}

static void
record (uint64_t stream)
{
  Origin origin = origin_of (stream);

  origdir_record (entry, &origin);
}

typedef struct
{
  OriginLookup lookup;
  unsigned calls;
  char version[8]; /* "": not known */
} Answer;

static void
on_done (OriginLookup *lookup, const Origin *origin)
{
  Answer *answer = (Answer *) lookup;

  answer->calls++;
  if (origin)
    g_strlcpy (answer->version, origin->version, sizeof answer->version);
}

static unsigned
ask (Answer *answer, uint64_t stream)
{
  *answer = (Answer){ 0 };
  unsigned asked = origdir_ask (entry, &answer->lookup, stream, FT_SECOND, on_done);
  deliver ();
  return asked;
}

static void
link_up (End *end)
{
  end->up = true;
  origdir_link_up (entry, &end->peer);
  deliver ();
}

/* ---- The table ---- */

/* Guards against a record of one organisation that answers for another, or for another attempt. */
static void
stream_ids (void)
{
  g_assert_cmpuint (origins_stream_id ("o", "1"), ==, origins_stream_id ("o", "1"));
  g_assert_cmpuint (origins_stream_id ("o", "1"), !=, origins_stream_id ("o", "2"));
  g_assert_cmpuint (origins_stream_id ("o", "1"), !=, origins_stream_id ("p", "1"));
  g_assert_cmpuint (origins_stream_id ("o1", ""), !=, origins_stream_id ("o", "1"));
  g_assert_cmpuint (origins_stream_id (NULL, "1"), ==, origins_stream_id ("", "1"));
}

/* Guards against a table that forgets records too early, keeps them too long or grows without
 * bound: random records, compared with a simple model. */
static void
random_records (void)
{
  enum
  {
    STREAMS = 40,
    MAX = 16
  };
  TestClock clock = test_clock ();
  Origins *origins = origins_new (&clock.base, MAX);
  int64_t until[STREAMS] = { 0 };
  unsigned versions[STREAMS] = { 0 }, order[STREAMS] = { 0 }, number = 0;
  GRand *random = g_rand_new_with_seed (7);

  for (unsigned step = 0; step < 20000; step++)
    {
      unsigned stream = (unsigned) g_rand_int_range (random, 0, STREAMS);
      clock.now += g_rand_int_range (random, 0, 300) * FT_MS;
      if (g_rand_boolean (random))
        {
          char version[8];
          versions[stream] = (unsigned) g_rand_int_range (random, 0, 3);
          g_snprintf (version, sizeof version, "v%u", versions[stream]);
          until[stream] = clock.now + 4 * FT_SECOND;
          order[stream] = ++number;
          origins_record (origins, &(Origin){ stream, SERVICE, version, until[stream] });
        }
      unsigned newer = 0;
      for (unsigned i = 0; i < STREAMS; i++)
        newer += order[i] > order[stream];
      const Origin *found = origins_find (origins, stream);
      bool wanted = order[stream] > 0 && until[stream] > clock.now && newer < MAX;
      g_assert_true ((found != NULL) == wanted);
      if (found)
        g_assert_cmpint (found->version[1] - '0', ==, (int) versions[stream]);
      g_assert_cmpuint (origins_count (origins), <=, MAX);
    }
  g_rand_free (random);
  origins_free (origins);
}

/* Lists the versions once a second for some time. */
static void
watch (Origins *origins, TestClock *clock, int64_t us, const char *version, const char *other)
{
  for (int64_t end = clock->now + us; clock->now < end;)
    {
      clock->now += FT_SECOND;
      origins_note_listed (origins, SERVICE, version, 0);
      if (other)
        origins_note_listed (origins, SERVICE, other, 0);
      origins_note_list (origins, clock->now);
    }
}

/* Guards against taking the only listed version for a stream that an earlier one may have begun. */
static void
only_version (void)
{
  TestClock clock = test_clock ();
  Origins *origins = origins_new (&clock.base, 10);

  g_assert_null (origins_only_version (origins, SERVICE, clock.now));
  origins_note_listed (origins, "other", "v7", 0);
  watch (origins, &clock, ORIGINS_TIME_MAX + FT_SECOND, "v1", NULL);
  g_assert_cmpstr (origins_only_version (origins, SERVICE, clock.now), ==, "v1");
  g_assert_null (origins_only_version (origins, "none", clock.now));
  watch (origins, &clock, FT_SECOND, "v2", NULL);
  g_assert_null (origins_only_version (origins, SERVICE, clock.now));
  watch (origins, &clock, ORIGINS_TIME_MAX - FT_SECOND, "v1", "v2"); /* v1 is listed until now */
  watch (origins, &clock, ORIGINS_TIME_MAX / 2, "v2", NULL);
  g_assert_null (origins_only_version (origins, SERVICE, clock.now));
  watch (origins, &clock, ORIGINS_TIME_MAX / 2, "v2", NULL);
  g_assert_cmpstr (origins_only_version (origins, SERVICE, clock.now), ==, "v2");
  origins_free (origins);
}

/* Guards against taking the first list, or the first one after a pause, for all versions that were
 * listed lately. */
static void
watched_too_short (void)
{
  TestClock clock = test_clock ();
  Origins *origins = origins_new (&clock.base, 10);

  watch (origins, &clock, ORIGINS_TIME_MAX - FT_SECOND, "v2", NULL);
  g_assert_null (origins_only_version (origins, SERVICE, clock.now));
  watch (origins, &clock, 2 * FT_SECOND, "v2", NULL);
  g_assert_cmpstr (origins_only_version (origins, SERVICE, clock.now), ==, "v2");
  clock.now += 6 * FT_SECOND;
  g_assert_null (origins_only_version (origins, SERVICE, clock.now));
  watch (origins, &clock, FT_SECOND, "v2", NULL);
  g_assert_null (origins_only_version (origins, SERVICE, clock.now));
  origins_set_complete (origins, clock.now);
  g_assert_cmpstr (origins_only_version (origins, SERVICE, clock.now), ==, "v2");
  origins_note_listed (origins, SERVICE, "v1", 50 * FT_SECOND);
  g_assert_null (origins_only_version (origins, SERVICE, clock.now));
  watch (origins, &clock, 11 * FT_SECOND, "v2", NULL);
  g_assert_cmpstr (origins_only_version (origins, SERVICE, clock.now), ==, "v2");
  origins_free (origins);
}

/* Guards against believing anyone but a voter on which versions were listed, and against an entry
 * that does not use what the voter in charge tells it. */
static void
versions_are_told (void)
{
  char service[] = SERVICE, old[] = "v1", new[] = "v2";
  MeshListedVersion versions[] = { { service, new, 0, false }, { service, old, 70000, false } };
  MeshMsg msg = { .kind = MESH_LISTED };

  start (1);
  MeshPeer *voter = &mesh.ends[0].peer;
  msg.MeshMsg_u.listed.versions.versions_val = versions;
  msg.MeshMsg_u.listed.versions.versions_len = 2;
  voter->dialled = false;
  g_assert_true (origdir_message (entry, voter, &msg));
  g_assert_null (origdir_only_version (entry, SERVICE));
  voter->dialled = true;
  g_assert_true (origdir_message (entry, voter, &msg));
  g_assert_null (origdir_only_version (entry, SERVICE)); /* without a list of its own */
  list_asked_at = loop.clock.now;
  origdir_note_list (entry, NULL);
  g_assert_cmpstr (origdir_only_version (entry, SERVICE), ==, "v2");
  suspended_for = 4 * FT_SECOND;
  g_assert_null (origdir_only_version (entry, SERVICE)); /* by the clock itself */
  suspended_for = 0;
  versions[1].age_ms = 30000;
  g_assert_true (origdir_message (entry, voter, &msg));
  g_assert_null (origdir_only_version (entry, SERVICE));
  stop ();
  list_asked_at = 0;
}

/* Guards against taking for new what the voter in charge told before this entry was suspended. */
static void
versions_were_told (void)
{
  char service[] = SERVICE, new[] = "v2";
  MeshListedVersion version = { service, new, 0, false };
  MeshMsg msg = { .kind = MESH_LISTED };

  start (1);
  MeshPeer *voter = &mesh.ends[0].peer;
  msg.MeshMsg_u.listed.versions.versions_val = &version;
  msg.MeshMsg_u.listed.versions.versions_len = 1;
  voter->drained_at = loop.clock.now;
  pass_time (8 * FT_SECOND);
  list_asked_at = loop.clock.now;
  origdir_note_list (entry, NULL);
  g_assert_true (origdir_message (entry, voter, &msg));
  g_assert_null (origdir_only_version (entry, SERVICE));
  stop ();
  list_asked_at = 0;
}

/* Guards against believing an old list, and against taking for new what an instance that was
 * suspended had received before. */
static void
old_knowledge (void)
{
  TestClock clock = test_clock ();
  Origins *origins = origins_new (&clock.base, 10);

  watch (origins, &clock, ORIGINS_TIME_MAX + FT_SECOND, "v1", NULL);
  int64_t before = clock.now;
  g_assert_cmpstr (origins_only_version (origins, SERVICE, before + ORIGINS_LIST_AGE_MAX), ==,
                   "v1");
  g_assert_null (origins_only_version (origins, SERVICE, before + ORIGINS_LIST_AGE_MAX + 1));
  clock.now += 20 * FT_SECOND;
  origins_note_list (origins, before + FT_SECOND / 2);
  g_assert_null (origins_only_version (origins, SERVICE, clock.now));
  origins_note_list (origins, clock.now);
  g_assert_null (origins_only_version (origins, SERVICE, clock.now));
  origins_set_complete (origins, before + FT_SECOND);
  g_assert_null (origins_only_version (origins, SERVICE, clock.now));
  origins_set_complete (origins, clock.now - FT_SECOND);
  g_assert_cmpstr (origins_only_version (origins, SERVICE, clock.now), ==, "v1");
  origins_free (origins);
}

/* ---- The directory ---- */

/* Guards against losing an origin with the entry and two voters. */
static void
three_holders (void)
{
  unsigned total = 0;

  start (VOTERS_MAX);
  for (uint64_t stream = 1; stream <= 300; stream++)
    record (stream * 0x9e3779b97f4a7c15u);
  for (unsigned i = 0; i < VOTERS_MAX; i++)
    {
      total += mesh.ends[i].got;
      g_assert_cmpuint (mesh.ends[i].got, >, 50); /* of 100 */
    }
  g_assert_cmpuint (total, ==, 900);
  restart_entry ();
  for (unsigned lost = 0; lost + 1 < VOTERS_MAX; lost += 2)
    {
      mesh.ends[lost].up = mesh.ends[lost + 1].up = false;
      for (uint64_t stream = 1; stream <= 300; stream++)
        {
          Answer answer;
          ask (&answer, stream * 0x9e3779b97f4a7c15u);
          g_assert_cmpstr (answer.version, ==, "v1");
        }
      mesh.ends[lost].up = mesh.ends[lost + 1].up = true;
    }
  stop ();
}

/* Guards against voters that do not know what was begun before they started, or while the entry was
 * alone. */
static void
sent_on_new_links (void)
{
  Answer answer;

  start (3);
  for (unsigned i = 0; i < 3; i++)
    mesh.ends[i].up = false;
  for (uint64_t stream = 1; stream <= 200; stream++)
    record (stream);
  for (unsigned i = 0; i < 3; i++)
    {
      link_up (&mesh.ends[i]);
      g_assert_cmpuint (mesh.ends[i].got, ==, 200);
    }
  restart_entry ();
  ask (&answer, 77);
  g_assert_cmpstr (answer.version, ==, "v1");
  pass_time (9 * FT_SECOND);
  ask (&answer, 77); /* its caller's time is over */
  pass_time (FT_SECOND);
  g_assert_cmpuint (answer.calls, ==, 1);
  g_assert_cmpstr (answer.version, ==, "");
  stop ();
}

/* Guards against believing one voter that has started anew. */
static void
one_denial (void)
{
  Answer answer;

  start (3);
  record (1);
  restart_entry ();
  restart_voter (&mesh.ends[0]);
  mesh.ends[1].up = mesh.ends[2].up = false;
  g_assert_cmpuint (ask (&answer, 1), ==, 1);
  pass_time (20 * FT_MS);
  g_assert_cmpuint (answer.calls, ==, 0);
  link_up (&mesh.ends[1]);
  g_assert_cmpuint (answer.calls, ==, 1);
  g_assert_cmpstr (answer.version, ==, "v1");
  stop ();
}

/* Guards against a caller that waits although all who could know it have answered. */
static void
nobody_knows (void)
{
  Answer answer;

  start (3);
  g_assert_cmpuint (ask (&answer, 1), ==, 3);
  pass_time (0);
  g_assert_cmpuint (answer.calls, ==, 1);
  g_assert_cmpstr (answer.version, ==, "");
  mesh.ends[2].answers = false; /* cut off in silence; the others answer */
  ask (&answer, 2);
  pass_time (0);
  g_assert_cmpuint (answer.calls, ==, 0);
  mesh.ends[2].up = false;
  origdir_link_down (entry, &mesh.ends[2].peer);
  pass_time (0);
  g_assert_cmpuint (answer.calls, ==, 1);
  stop ();
}

/* Guards against refusing a caller that comes back while all links are down for a moment. */
static void
links_come_up (void)
{
  Answer answer;

  start (3);
  record (1);
  restart_entry ();
  for (unsigned i = 0; i < 3; i++)
    mesh.ends[i].up = false;
  g_assert_cmpuint (ask (&answer, 1), ==, 0);
  pass_time (300 * FT_MS);
  g_assert_cmpuint (answer.calls, ==, 0);
  link_up (&mesh.ends[1]);
  g_assert_cmpstr (answer.version, ==, "v1");
  for (unsigned i = 0; i < 3; i++)
    mesh.ends[i].up = false;
  ask (&answer, 2);
  pass_time (FT_SECOND);
  g_assert_cmpuint (answer.calls, ==, 1);
  g_assert_cmpstr (answer.version, ==, "");
  stop ();
}

/* Guards against closing the links to older programs with messages that they do not know. */
static void
older_peers (void)
{
  Answer answer;

  start (3);
  for (unsigned i = 0; i < 3; i++)
    {
      mesh.ends[i].peer.knows_origins = false;
      origdir_free (mesh.ends[i].voter);
      mesh.ends[i].voter = NULL; /* a message to it fails the test */
    }
  record (1);
  origdir_link_up (entry, &mesh.ends[0].peer);
  g_assert_cmpuint (ask (&answer, 2), ==, 0);
  origdir_cancel (&answer.lookup);
  g_assert_nonnull (origdir_find (entry, 1));
  stop ();
}

/* Guards against answers for a request that is gone. */
static void
cancelled (void)
{
  Answer answer;

  start (3);
  for (unsigned i = 0; i < 3; i++)
    mesh.ends[i].answers = false;
  ask (&answer, 1);
  origdir_cancel (&answer.lookup);
  pass_time (2 * FT_SECOND);
  origdir_link_up (entry, &mesh.ends[0].peer);
  g_assert_cmpuint (answer.calls, ==, 0);
  stop ();
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/origdir/stream_ids", stream_ids);
  g_test_add_func ("/origdir/random_records", random_records);
  g_test_add_func ("/origdir/only_version", only_version);
  g_test_add_func ("/origdir/watched_too_short", watched_too_short);
  g_test_add_func ("/origdir/versions_are_told", versions_are_told);
  g_test_add_func ("/origdir/versions_were_told", versions_were_told);
  g_test_add_func ("/origins/old_knowledge", old_knowledge);
  g_test_add_func ("/origdir/three_holders", three_holders);
  g_test_add_func ("/origdir/sent_on_new_links", sent_on_new_links);
  g_test_add_func ("/origdir/one_denial", one_denial);
  g_test_add_func ("/origdir/nobody_knows", nobody_knows);
  g_test_add_func ("/origdir/links_come_up", links_come_up);
  g_test_add_func ("/origdir/older_peers", older_peers);
  g_test_add_func ("/origdir/cancelled", cancelled);
  return g_test_run ();
}
