/* runs.c - a file of one record: the number of starts, and how the last run ended.
 *
 * The record has a fixed size and is overwritten in place, so that a signal handler can do it. It
 * is not synced: after a power failure it may be old or missing. A run that is noted as running did
 * not end by itself in a way that it could note: it was killed, or lost power.
 */
#include "runs.h"
#include "fatal.h"
#include "foxtail.h"
#include "jlog.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define FILE_NAME   "runs"
#define RECORD_SIZE 40 /* a number of 20 digits, a space, an end of 18 characters, a newline */
#define END_OFFSET  21
#define END_SIZE    18

static int file = -1;

/* Writes `end`, padded with spaces. Async-signal-safe. */
static void
write_end (const char *end)
{
  char field[END_SIZE];
  size_t length = strlen (end);

  memset (field, ' ', sizeof field);
  memcpy (field, end, MIN (length, sizeof field));
  ssize_t done = pwrite (file, field, sizeof field, END_OFFSET);
  (void) done; /* a handler can do nothing about it */
}

static void
on_fatal (int number)
{
  char end[] = "signal 00";

  end[7] = (char) ('0' + number / 10 % 10);
  end[8] = (char) ('0' + number % 10);
  write_end (end);
}

void
runs_begin (const char *folder)
{
  char *path = g_build_filename (folder, FILE_NAME, NULL);
  char record[RECORD_SIZE + 1] = "", last_end[END_SIZE + 1] = "";
  unsigned long long starts = 0;

  file = open (path, O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (file < 0 || pread (file, record, RECORD_SIZE, 0) < 0)
    {
      jlog (JLOG_WARN, "runs-file", NULL, JL_TEXT ("why", g_strerror (errno)));
      goto out;
    }
  if (sscanf (record, "%20llu %18[^\n]", &starts, last_end) < 2)
    starts = 0;
  const char *end = g_strchomp (last_end);
  jlog (JLOG_INFO, "runs", NULL, JL_UINT ("starts", starts + 1), JL_TEXT ("last_end", end));
  snprintf (record, sizeof record, "%020llu %-18s\n", starts + 1, "running");
  if (pwrite (file, record, RECORD_SIZE, 0) != RECORD_SIZE)
    jlog (JLOG_WARN, "runs-file", NULL, JL_TEXT ("why", g_strerror (errno)));
  fatal_set_hook (on_fatal);
out:
  g_free (path);
}

void
runs_end (void)
{
  if (file < 0)
    return;
  fatal_set_hook (NULL);
  write_end ("stopped");
  close (file);
  file = -1;
}
