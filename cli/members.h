/* members.h - the instances of a deployment whose members are found, as one table. */
#ifndef MEMBERS_H
#define MEMBERS_H

/* One metrics page; text NULL: the instance was not reached. text is the caller's to g_free. */
typedef char *(*MembersFetch) (const void *access, const char *url);

/* urls: addresses of metrics, separated by commas. Prints who is in charge, which version of the
 * catalogue each has in force, and what each is doing. Returns 0 when all answer and agree. */
int members_print (const char *urls, MembersFetch fetch, const void *access);
/* What one instance believes of each backend server, and why. */
int members_servers (const char *url, MembersFetch fetch, const void *access);

#endif
