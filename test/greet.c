/* greet.c - a voter's file of entries, and the links on which it greets entries. */
#include "greet.h"
#include "peer.h"

#include <arpa/inet.h>
#include <glib/gstdio.h>

#define PORT  22900
#define ENTRY 0x7f000002

static Loop *loop;
static Mesh *mesh;
static Greet *greet;
static char *folder, *file;
static const uint32_t voters[] = { 0x7f000003, 0x7f000004 };

static void
set_up (void)
{
  loop = loop_new ();
  mesh = test_mesh_new (loop, MESH_VOTER, PORT);
  g_assert_nonnull (mesh);
  folder = g_dir_make_tmp ("greet-XXXXXX", NULL);
  file = g_build_filename (folder, "entries", NULL);
}

static void
tear_down (void)
{
  mesh_free (mesh);
  loop_free (loop);
  g_remove (file);
  g_assert_cmpint (g_rmdir (folder), ==, 0);
  g_free (file);
  g_free (folder);
}

static unsigned
count_known (const char *text, gssize size)
{
  g_assert_true (g_file_set_contents (file, text, size, NULL));
  greet = greet_new (loop, mesh, 0x7f000001, folder);
  unsigned known = greet_known_count (greet);
  greet_free (greet);
  return known;
}

static char *
addresses (unsigned count)
{
  GString *text = g_string_new (NULL);

  for (unsigned i = 0; i < count; i++)
    g_string_append_printf (text, "10.1.%u.%u\n", i / 250, i % 250);
  return g_string_free (text, FALSE);
}

/* Guards against a damaged file, for example after a loss of power: a truncated address is dialled,
 * the voter does not start, or it dials addresses that are not valid. */
static void
test_damaged_file (void)
{
  set_up ();
  greet = greet_new (loop, mesh, 0x7f000001, folder); /* no file */
  g_assert_cmpuint (greet_known_count (greet), ==, 0);
  greet_free (greet);
  g_assert_cmpuint (count_known ("", 0), ==, 0);
  g_assert_cmpuint (count_known ("10.0.0.1\n10.0.0.2\n", -1), ==, 2);
  g_assert_cmpuint (count_known ("10.0.0.1\n10.0.0.2", -1), ==, 1);
  g_assert_cmpuint (count_known ("10.0.0.1\n10.0.0\n10.0.0.300\n\n0.0.0.0\n10.0.0.2\n", -1), ==, 2);
  g_assert_cmpuint (count_known ("10.0.0.1\n\0\n\377\200", 13), ==, 1);
  g_assert_cmpuint (count_known ("127.0.0.1\n10.0.0.1\n10.0.0.1\n224.0.0.1\n255.255.255.255\n", -1),
                    ==, 1); /* own address, duplicate, not unicast */
  char *many = addresses (GREET_ADDRESSES_MAX + 20);
  g_assert_cmpuint (count_known (many, -1), ==, GREET_ADDRESSES_MAX);
  g_free (many);
  char *padding = g_strnfill (GREET_ADDRESSES_MAX * 16, '\n');
  many = g_strconcat ("10.0.0.1\n", padding, NULL);
  g_free (padding);
  g_assert_cmpuint (count_known (many, -1), ==, 0); /* longer than any file that a voter writes */
  g_free (many);
  g_remove (file);
  g_assert_cmpint (g_mkdir (file, 0700), ==, 0); /* a folder cannot be read */
  greet = greet_new (loop, mesh, 0x7f000001, folder);
  g_assert_cmpuint (greet_known_count (greet), ==, 0);
  greet_free (greet);
  tear_down ();
}

/* Entries that dial the voter are remembered in the file, beyond the maximum only the newest; a
 * restarted voter reads them. */
static void
test_file_survives_restart (void)
{
  set_up ();
  TestPeer entry = test_peer_new (loop, mesh, ENTRY, MESH_ENTRY, false);
  greet = greet_new (loop, mesh, 0x7f000001, folder);
  for (unsigned i = 0; i <= GREET_ADDRESSES_MAX; i++)
    {
      entry.peer.ip = ENTRY + i;
      g_assert_false (greet_link_up (greet, &entry.peer));
    }
  g_assert_false (greet_link_up (greet, &entry.peer));
  greet_free (greet);
  greet = greet_new (loop, mesh, 0x7f000001, folder);
  g_assert_cmpuint (greet_known_count (greet), ==, GREET_ADDRESSES_MAX);
  greet_free (greet);
  char *text = NULL;
  g_assert_true (g_file_get_contents (file, &text, NULL, NULL));
  g_assert_true (g_str_has_prefix (text, "127.0.4.2\n127.0.4.1\n"));
  g_assert_null (strstr (text, "127.0.0.2\n"));
  g_free (text);
  test_peer_free (&entry);
  tear_down ();
}

/* On a link that it dialled to an entry, the voter sends the addresses of the voters and does not
 * claim to schedule. Neither this link nor one from a voter counts as dialled by an entry. */
