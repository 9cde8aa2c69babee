/* statuscheck.h - the answer of a stand-in server to a status check, as the platform defines it. */
#ifndef STATUSCHECK_H
#define STATUSCHECK_H

#include <glib.h>
#include <string.h>

/* The answer to a request that is a status check, g_free; NULL: it is another request. The server
 * that is addressed answers. */
static inline char *
statuscheck_answer (const char *head)
{
  static const char field[] = "\r\nX-Foxtailgrade-Expect-Instance: ";
  const char *at = strstr (head, field);

  if (!g_str_has_prefix (head, "GET /health ") || at == NULL)
    return NULL;
  at += sizeof field - 1;
  return g_strdup_printf ("HTTP/1.1 200 OK\r\nConnection: close\r\n"
                          "X-Foxtailgrade-Instance-Id: %.*s\r\nContent-Length: 0\r\n\r\n",
                          (int) strcspn (at, "\r"), at);
}

#endif
