/* relays.c - which relays the voter in charge names to entries, over links on loopback. */
#include "relays.h"

#define TEST_TIMEOUT (60 * FT_SECOND) /* only ends a test that hangs */
#define PORT         24200
#define PORT_COUNT   400
#define VOTERS       2
#define ENTRIES_MAX  12
#define ENTRY_IP     0x7f000201 /* of the first entry */
#define TICK_US      (20 * FT_MS)
#define SETTLED      25 /* ticks without a message, more than two intervals of node/relays.c */
#define AWAY_US      (2 * FT_SECOND)

typedef struct
{
  Mesh *mesh; /* NULL: gone */
  const char *domain;
  uint32_t relays[MESH_RELAYS_MAX]; /* as named last */
  unsigned count, messages;
  unsigned links; /* to voters */
  bool leaving, cut_off;
} Entry;

typedef struct
{
  Mesh *mesh;
  Relays *relays;
  unsigned links;
} Voter;

static Loop *loop;
static LoopTimer watchdog;
static uint16_t port;
static Voter voters[VOTERS];
static Entry entries[ENTRIES_MAX];
static unsigned entry_count, in_charge, link_changes;

static uint32_t
entry_ip (unsigned index)
{
  return ENTRY_IP + index;
}

/* ---- Links ---- */

static void
on_voter_link_up (void *host, MeshPeer *peer)
{
  (void) peer;
  ((Voter *) host)->links++;
  link_changes++;
}

static void
on_voter_link_down (void *host, MeshPeer *peer)
{
  Voter *voter = host;

  voter->links--;
  link_changes++;
  relays_link_down (voter->relays, peer);
}

static void
ignore_message (void *host, MeshPeer *peer, const MeshMsg *msg)
{
  (void) host;
  (void) peer;
  (void) msg;
}

static void
ignore_link (void *host, MeshPeer *peer)
{
  (void) host;
  (void) peer;
}

static void
on_entry_message (void *host, MeshPeer *peer, const MeshMsg *msg)
{
  Entry *entry = host;

  (void) peer;
  if (msg->kind != MESH_RELAYS)
    return;
  entry->messages++;
  entry->count = msg->MeshMsg_u.relays.relays.relays_len;
  for (unsigned i = 0; i < entry->count; i++)
    entry->relays[i] = msg->MeshMsg_u.relays.relays.relays_val[i];
}

static const MeshOps voter_ops = { on_voter_link_up, ignore_message, on_voter_link_down };
static const MeshOps entry_ops = { ignore_link, on_entry_message, ignore_link };

static void
on_watchdog (LoopTimer *timer)
{
  (void) timer;
  g_error ("the test timed out");
}

static void
on_stop (LoopTimer *timer)
{
  (void) timer;
  loop_stop (loop);
}

static Mesh *
mesh_at (uint32_t ip, MeshRole role, const char *domain, const MeshOps *ops, void *host)
{
  MeshHello hello = { .address = ip, .lifetime = ip, .role = role, .domain = (char *) domain };

  return mesh_new (loop, (SockAddr){ ip, port }, port, &hello, ops, host);
}

static void
keep_alive (MeshPeer *peer, void *data)
{
  (void) data;
  mesh_keep_alive (peer, 200 * FT_MS);
}

/* One tick of the voter in charge. */
static void
tick (void)
{
  LoopTimer timer = { .fire = on_stop };

  relays_tick (voters[in_charge].relays);
  for (unsigned i = 0; i < VOTERS; i++)
    mesh_for_each_peer (voters[i].mesh, keep_alive, NULL);
  loop_timer_set (loop, &timer, loop_now (loop) + TICK_US);
  loop_run (loop);
}

static unsigned
count_messages (void)
{
  unsigned sum = 0;

  for (unsigned i = 0; i < entry_count; i++)
    sum += entries[i].messages;
  return sum;
}

/* Ticks until all links are up or down as they should be and nothing is sent any more. */
static void
settle (void)
{
  unsigned alive = 0, quiet = 0, before = count_messages ();

  for (unsigned i = 0; i < entry_count; i++)
    alive += entries[i].mesh != NULL;
  while (quiet < SETTLED)
    {
      tick ();
      bool changed = count_messages () != before;
      for (unsigned i = 0; i < VOTERS; i++)
        changed |= voters[i].links != alive;
      quiet = changed ? 0 : quiet + 1;
      before = count_messages ();
    }
}

