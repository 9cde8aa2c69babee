/* span.c - writes spans with the field names of OpenTelemetry's JSON encoding, one per line. */
#include "span.h"

#include <stdio.h>
#include <string.h>

static FILE *file;
static unsigned instance_id;
static GMutex lock;

bool
span_open (const char *path, unsigned instance)
{
  instance_id = instance;
  if (!*path)
    return true;
  file = fopen (path, "ae");
  return file != NULL;
}

static void
random_hex (char *out, unsigned digits)
{
  for (unsigned i = 0; i < digits; i++)
    out[i] = "0123456789abcdef"[g_random_int_range (0, 16)];
  out[digits] = '\0';
}

static bool
is_traceparent (const char *text)
{
  if (text == NULL || strlen (text) != 55 || strncmp (text, "00-", 3) != 0 || text[35] != '-'
      || text[52] != '-')
    return false;
  return strspn (text + 3, "0123456789abcdef") == 32
         && strspn (text + 36, "0123456789abcdef") == 16;
}

void
span_begin (Call *call, const char *traceparent)
{
  random_hex (call->span_id, 16);
  call->parent_id[0] = '\0';
  if (!is_traceparent (traceparent))
    {
      random_hex (call->trace_id, 32);
      return;
    }
  g_strlcpy (call->trace_id, traceparent + 3, sizeof call->trace_id);
  g_strlcpy (call->parent_id, traceparent + 36, sizeof call->parent_id);
}

void
span_traceparent (const Call *call, char *out)
{
  g_snprintf (out, 56, "00-%s-%s-01", call->trace_id, call->span_id);
}

void
span_end (const Call *call, const char *name, int64_t start, int64_t end, const char *detail)
{
  char id[17];
  int64_t to_wall = g_get_real_time () - g_get_monotonic_time ();
  bool root = strcmp (name, "request") == 0;

  if (file == NULL)
    return;
  random_hex (id, 16);
  g_mutex_lock (&lock);
  fprintf (file,
           "{\"traceId\":\"%s\",\"spanId\":\"%s\",\"parentSpanId\":\"%s\",\"name\":\"%s\","
           "\"startTimeUnixNano\":\"%" G_GINT64_FORMAT
           "000\",\"endTimeUnixNano\":\"%" G_GINT64_FORMAT
           "000\",\"attributes\":{\"instance\":%u,\"request\":\"%s\",\"pool\":"
           "\"%s\",\"tier\":%u,\"detail\":\"%s\"}}\n",
           call->trace_id, root ? call->span_id : id, root ? call->parent_id : call->span_id, name,
           start + to_wall, end + to_wall, instance_id, call->id, call->pool ? call->pool : "",
           call->tier, detail ? detail : "");
  fflush (file);
  g_mutex_unlock (&lock);
}
