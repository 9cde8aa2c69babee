/* greet.c - the file of entries that a voter keeps, and what it does on links to them. */
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
begin (void)
{
  loop = loop_new ();
  mesh = test_mesh (loop, MESH_VOTER, PORT);
  g_assert_nonnull (mesh);
  folder = g_dir_make_tmp ("greet-XXXXXX", NULL);
  file = g_build_filename (folder, "entries", NULL);
}

static void
end (void)
{
  mesh_free (mesh);
  loop_free (loop);
  g_remove (file);
  g_assert_cmpint (g_rmdir (folder), ==, 0);
  g_free (file);
  g_free (folder);
}

static unsigned
known_of (const char *text, gssize size)
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

/* A file that a loss of power or anybody else has spoilt is taken for what it is not: a part of an
 * address is dialled, a voter does not start, or dials what it does not know. */
static void
test_file (void)
{
  begin ();
  greet = greet_new (loop, mesh, 0x7f000001, folder); /* missing */
  g_assert_cmpuint (greet_known_count (greet), ==, 0);
  greet_free (greet);
  g_assert_cmpuint (known_of ("", 0), ==, 0);
  g_assert_cmpuint (known_of ("10.0.0.1\n10.0.0.2\n", -1), ==, 2);
  g_assert_cmpuint (known_of ("10.0.0.1\n10.0.0.2", -1), ==, 1);
  g_assert_cmpuint (known_of ("10.0.0.1\n10.0.0\n10.0.0.300\n\n0.0.0.0\n10.0.0.2\n", -1), ==, 2);
  g_assert_cmpuint (known_of ("10.0.0.1\n\0\n\377\200", 13), ==, 1);
  g_assert_cmpuint (known_of ("127.0.0.1\n10.0.0.1\n10.0.0.1\n224.0.0.1\n255.255.255.255\n", -1),
                    ==, 1); /* itself, twice, none of an instance */
  char *many = addresses (GREET_ADDRESSES_MAX + 20);
  g_assert_cmpuint (known_of (many, -1), ==, GREET_ADDRESSES_MAX);
  g_free (many);
  char *padding = g_strnfill (GREET_ADDRESSES_MAX * 16, '\n');
  many = g_strconcat ("10.0.0.1\n", padding, NULL);
  g_free (padding);
  g_assert_cmpuint (known_of (many, -1), ==, 0); /* longer than any that is written */
  g_free (many);
  g_remove (file);
  g_assert_cmpint (g_mkdir (file, 0700), ==, 0); /* cannot be read */
  greet = greet_new (loop, mesh, 0x7f000001, folder);
  g_assert_cmpuint (greet_known_count (greet), ==, 0);
  greet_free (greet);
  end ();
}

/* Whoever dials is remembered, the newest of too many; the file says so after a restart. */
static void
test_kept (void)
{
  begin ();
  TestPeer entry = test_peer (loop, mesh, ENTRY, MESH_ENTRY, false);
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
  test_peer_end (&entry);
  end ();
}

/* A link to an entry gets the voters' addresses and no word on who schedules; it is not taken for
 * one that the entry made, nor is a voter's. */
static void
test_links (void)
{
  MeshMsg msg;

  begin ();
  greet = greet_new (loop, mesh, 0x7f000001, folder);
  greet_tick (greet, voters, G_N_ELEMENTS (voters));
  TestPeer entry = test_peer (loop, mesh, ENTRY, MESH_ENTRY, true);
  TestPeer voter = test_peer (loop, mesh, voters[0], MESH_VOTER, false);
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
  test_peer_end (&entry);
  test_peer_end (&voter);
  end ();
}

/* ---- Over real connections ---- */

#define LISTENERS 40
#define SOON      150  /* turns, well below the 10 s after which all greetings end */
#define ENDED     5000 /* turns, above them */

static unsigned views, links; /* at the entry: greetings, and links that it did not dial */

static void
voter_up (void *host, MeshPeer *peer)
{
  (void) host;
  greet_link_up (greet, peer);
}

static void
entry_up (void *host, MeshPeer *peer)
{
  (void) host;
  links += !peer->dialled;
}

static void
entry_down (void *host, MeshPeer *peer)
{
  (void) host;
  links -= !peer->dialled;
}

static void
entry_message (void *host, MeshPeer *peer, const MeshMsg *msg)
{
  (void) host;
  (void) peer;
  views += msg->kind == MESH_VIEW;
}

static const MeshOps voter_ops = { voter_up, test_no_message, test_no_link };
static const MeshOps entry_ops = { entry_up, entry_message, entry_down };

static Mesh *ends[3]; /* of links; NULL: none */

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

