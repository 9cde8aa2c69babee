/* greet.c - after its start a voter connects to the entries that it knew before and sends them the
 * addresses of the voters ("greets" them).
 *
 * When all machines lose power and come back one after the other, entries know only the addresses
 * of their seeds and would wait for these even while a majority of the voters is up. A greeted
 * entry dials the voters that it was sent; the greeting link carries nothing else and is closed
 * then. Entries are greeted only in the first seconds, since running entries know the voters.
 *
 * The file has one IPv4 address per line, the most recently linked one first. It is not synced:
 * after a power failure it may be old, empty or truncated, and entries then find the voters through
 * the seeds alone.
 */
#include "greet.h"
#include "count.h"
#include "jlog.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#define DIALS_PER_TICK  16               /* 16 per 20 ms are 800 connections a second */
#define DIAL_INTERVAL   (200 * FT_MS)    /* per address: machines start within 0.5 s */
#define GREETING_TIME   (10 * FT_SECOND) /* entries that start later find the seeds running */
#define SAVE_INTERVAL   (5 * FT_SECOND)  /* entries change by the hundred */
#define LINE_MAX_SIZE   16               /* 255.255.255.255 and a newline */
#define FILE_MAX_SIZE   (GREET_ADDRESSES_MAX * LINE_MAX_SIZE)
#define FILE_NAME       "entries"
#define FIRST_MULTICAST 0xe0000000u /* 224.0.0.0; no instance has an address from here on */

typedef struct
{
  uint32_t ip;
  bool reached; /* a link to it was up at some time since this process started */
  bool linked;  /* such a link was dialled by the entry */
  int64_t next_try;
} Known;

struct Greet
{
  Loop *loop;
  Mesh *mesh;
  uint32_t self;
  char *file, *new_file; /* new_file is written first and renamed to file */
  GArray *known;         /* Known; the most recently linked at the end */
  unsigned next;         /* index of the last one considered for dialling */
  uint32_t voters[MESH_VOTERS_MAX];
  unsigned voter_count, greeted;
  int64_t ends_at, save_at;
  bool ended, changed;
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
log_file_problem (const char *why, unsigned left_out)
{
  jlog (JLOG_WARN, "entries-file", NULL, JL_TEXT ("why", why), JL_INT ("left_out", left_out));
}

/* NULL: the file is missing, or cannot be read, which is logged. */
static GString *
read_file (const char *path)
{
  GString *text = g_string_sized_new (FILE_MAX_SIZE + 1);
  ssize_t got = 0;
  int file = open (path, O_RDONLY | O_CLOEXEC);

  if (file < 0 && errno == ENOENT)
    goto none;
  while (file >= 0 && text->len <= FILE_MAX_SIZE
         && (got = read (file, text->str + text->len, FILE_MAX_SIZE + 1 - text->len)) > 0)
    g_string_set_size (text, text->len + (gsize) got);
  if (file < 0 || got < 0)
    log_file_problem (g_strerror (errno), 0);
  else if (text->len > FILE_MAX_SIZE)
    log_file_problem ("the file is too long", 0);
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

/* Parses a line; 0: it is invalid, this instance's own address, or already known. */
static uint32_t
parse_line (const Greet *greet, const char *line)
{
  struct in_addr addr;

  if (inet_pton (AF_INET, line, &addr) != 1)
    return 0;
  uint32_t ip = ntohl (addr.s_addr);
  return ip == greet->self || ip >= FIRST_MULTICAST || find (greet, ip) ? 0 : ip;
}

/* Skips a last line without a newline, which may be a truncated address. */
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
          known.ip = parse_line (greet, line);
        }
      if (known.ip && greet->known->len < GREET_ADDRESSES_MAX)
        g_array_prepend_val (greet->known, known);
      else
        left_out++;
      line = stop ? stop + 1 : end;
    }
  if (left_out)
    log_file_problem ("lines without a new valid address", left_out);
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
  if (!write_text (greet->new_file, text) || rename (greet->new_file, greet->file) != 0)
    log_file_problem (g_strerror (errno), greet->known->len);
  greet->changed = false;
  g_string_free (text, TRUE);
}

