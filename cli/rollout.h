/* rollout.h - commands that start, show and abort roll-outs of a service's version. */
#ifndef CLI_ROLLOUT_H
#define CLI_ROLLOUT_H

#include "access.h"

/* words: start SERVICE VERSION SECONDS, status SERVICE or abort SERVICE. wait: start returns when
 * the roll-out has ended. Returns the exit code. */
int rollout_command (const Access *access, const char *const *words, int count, bool wait);

#endif
