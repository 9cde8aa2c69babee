/* usage.c - memory and disk space that this process uses.
 *
 * A process that is killed for its use of memory leaves no line in its log, and neither does a full
 * disk name the file that filled it. So growth is logged as it comes. */
#include "usage.h"
#include "jlog.h"

#include <fcntl.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>

#define LOGGED_MIN (16u << 20) /* bytes; less is not logged */

/* 0: unknown. */
static uint64_t
resident_bytes (void)
{
  char text[128];
  unsigned long long pages = 0;
  int file = open ("/proc/self/statm", O_RDONLY | O_CLOEXEC);

  if (file < 0)
    return 0;
  ssize_t got = read (file, text, sizeof text - 1);
  close (file);
  text[MAX (got, 0)] = '\0';
  return sscanf (text, "%*u %llu", &pages) == 1 ? pages * (uint64_t) sysconf (_SC_PAGESIZE) : 0;
}

/* Of all files in the folder. */
static uint64_t
folder_bytes (const char *folder)
{
  uint64_t sum = 0;
  const char *name;
  GDir *dir = folder && *folder ? g_dir_open (folder, 0, NULL) : NULL;

  while (dir && (name = g_dir_read_name (dir)) != NULL)
    {
      char *path = g_build_filename (folder, name, NULL);
      struct stat found;
      if (stat (path, &found) == 0 && S_ISREG (found.st_mode))
        sum += (uint64_t) found.st_size;
      g_free (path);
    }
  if (dir)
    g_dir_close (dir);
  return sum;
}

void
usage_append_metrics (const char *folder, GString *out)
{
  struct rusage used = { 0 };

  getrusage (RUSAGE_SELF, &used);
  g_string_append_printf (out,
                          "foxtail_resident_bytes %" G_GUINT64_FORMAT
                          "\nfoxtail_resident_bytes_peak %" G_GUINT64_FORMAT "\n",
                          resident_bytes (), (uint64_t) used.ru_maxrss * 1024);
  if (folder && *folder)
    g_string_append_printf (out, "foxtail_data_bytes %" G_GUINT64_FORMAT "\n",
                            folder_bytes (folder));
}

/* Whether the value has grown by a quarter since *logged, or since it fell to half of that. */
static bool
has_grown (uint64_t value, uint64_t *logged)
{
  if (value < *logged / 2)
    *logged = value;
  return value >= LOGGED_MIN && value > *logged + *logged / 4;
}

void
usage_log_growth (const char *folder)
{
  static uint64_t logged_resident, logged_data;
  uint64_t resident = resident_bytes (), data = folder_bytes (folder);

  bool more_memory = has_grown (resident, &logged_resident);
  if (!has_grown (data, &logged_data) && !more_memory)
    return;
  logged_resident = resident;
  logged_data = data;
  jlog (JLOG_INFO, "usage", NULL, JL_UINT ("resident_bytes", resident),
        JL_UINT ("data_bytes", data));
}
