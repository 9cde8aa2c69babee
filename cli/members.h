/* members.h - commands that read the metrics of foxtailnode instances. */
#ifndef MEMBERS_H
#define MEMBERS_H

/* Returns an instance's metrics page, or NULL if it was not reached. Free with g_free. */
typedef char *(*MembersFetch) (const void *access, const char *url);

/* Prints a table with one row per instance: role, leadership, version of the catalogue in force and
 * open requests. urls: metrics addresses, separated by commas. Returns 0 if all instances answer
 * and have the same catalogue in force, else 1. */
int members_print (const char *urls, MembersFetch fetch, const void *access);
/* Prints what one instance assumes about each backend server, and why. */
int members_servers (const char *url, MembersFetch fetch, const void *access);

#endif
