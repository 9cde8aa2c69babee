/* access.h - HTTP calls to the operators' interface, and printing of their replies. */
#ifndef ACCESS_H
#define ACCESS_H

#include "body.h"

/* Where and how to reach the operators' interface. */
typedef struct
{
  const char *server, *key, *ca_folder;
} Access;

typedef struct
{
  long status; /* HTTP status; 0: the server was not reached */
  char *text;
  uint64_t revision; /* from the X-Revision header; 0: none */
} Reply;

/* Sends one request and waits for the reply. Prints an error and returns false when the server was
 * not reached. Free reply->text with g_free. */
bool access_call (const Access *access, const char *method, const char *path, const char *author,
                  const char *body, Reply *reply);
/* Prints a reply, indented if it is JSON, and frees its text. Returns the exit code: 0 for HTTP
 * status 200. */
int access_print (Reply *reply);
/* Gets path and prints the reply. Returns the exit code. */
int access_show (const Access *access, const char *path);

#endif
