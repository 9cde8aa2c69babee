/* greet.c - a voter that starts dials the entries that it knew and names the voters to them.
 *
 * Failure: all machines lose power and come back one after the other. Symptom: entries know the
 * addresses of their seeds only, and wait for these while a majority of the voters is up. An entry
 * that is greeted dials the voters that it is told; the link that told it carries nothing else and
 * is closed then. Nobody is greeted later: entries that run know the voters.
 *
 * The file has one IPv4 address a line, the one that was linked last first. It is not synced: after
 * a loss of power it may be older, empty or cut, and entries then find the seeds as without it.
 */
#include "greet.h"
#include "count.h"
#include "jlog.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

/* Tuning; each row with its reason. */
#define DIALS_A_TICK 16               /* 16 of 20 ms are 800 connections a second */
#define AGAIN        (200 * FT_MS)    /* of one address: machines start within some 0.5 s */
#define GREET_FOR    (10 * FT_SECOND) /* entries that start later find the seeds up */
#define SAVE_EVERY   (5 * FT_SECOND)  /* entries come and go by the hundred */
#define LINE_MOST    16               /* 255.255.255.255 and its end */
#define FILE_MOST    (GREET_ADDRESSES_MAX * LINE_MOST)
#define NAME         "entries"
#define MULTICAST    0xe0000000u /* from here on no address is an instance's */

typedef struct
{
  uint32_t ip;
  bool met;    /* a link to it was up in this process's life ... */
  bool linked; /* ... that it had dialled */
  int64_t next_try;
} Known;

struct Greet
{
  Loop *loop;
  Mesh *mesh;
  uint32_t self;
  char *file, *fresh; /* fresh: the next file until it is whole */
  GArray *known;      /* Known; those linked last are at the end */
  unsigned next;      /* the one that may be dialled next */
  uint32_t voters[MESH_VOTERS_MOST];
  unsigned voter_count, greeted;
  int64_t ends_at, save_at;
  bool over, changed;
};

static Known *
find (const Greet *greet, uint32_t ip)
{
  for (unsigned i = 0; i < greet->known->len; i++)
    if (g_array_index (greet->known, Known, i).ip == ip)
      return &g_array_index (greet->known, Known, i);
  return NULL;
}

/* ---- The file ---- */

static void
log_file (const char *why, unsigned left_out)
{
  jlog (JLOG_WARN, "entries-file", NULL, JL_TEXT ("why", why), JL_INT ("left_out", left_out));
}

/* NULL: it is missing, or cannot be read, which is logged. */
static GString *
read_file (const char *path)
{
  GString *text = g_string_sized_new (FILE_MOST + 1);
  ssize_t got = 0;
  int file = open (path, O_RDONLY | O_CLOEXEC);

  if (file < 0 && errno == ENOENT)
    goto none;
  while (file >= 0 && text->len <= FILE_MOST
         && (got = read (file, text->str + text->len, FILE_MOST + 1 - text->len)) > 0)
    g_string_set_size (text, text->len + (gsize) got);
  if (file < 0 || got < 0)
    log_file (g_strerror (errno), 0);
  else if (text->len > FILE_MOST)
    log_file ("it is too long", 0);
  else
    {
      close (file);
      return text;
    }
  if (file >= 0)
    close (file);
none:
  g_string_free (text, TRUE);
  return NULL;
}

/* 0: not the address of another instance that is not held yet. */
static uint32_t
read_address (const Greet *greet, const char *line)
{
  struct in_addr addr;

  if (inet_pton (AF_INET, line, &addr) != 1)
    return 0;
  uint32_t ip = ntohl (addr.s_addr);
  return ip == greet->self || ip >= MULTICAST || find (greet, ip) ? 0 : ip;
}

/* A last line without its end may be a part of an address. */
static void
load (Greet *greet)
{
  GString *text = read_file (greet->file);
  unsigned left_out = 0;

  if (text == NULL)
    return;
  for (char *line = text->str, *end = text->str + text->len; line < end;)
    {
      char *stop = memchr (line, '\n', (size_t) (end - line));
      Known known = { 0 };
      if (stop)
        {
          *stop = '\0';
          known.ip = read_address (greet, line);
        }
      if (known.ip && greet->known->len < GREET_ADDRESSES_MAX)
        g_array_prepend_val (greet->known, known);
      else
        left_out++;
      line = stop ? stop + 1 : end;
    }
  if (left_out)
    log_file ("lines without an address of its own", left_out);
  g_string_free (text, TRUE);
}