static void
add_entries (unsigned count, const char *domain)
{
  for (unsigned i = 0; i < count; i++)
    {
      unsigned index = entry_count++;
      Entry *entry = &entries[index];
      *entry = (Entry){ .domain = domain };
      entry->mesh = mesh_at (entry_ip (index), MESH_ENTRY, domain, &entry_ops, entry);
      g_assert_nonnull (entry->mesh);
      for (unsigned j = 0; j < VOTERS; j++)
        mesh_dial (entry->mesh, 0x7f000001 + j);
    }
}

static void
set_up (void)
{
  loop = loop_new ();
  watchdog.fire = on_watchdog;
  loop_timer_set (loop, &watchdog, loop_now (loop) + TEST_TIMEOUT);
  entry_count = in_charge = 0;
  /* Whoever has the first voter's address on a port has the others on it too. */
  for (port = PORT, voters[0].mesh = NULL; port < PORT + PORT_COUNT; port++)
    if ((voters[0].mesh = mesh_at (0x7f000001, MESH_VOTER, "a", &voter_ops, &voters[0])))
      break;
  for (unsigned i = 0; i < VOTERS; i++)
    {
      if (i > 0)
        voters[i].mesh = mesh_at (0x7f000001 + i, MESH_VOTER, "a", &voter_ops, &voters[i]);
      g_assert_nonnull (voters[i].mesh);
      voters[i].relays = relays_new (loop, voters[i].mesh);
      voters[i].links = 0;
    }
}

static void
tear_down (void)
{
  for (unsigned i = 0; i < entry_count; i++)
    mesh_free (entries[i].mesh);
  for (unsigned i = VOTERS; i-- > 0;) /* the address that keeps the port is freed last */
    {
      mesh_free (voters[i].mesh);
      relays_free (voters[i].relays);
    }
  loop_timer_stop (loop, &watchdog);
  loop_free (loop);
}

/* ---- What entries were told ---- */

static bool
is_named (const Entry *entry, unsigned index)
{
  for (unsigned i = 0; i < entry->count; i++)
    if (entry->relays[i] == entry_ip (index))
      return true;
  return false;
}

/* All entries that are linked have been named others that are usable, each once. */
static void
assert_valid (void)
{
  for (unsigned i = 0; i < entry_count; i++)
    {
      const Entry *entry = &entries[i];
      for (unsigned j = 0; entry->mesh && j < entry->count; j++)
        {
          unsigned index = entry->relays[j] - ENTRY_IP;
          g_assert_cmpuint (index, <, entry_count);
          g_assert_cmpuint (index, !=, i);
          g_assert_nonnull (entries[index].mesh);
          g_assert_false (entries[index].leaving);
          g_assert_false (entries[index].cut_off);
          for (unsigned k = 0; k < j; k++)
            g_assert_cmpuint (entry->relays[k], !=, entry->relays[j]);
        }
    }
}

static void
assert_count (unsigned count)
{
  for (unsigned i = 0; i < entry_count; i++)
    if (entries[i].mesh)
      g_assert_cmpuint (entries[i].count, ==, count);
}

static void
assert_elsewhere (void)
{
  for (unsigned i = 0; i < entry_count; i++)
    for (unsigned j = 0; j < entry_count; j++)
      if (is_named (&entries[i], j))
        g_assert_cmpstr (entries[i].domain, !=, entries[j].domain);
}

static unsigned
clients_of (unsigned index)
{
  unsigned count = 0;

  for (unsigned i = 0; i < entry_count; i++)
    count += is_named (&entries[i], index);
  return count;
}

static void
change (unsigned index, bool leaving, bool cut_off)
{
  entries[index].leaving = leaving;
  entries[index].cut_off = cut_off;
  mesh_update_hello (entries[index].mesh, leaving, cut_off, 0);
}

/* Guards against relays that are cut off together with their client. */
static void
relays_are_in_other_domains (void)
{
  set_up ();
  add_entries (4, "a");
  add_entries (4, "b");
  settle ();
  assert_valid ();
  assert_count (MESH_RELAYS_MAX);
  assert_elsewhere ();
  tear_down ();
}

/* The same for entries that were there before those of any other domain. */
static void
relays_move_to_later_domains (void)
{
  set_up ();
  add_entries (5, "a");
  settle ();
  assert_count (MESH_RELAYS_MAX);
  add_entries (5, "b");
  settle ();
  assert_valid ();
  assert_elsewhere ();
  tear_down ();
}