static void
test_greeting_link (void)
{
  MeshMsg msg;

  set_up ();
  greet = greet_new (loop, mesh, 0x7f000001, folder);
  greet_tick (greet, voters, G_N_ELEMENTS (voters));
  TestPeer entry = test_peer_new (loop, mesh, ENTRY, MESH_ENTRY, true);
  TestPeer voter = test_peer_new (loop, mesh, voters[0], MESH_VOTER, false);
  g_assert_true (greet_link_up (greet, &entry.peer));
  g_assert_true (greet_is_greeting_link (&entry.peer));
  g_assert_true (test_peer_next (&entry, &msg));
  g_assert_cmpint (msg.kind, ==, MESH_VIEW);
  g_assert_cmpuint (msg.MeshMsg_u.view.voters.voters_len, ==, G_N_ELEMENTS (voters));
  g_assert_cmpmem (msg.MeshMsg_u.view.voters.voters_val, sizeof voters, voters, sizeof voters);
  g_assert_false (msg.MeshMsg_u.view.proved);
  codec_clear (CODEC (MeshMsg), &msg);
  g_assert_false (test_peer_next (&entry, &msg));
  g_assert_false (greet_link_up (greet, &voter.peer));
  g_assert_false (greet_is_greeting_link (&voter.peer));
  g_assert_false (test_peer_next (&voter, &msg));
  g_assert_cmpuint (greet_known_count (greet), ==, 0);
  greet_free (greet);
  test_peer_free (&entry);
  test_peer_free (&voter);
  tear_down ();
}

/* ---- Over real connections ---- */

#define LISTENERS  40
#define SOON_RUNS  150  /* loop runs, well below the 10 s after which all greetings end */
#define ENDED_RUNS 5000 /* loop runs, above the 10 s */

static unsigned views_received; /* by all entries */
static unsigned incoming_links; /* open links to entries that others dialled */

static void
on_voter_link_up (void *host, MeshPeer *peer)
{
  (void) host;
  greet_link_up (greet, peer);
}

static void
on_entry_link_up (void *host, MeshPeer *peer)
{
  (void) host;
  incoming_links += !peer->dialled;
}

static void
on_entry_link_down (void *host, MeshPeer *peer)
{
  (void) host;
  incoming_links -= !peer->dialled;
}

static void
on_entry_message (void *host, MeshPeer *peer, const MeshMsg *msg)
{
  (void) host;
  (void) peer;
  views_received += msg->kind == MESH_VIEW;
}

static const MeshOps voter_ops = { on_voter_link_up, test_ignore_message, test_ignore_link };
static const MeshOps entry_ops = { on_entry_link_up, on_entry_message, on_entry_link_down };

static Mesh *meshes[3]; /* they send keep-alives; NULL: unused */

static void
keep_alive (MeshPeer *peer, void *data)
{
  (void) data;
  if (!peer->dialled)
    mesh_keep_alive (peer, 200 * FT_MS);
}

static Mesh *
mesh_at (uint32_t ip, uint16_t port, MeshRole role, const MeshOps *ops)
{
  MeshHello hello = { .address = ip, .lifetime = ip, .role = role, .domain = (char *) "z" };

  return mesh_new (loop, (SockAddr){ ip, port }, port, &hello, ops, NULL);
}

/* Creates the meshes of a voter and an entry on the first port that is free for both. Returns the
 * entry's. */
static Mesh *
set_up_both (uint16_t *port)
{
  Mesh *entry = NULL;

  set_up ();
  mesh_free (mesh);
  mesh = NULL;
  for (*port = PORT; entry == NULL && *port < PORT + 400; *port += 1)
    {
      mesh = mesh_at (0x7f000001, *port, MESH_VOTER, &voter_ops);
      entry = mesh ? mesh_at (ENTRY, *port, MESH_ENTRY, &entry_ops) : NULL;
      if (entry)
        break;
      mesh_free (mesh);
    }
  g_assert_nonnull (entry);
  views_received = incoming_links = 0;
  meshes[0] = mesh;
  meshes[1] = entry;
  meshes[2] = NULL;
  return entry;
}

static void
stop_loop (LoopTimer *timer)
{
  (void) timer;
  loop_stop (loop);
}

static void
run_loop_briefly (void)
{
  LoopTimer timer = { .fire = stop_loop };

  loop_timer_set (loop, &timer, loop_now (loop) + 20 * FT_MS);
  loop_run (loop);
}

static void
tick (unsigned runs)
{
  for (unsigned i = 0; i < runs; i++)
    {
      greet_tick (greet, voters, G_N_ELEMENTS (voters));
      for (unsigned m = 0; m < G_N_ELEMENTS (meshes); m++)
        if (meshes[m])
          mesh_for_each_peer (meshes[m], keep_alive, NULL);
      run_loop_briefly ();
    }
}

static void
tick_until (const unsigned *count, unsigned wanted, unsigned runs)
{
  for (unsigned i = 0; *count != wanted && i < runs; i++)
    tick (1);
  g_assert_cmpuint (*count, ==, wanted);
}

