/* reader.h - reads the platform's list of backend servers, page by page. */
#ifndef READER_H
#define READER_H

#include "hcli.h"
#include "seam.h"

typedef struct Reader Reader;

/* servers: SeamServer, borrowed; NULL: it could not be read, why says so. asked_at: loop's time
 * of the first page's request: what the list says held then or later. */
typedef void (*ReaderDone) (void *host, const GArray *servers, int64_t asked_at, const char *why);

Reader *reader_new (Loop *loop, HCli *cli, const Seam *seam, SockAddr list, ReaderDone done,
                    void *host);
void reader_free (Reader *reader);
/* Starts to read unless it is being read. */
void reader_start (Reader *reader);
bool reader_busy (const Reader *reader);
/* Calls that the last whole pass took; 1 before the first. */
unsigned reader_pages (const Reader *reader);

#endif
