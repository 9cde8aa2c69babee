/* brittle.c - servers that crash if they reject too many requests in a second.
 *
 * Such a server announces how many rejections a second it bears, summed over all instances. Notices
 * arrive as those of rate limits do (pace.c) and the same rules apply: a lower number counts at
 * once, a higher one or the end only from an answer to a request granted after the last notice was
 * applied.
 */
#include "schedint.h"

void
brit_apply_notice (Server *server, const Job *job, double limit, int64_t now)
{
  Brittle *brittle = &server->brittle;

  if (limit <= 0 && brittle->limit <= 0)
    return;
  if (brittle->limit > 0 && (limit <= 0 || limit > brittle->limit)
      && !sched_granted_after (server, job, brittle->announced_at))
    return;
  brittle->limit = limit;
  brittle->announced_at = now;
}

void
brit_apply_older_notice (Server *server, double limit, int64_t now)
{
  Brittle *brittle = &server->brittle;

  if (limit <= 0 || brittle->limit > 0)
    return;
  brittle->limit = limit;
  brittle->announced_at = now;
}
