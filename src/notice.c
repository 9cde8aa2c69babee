/* notice.c - parses the response fields in which a backend server announces a rate limit, a
 * backoff or its brittleness. */
#include "notice.h"

#include <math.h>
#include <string.h>

/* Parses an unsigned decimal number such as 12 or 0.5. Rejects signs, exponents, "inf" and "nan",
 * which strtod would accept. */
static bool
parse_number (const char *text, double *out)
{
  char *end;

  if (text[strspn (text, "0123456789.")] != '\0')
    return false;
  *out = g_ascii_strtod (text, &end);
  return end != text && *end == '\0' && isfinite (*out);
}

static bool
parse_bounded (const char *text, double min, double max, double *out)
{
  double value;

  if (!parse_number (text, &value))
    return false;
  *out = CLAMP (value, min, max);
  return true;
}

bool
notice_parse_rate (const char *text, double *rate)
{
  return parse_bounded (text, NOTICE_RATE_MIN, NOTICE_RATE_MAX, rate);
}

bool
notice_parse_brittleness (const char *text, double *brittleness)
{
  return parse_bounded (text, NOTICE_BRITTLENESS_MIN, NOTICE_BRITTLENESS_MAX, brittleness);
}

bool
notice_parse_backoff (const char *text, int64_t *us)
{
  double value;

  if (!parse_number (text, &value))
    {
      *us = NOTICE_BACKOFF_DEFAULT;
      return false;
    }
  *us = (int64_t) MIN (value * (double) FT_SECOND, (double) NOTICE_BACKOFF_MAX);
  return true;
}

bool
notice_is_empty (const Notice *notice)
{
  return notice->rate <= 0 && !notice->leaving && notice->backoff_us == 0
         && notice->brittleness <= 0;
}