/* Guards against an entry that has no relay because all others are in its own failure domain. */
static void
own_domain_is_better_than_none (void)
{
  set_up ();
  add_entries (1, "a");
  settle ();
  assert_count (0);
  add_entries (2, "a");
  settle ();
  assert_valid ();
  assert_count (2);
  tear_down ();
}

/* Guards against a few entries that carry the requests of all that are cut off. */
static void
relays_are_spread (void)
{
  set_up ();
  add_entries (6, "a");
  add_entries (6, "b");
  settle ();
  for (unsigned i = 0; i < entry_count; i++)
    {
      g_assert_cmpuint (clients_of (i), >=, MESH_RELAYS_MAX / 2);
      g_assert_cmpuint (clients_of (i), <=, MESH_RELAYS_MAX * 2);
    }
  tear_down ();
}

/* Guards against relays that leave, are cut off or are gone and stay named, and against entries
 * that get none while they are cut off themselves. */
static void
unusable_relays_are_replaced (void)
{
  set_up ();
  add_entries (5, "a");
  add_entries (5, "b");
  settle ();
  change (0, false, true);
  settle ();
  assert_valid ();
  assert_count (MESH_RELAYS_MAX);
  change (1, true, false);
  change (6, true, true);
  settle ();
  assert_valid ();
  mesh_free (entries[7].mesh);
  entries[7].mesh = NULL;
  settle ();
  assert_valid ();
  assert_count (MESH_RELAYS_MAX);
  change (0, false, false);
  change (6, false, false);
  settle ();
  assert_valid ();
  assert_count (MESH_RELAYS_MAX);
  tear_down ();
}

/* Guards against relays that stay named where none is left. */
static void
none_is_left (void)
{
  set_up ();
  add_entries (3, "a");
  settle ();
  assert_count (2);
  for (unsigned i = 0; i < entry_count; i++)
    change (i, false, true);
  settle ();
  assert_count (0);
  change (2, false, false);
  settle ();
  g_assert_cmpuint (entries[0].count, ==, 1);
  g_assert_cmpuint (entries[1].count, ==, 1);
  g_assert_cmpuint (entries[2].count, ==, 0);
  assert_valid ();
  tear_down ();
}

/* Guards against messages to hundreds of entries in each interval, though nothing has changed. */
static void
unchanged_relays_are_not_sent_again (void)
{
  set_up ();
  add_entries (4, "a");
  add_entries (4, "b");
  settle ();
  unsigned links_before, sent;
  do /* a link that was lost meanwhile is a change */
    {
      links_before = link_changes;
      sent = count_messages ();
      for (unsigned i = 0; i < 2 * SETTLED; i++)
        tick ();
      sent = count_messages () - sent;
    }
  while (link_changes != links_before);
  g_assert_cmpuint (sent, ==, 0);
  tear_down ();
}

/* Guards against an entry that keeps the relay that another voter has named, and that is gone,
 * because the voter back in charge believes that the entry has those that it had named itself. */
static void
relays_of_another_voter_are_replaced (void)
{
  set_up ();
  add_entries (6, "a");
  add_entries (6, "b");
  settle ();
  in_charge = 1;
  for (int64_t until = loop_now (loop) + AWAY_US; loop_now (loop) < until;)
    tick ();
  /* All relays of one entry change, so the other voter names it new ones. */
  for (unsigned i = 0; i < entry_count; i++)
    if (is_named (&entries[0], i))
      change (i, false, true);
  settle ();
  for (unsigned i = 0; i < entry_count; i++)
    if (entries[i].cut_off)
      change (i, false, false);
  settle ();
  assert_valid ();
  in_charge = 0;
  for (unsigned i = 0; i < entry_count; i++)
    if (is_named (&entries[0], i))
      change (i, false, true);
  settle ();
  assert_valid ();
  assert_count (MESH_RELAYS_MAX);
  tear_down ();
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/relays/other_domains", relays_are_in_other_domains);
  g_test_add_func ("/relays/own_domain", own_domain_is_better_than_none);
  g_test_add_func ("/relays/spread", relays_are_spread);
  g_test_add_func ("/relays/replaced", unusable_relays_are_replaced);
  g_test_add_func ("/relays/none_left", none_is_left);
  g_test_add_func ("/relays/unchanged", unchanged_relays_are_not_sent_again);
  g_test_add_func ("/relays/later_domains", relays_move_to_later_domains);
  g_test_add_func ("/relays/another_voter", relays_of_another_voter_are_replaced);
  return g_test_run ();
}
