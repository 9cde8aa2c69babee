/* access.h - calls of the operators' interface and what is printed of them. */
#ifndef ACCESS_H
#define ACCESS_H

#include "body.h"

typedef struct
{
  const char *server, *key, *ca_folder;
} Access;

typedef struct
{
  long status; /* HTTP; 0: the server was not reached */
  char *text;
  uint64_t revision; /* X-Revision */
} Reply;

/* False: the server was not reached, which has been printed. reply->text: g_free. */
bool access_call (const Access *access, const char *method, const char *path, const char *author,
                  const char *body, Reply *reply);
/* Prints a JSON reply in readable form and frees it; the exit code follows its HTTP status. */
int access_print (Reply *reply);
int access_show (const Access *access, const char *path);

#endif