/* ---- Greeting ---- */

static void
send_voters (const Greet *greet, MeshPeer *peer)
{
  MeshMsg msg = { .kind = MESH_VIEW };
  MeshView *view = &msg.MeshMsg_u.view;

  view->voters.voters_len = greet->voter_count;
  view->voters.voters_val = (u_int *) greet->voters;
  mesh_send (peer, &msg);
  count_inc (COUNT_GREETINGS);
}

static void
dial_due (Greet *greet, int64_t now)
{
  unsigned dialled = 0, all = greet->known->len;

  for (unsigned i = 0; i < all && dialled < DIALS_PER_TICK; i++)
    {
      greet->next = (greet->next + 1) % all;
      Known *known = &g_array_index (greet->known, Known, greet->next);
      if (known->linked || now < known->next_try)
        continue;
      known->next_try = now + DIAL_INTERVAL;
      dialled += mesh_dial_once (greet->mesh, known->ip);
    }
}

/* Ends the greeting phase and drops the addresses that have not answered. */
static void
end_greeting (Greet *greet)
{
  unsigned all = greet->known->len, linked = 0;

  greet->ended = true;
  for (unsigned i = all; i-- > 0;)
    {
      const Known *known = &g_array_index (greet->known, Known, i);
      linked += known->linked;
      mesh_undial_once (greet->mesh, known->ip);
      if (!known->reached)
        {
          g_array_remove_index (greet->known, i);
          greet->changed = true;
        }
    }
  if (all > 0)
    jlog (JLOG_INFO, "greeted", NULL, JL_INT ("known", all), JL_INT ("greeted", greet->greeted),
          JL_INT ("linked", linked), JL_INT ("dropped", all - greet->known->len));
}

/* Moves an entry that has dialled this voter to the end of the array. */
static void
remember (Greet *greet, uint32_t ip)
{
  Known *known = find (greet, ip), moved = { .ip = ip, .reached = true, .linked = true };

  if (known)
    g_array_remove_index (greet->known, (guint) (known - (Known *) greet->known->data));
  else
    greet->changed = true;
  g_array_append_val (greet->known, moved);
  if (greet->known->len > GREET_ADDRESSES_MAX)
    g_array_remove_index (greet->known, 0);
  mesh_undial_once (greet->mesh, ip);
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
  greet->file = g_build_filename (folder, FILE_NAME, NULL);
  greet->new_file = g_strconcat (greet->file, ".new", NULL);
  greet->known = g_array_new (FALSE, FALSE, sizeof (Known));
  greet->ends_at = now + GREETING_TIME;
  greet->save_at = now + SAVE_INTERVAL;
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
  g_free (greet->new_file);
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
        known->reached = true;
      greet->greeted++;
      send_voters (greet, peer);
      return true;
    }
  if (peer->role == MESH_ENTRY)
    remember (greet, peer->ip);
  else if (peer->dialled)
    mesh_dial (greet->mesh, peer->ip); /* an entry's address is now a voter's: keep the link */
  return false;
}

void
greet_tick (Greet *greet, const uint32_t *voters, unsigned count)
{
  int64_t now = loop_now (greet->loop);

  greet->voter_count = MIN (count, MESH_VOTERS_MAX);
  memcpy (greet->voters, voters, greet->voter_count * sizeof *voters);
  if (!greet->ended && now >= greet->ends_at)
    end_greeting (greet);
  if (!greet->ended && count > 0)
    dial_due (greet, now);
  if (greet->changed && now >= greet->save_at)
    {
      greet->save_at = now + SAVE_INTERVAL;
      save (greet);
    }
}

unsigned
greet_known_count (const Greet *greet)
{
  return greet->known->len;
}