static bool
write_text (const char *path, const GString *text)
{
  int file = open (path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  size_t done = 0;
  ssize_t size = 0;

  if (file < 0)
    return false;
  while (done < text->len && (size = write (file, text->str + done, text->len - done)) > 0)
    done += (size_t) size;
  return close (file) == 0 && done == text->len;
}

static void
save (Greet *greet)
{
  GString *text = g_string_new (NULL);
  char line[INET_ADDRSTRLEN];

  for (unsigned i = greet->known->len; i-- > 0;)
    {
      struct in_addr addr = { htonl (g_array_index (greet->known, Known, i).ip) };
      g_string_append_printf (text, "%s\n", inet_ntop (AF_INET, &addr, line, sizeof line));
    }
  if (!write_text (greet->fresh, text) || rename (greet->fresh, greet->file) != 0)
    log_file (g_strerror (errno), greet->known->len);
  greet->changed = false;
  g_string_free (text, TRUE);
}

/* ---- Greeting ---- */

static void
send_view (const Greet *greet, MeshPeer *peer)
{
  MeshMsg msg = { .kind = MESH_VIEW };
  MeshView *view = &msg.MeshMsg_u.view;

  view->voters.voters_len = greet->voter_count;
  view->voters.voters_val = (u_int *) greet->voters;
  mesh_send (peer, &msg);
  count_inc (COUNT_GREETINGS);
}

static void
dial_some (Greet *greet, int64_t now)
{
  unsigned dialled = 0, all = greet->known->len;

  for (unsigned i = 0; i < all && dialled < DIALS_A_TICK; i++)
    {
      greet->next = (greet->next + 1) % all;
      Known *known = &g_array_index (greet->known, Known, greet->next);
      if (known->linked || now < known->next_try)
        continue;
      known->next_try = now + AGAIN;
      dialled += mesh_dial_once (greet->mesh, known->ip);
    }
}

/* Addresses at which nobody has answered are not kept. */
static void
end (Greet *greet)
{
  unsigned all = greet->known->len, linked = 0;

  greet->over = true;
  for (unsigned i = all; i-- > 0;)
    {
      const Known *known = &g_array_index (greet->known, Known, i);
      linked += known->linked;
      mesh_hang_up (greet->mesh, known->ip);
      if (!known->met)
        {
          g_array_remove_index (greet->known, i);
          greet->changed = true;
        }
    }
  if (all > 0)
    jlog (JLOG_INFO, "greeted", NULL, JL_INT ("known", all), JL_INT ("greeted", greet->greeted),
          JL_INT ("linked", linked), JL_INT ("dropped", all - greet->known->len));
}

/* An entry has dialled this voter. */
static void
remember (Greet *greet, uint32_t ip)
{
  Known *known = find (greet, ip), moved = { .ip = ip, .met = true, .linked = true };

  if (known)
    g_array_remove_index (greet->known, (guint) (known - (Known *) greet->known->data));
  else
    greet->changed = true;
  g_array_append_val (greet->known, moved);
  if (greet->known->len > GREET_ADDRESSES_MAX)
    g_array_remove_index (greet->known, 0);
  mesh_hang_up (greet->mesh, ip);
}

/* ---- Interface ---- */

Greet *
greet_new (Loop *loop, Mesh *mesh, uint32_t self, const char *folder)
{
  Greet *greet = g_new0 (Greet, 1);
  int64_t now = loop_now (loop);

  greet->loop = loop;
  greet->mesh = mesh;
  greet->self = self;
  greet->file = g_build_filename (folder, NAME, NULL);
  greet->fresh = g_strconcat (greet->file, ".new", NULL);
  greet->known = g_array_new (FALSE, FALSE, sizeof (Known));
  greet->ends_at = now + GREET_FOR;
  greet->save_at = now + SAVE_EVERY;
  load (greet);
  return greet;
}

void
greet_free (Greet *greet)
{
  if (greet == NULL)
    return;
  if (greet->changed)
    save (greet);
  g_array_unref (greet->known);
  g_free (greet->file);
  g_free (greet->fresh);
  g_free (greet);
}

bool
greet_is_greeting_link (const MeshPeer *peer)
{
  return peer->dialled && peer->role == MESH_ENTRY;
}

bool
greet_link_up (Greet *greet, MeshPeer *peer)
{
  Known *known = find (greet, peer->ip);

  if (greet_is_greeting_link (peer))
    {
      if (known)
        known->met = true;
      greet->greeted++;
      send_view (greet, peer);
      return true;
    }
  if (peer->role == MESH_ENTRY)
    remember (greet, peer->ip);
  else if (peer->dialled)
    mesh_dial (greet->mesh, peer->ip); /* a voter has an entry's address now: its link is kept */
  return false;
}

void
greet_tick (Greet *greet, const uint32_t *voters, unsigned count)
{
  int64_t now = loop_now (greet->loop);

  greet->voter_count = MIN (count, MESH_VOTERS_MOST);
  memcpy (greet->voters, voters, greet->voter_count * sizeof *voters);
  if (!greet->over && now >= greet->ends_at)
    end (greet);
  if (!greet->over && count > 0)
    dial_some (greet, now);
  if (greet->changed && now >= greet->save_at)
    {
      greet->save_at = now + SAVE_EVERY;
      save (greet);
    }
}

unsigned
greet_known_count (const Greet *greet)
{
  return greet->known->len;
}