/* Guards against greeting links that stay open and entries that are greeted repeatedly, which adds
 * up to hundreds of unneeded connections. An entry is greeted once, and the link is closed when the
 * entry has dialled. */
static void
test_greeted_once (void)
{
  uint16_t port;
  Mesh *entry = set_up_both (&port);

  g_assert_true (g_file_set_contents (file, "127.0.0.2\n", -1, NULL));
  greet = greet_new (loop, mesh, 0x7f000001, folder);
  tick_until (&views_received, 1, SOON_RUNS);
  g_assert_cmpuint (incoming_links, ==, 1);
  mesh_dial (entry, 0x7f000001);
  tick_until (&incoming_links, 0, SOON_RUNS);
  g_assert_nonnull (mesh_find_dialled (entry, 0x7f000001));
  tick (20);
  g_assert_cmpuint (views_received, ==, 1);
  g_assert_cmpuint (incoming_links, ==, 0);
  mesh_free (entry);
  greet_free (greet);
  tear_down ();
}

/* Guards against dialling for ever an entry that does not dial back or a machine that is gone, and
 * against closing the link to a voter that now has the former address of an entry when greetings
 * end. */
static void
test_greetings_end (void)
{
  uint16_t port;
  Mesh *entry = set_up_both (&port), *voter = mesh_at (0x7f000003, port, MESH_VOTER, &entry_ops);

  g_assert_nonnull (voter);
  meshes[2] = voter;
  g_assert_true (g_file_set_contents (file, "127.0.0.2\n127.0.0.3\n127.0.0.9\n", -1, NULL));
  greet = greet_new (loop, mesh, 0x7f000001, folder);
  tick_until (&incoming_links, 2, SOON_RUNS);
  tick_until (&incoming_links, 1, ENDED_RUNS);
  g_assert_nonnull (mesh_find_dialled (mesh, 0x7f000003));
  g_assert_cmpuint (greet_known_count (greet), ==, 1);
  tick (20);
  g_assert_cmpuint (incoming_links, ==, 1); /* no entry is greeted again */
  g_assert_cmpuint (views_received, ==, 1);
  mesh_free (entry);
  mesh_free (voter);
  greet_free (greet);
  tear_down ();
}

static int
listen_at (uint32_t ip, uint16_t port)
{
  struct sockaddr_in addr
      = { .sin_family = AF_INET, .sin_port = htons (port), .sin_addr = { htonl (ip) } };
  int on = 1, listener = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  setsockopt (listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  g_assert_cmpint (bind (listener, (struct sockaddr *) &addr, sizeof addr), ==, 0);
  g_assert_cmpint (listen (listener, LISTENERS), ==, 0);
  return listener;
}

static unsigned
accept_all (const int *listeners)
{
  unsigned count = 0;

  for (unsigned i = 0; i < LISTENERS; i++)
    for (int fd; (fd = accept4 (listeners[i], NULL, NULL, SOCK_CLOEXEC)) >= 0; count++)
      close (fd);
  return count;
}

/* Guards against dialling all known entries at once, which leaves a voter that knows a thousand of
 * them no time for the election. */
static void
test_dials_are_limited (void)
{
  GString *text = g_string_new (NULL);
  int listeners[LISTENERS];
  unsigned dialled[4];
  uint16_t port;
  Mesh *entry = set_up_both (&port);

  for (unsigned i = 0; i < LISTENERS; i++)
    {
      listeners[i] = listen_at (0x7f000101 + i, port);
      g_string_append_printf (text, "127.0.1.%u\n", 1 + i);
    }
  g_assert_true (g_file_set_contents (file, text->str, -1, NULL));
  greet = greet_new (loop, mesh, 0x7f000001, folder);
  greet_tick (greet, voters, 0); /* the voter knows no voters yet */
  g_assert_cmpuint (accept_all (listeners), ==, 0);
  for (unsigned i = 0; i < G_N_ELEMENTS (dialled); i++)
    {
      greet_tick (greet, voters, G_N_ELEMENTS (voters));
      run_loop_briefly ();
      dialled[i] = accept_all (listeners);
    }
  g_assert_cmpuint (dialled[0], ==, 16);
  g_assert_cmpuint (dialled[1], ==, 16);
  g_assert_cmpuint (dialled[2], ==, LISTENERS - 32);
  for (unsigned i = 0; i < LISTENERS; i++)
    close (listeners[i]);
  g_string_free (text, TRUE);
  mesh_free (entry);
  greet_free (greet);
  tear_down ();
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/greet/file", test_damaged_file);
  g_test_add_func ("/greet/kept", test_file_survives_restart);
  g_test_add_func ("/greet/links", test_greeting_link);
  g_test_add_func ("/greet/closed", test_greeted_once);
  g_test_add_func ("/greet/ended", test_greetings_end);
  g_test_add_func ("/greet/paced", test_dials_are_limited);
  return g_test_run ();
}
