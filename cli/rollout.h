/* rollout.h - the command line's part in moves to another version of a service's servers. */
#ifndef CLI_ROLLOUT_H
#define CLI_ROLLOUT_H

#include "access.h"

/* words: start SERVICE VERSION SECONDS, status SERVICE or abort SERVICE. Returns the exit code. */
int rollout_command (const Access *access, const char *const *words, int count, bool wait);

#endif
