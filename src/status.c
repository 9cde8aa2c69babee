/* status.c - status codes, their messages, errors and the version. */
#include "foxtail.h"

#include <stdarg.h>

static const char *const messages[] = {
  [0] = "success",
  [-FT_INVALID] = "invalid argument or document",
  [-FT_NOT_FOUND] = "not found",
  [-FT_CONFLICT] = "conflict with an earlier change or claim",
  [-FT_STALE] = "epoch, term or revision has ended",
  [-FT_IO] = "storage failed",
  [-FT_CORRUPT] = "stored data is damaged",
  [-FT_FULL] = "bound reached",
  [-FT_NOT_LEADER] = "this voter is not in charge",
  [-FT_ALREADY_DONE] = "done before",
};

const char *
ft_version (void)
{
  return FT_VERSION;
}

const char *
ft_strerror (int status)
{
  if (status > 0 || -status >= (int) G_N_ELEMENTS (messages))
    return "unknown status";
  return messages[-status];
}

FtStatus
ft_error_set (FtError *error, FtStatus status, unsigned line, const char *field, const char *format,
              ...)
{
  va_list args;

  if (error == NULL)
    return status;
  error->status = status;
  error->line = line;
  g_strlcpy (error->field, field, sizeof error->field);
  va_start (args, format);
  g_vsnprintf (error->text, sizeof error->text, format, args);
  va_end (args);
  return status;
}