/* A voter's and an entry's end, on the first port that both have free. Returns the entry's. */
static Mesh *
begin_both (uint16_t *port)
{
  Mesh *entry = NULL;

  begin ();
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
  views = links = 0;
  ends[0] = mesh;
  ends[1] = entry;
  ends[2] = NULL;
  return entry;
}

static void
stop_loop (LoopTimer *timer)
{
  (void) timer;
  loop_stop (loop);
}

static void
turn (void)
{
  LoopTimer timer = { .fire = stop_loop };

  loop_timer_set (loop, &timer, loop_now (loop) + 20 * FT_MS);
  loop_run (loop);
}

static void
tick (unsigned turns)
{
  for (unsigned i = 0; i < turns; i++)
    {
      greet_tick (greet, voters, G_N_ELEMENTS (voters));
      for (unsigned end_of = 0; end_of < G_N_ELEMENTS (ends); end_of++)
        if (ends[end_of])
          mesh_for_each_peer (ends[end_of], keep_alive, NULL);
      turn ();
    }
}

static void
tick_until (const unsigned *count, unsigned wanted, unsigned turns)
{
  for (unsigned i = 0; *count != wanted && i < turns; i++)
    tick (1);
  g_assert_cmpuint (*count, ==, wanted);
}

/* Greetings stay open, or entries are greeted again and again: hundreds of connections that nobody
 * needs. An entry is greeted once; the link is closed when it has dialled. */
static void
test_closed (void)
{
  uint16_t port;
  Mesh *entry = begin_both (&port);

  g_assert_true (g_file_set_contents (file, "127.0.0.2\n", -1, NULL));
  greet = greet_new (loop, mesh, 0x7f000001, folder);
  tick_until (&views, 1, SOON);
  g_assert_cmpuint (links, ==, 1);
  mesh_dial (entry, 0x7f000001);
  tick_until (&links, 0, SOON);
  g_assert_nonnull (mesh_find_dialled (entry, 0x7f000001));
  tick (20);
  g_assert_cmpuint (views, ==, 1);
  g_assert_cmpuint (links, ==, 0);
  mesh_free (entry);
  greet_free (greet);
  end ();
}

/* Failure: an entry that does not dial back, a machine that is gone and a voter that has an entry's
 * former address. Symptom: the first two are dialled for ever, the voter's link is closed as the
 * greetings end. */
static void
test_ended (void)
{
  uint16_t port;
  Mesh *entry = begin_both (&port), *voter = mesh_at (0x7f000003, port, MESH_VOTER, &entry_ops);

  g_assert_nonnull (voter);
  ends[2] = voter;
  g_assert_true (g_file_set_contents (file, "127.0.0.2\n127.0.0.3\n127.0.0.9\n", -1, NULL));
  greet = greet_new (loop, mesh, 0x7f000001, folder);
  tick_until (&links, 2, SOON);
  tick_until (&links, 1, ENDED);
  g_assert_nonnull (mesh_find_dialled (mesh, 0x7f000003));
  g_assert_cmpuint (greet_known_count (greet), ==, 1);
  tick (20);
  g_assert_cmpuint (links, ==, 1); /* nobody is greeted later */
  g_assert_cmpuint (views, ==, 1);
  mesh_free (entry);
  mesh_free (voter);
  greet_free (greet);
  end ();
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

/* A voter that knows a thousand entries dials all at once, and has no time for the election. */
static void
test_paced (void)
{
  GString *text = g_string_new (NULL);
  int listeners[LISTENERS];
  unsigned dialled[4];
  uint16_t port;
  Mesh *entry = begin_both (&port);

  for (unsigned i = 0; i < LISTENERS; i++)
    {
      listeners[i] = listen_at (0x7f000101 + i, port);
      g_string_append_printf (text, "127.0.1.%u\n", 1 + i);
    }
  g_assert_true (g_file_set_contents (file, text->str, -1, NULL));
  greet = greet_new (loop, mesh, 0x7f000001, folder);
  greet_tick (greet, voters, 0); /* it knows no voters yet */
  g_assert_cmpuint (accept_all (listeners), ==, 0);
  for (unsigned i = 0; i < G_N_ELEMENTS (dialled); i++)
    {
      greet_tick (greet, voters, G_N_ELEMENTS (voters));
      turn ();
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
  end ();
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/greet/file", test_file);
  g_test_add_func ("/greet/kept", test_kept);
  g_test_add_func ("/greet/links", test_links);
  g_test_add_func ("/greet/closed", test_closed);
  g_test_add_func ("/greet/ended", test_ended);
  g_test_add_func ("/greet/paced", test_paced);
  return g_test_run ();
}
