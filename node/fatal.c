/* fatal.c - writes one line to the log before the process ends by a signal.
 *
 * A handler may have interrupted any code, so it calls only async-signal-safe functions and formats
 * the line by itself. The lines that jlog.c still holds are written first; should that fault in
 * turn, the handler is entered again and leaves them out.
 */
#include "fatal.h"
#include "jlog.h"

#include <glib.h>
#include <signal.h>
#include <stdint.h>
#include <string.h>
#include <sys/syscall.h>
#include <time.h>
#include <ucontext.h>
#include <unistd.h>

#define LINE_MAX_SIZE 768
#define WHY_MAX_SIZE  256

typedef struct
{
  char text[LINE_MAX_SIZE];
  size_t length;
} Line;

static char node_name[64];
static char why[WHY_MAX_SIZE]; /* text of GLib's fatal message; "": none */
static char main_stack[FATAL_STACK_SIZE];
static void (*hook) (int number);
static volatile sig_atomic_t entered;
/* The first fault, where writing the lines of jlog.c meets another one. */
static int first_number;
static uintptr_t first_address, first_pc;

static void
put_text (Line *line, const char *text)
{
  for (; *text && line->length < sizeof line->text; text++)
    line->text[line->length++] = *text;
}

/* Leaves out what would have to be escaped. */
static void
put_plain (Line *line, const char *text)
{
  for (; *text && line->length < sizeof line->text; text++)
    if ((unsigned char) *text >= 0x20 && *text != '"' && *text != '\\')
      line->text[line->length++] = *text;
}

static void
put_number (Line *line, uint64_t number, unsigned base, unsigned width)
{
  char digits[24];
  unsigned count = 0;

  do
    {
      digits[count++] = "0123456789abcdef"[number % base];
      number /= base;
    }
  while (number > 0 || count < width);
  while (count > 0 && line->length < sizeof line->text)
    line->text[line->length++] = digits[--count];
}

static uintptr_t
program_counter (const void *context)
{
#if defined(__x86_64__)
  return (uintptr_t) ((const ucontext_t *) context)->uc_mcontext.gregs[REG_RIP];
#elif defined(__aarch64__)
  return (uintptr_t) ((const ucontext_t *) context)->uc_mcontext.pc;
#else
  (void) context;
  return 0;
#endif
}

static void
write_line (void)
{
  struct timespec wall, up;
  Line line = { .length = 0 };

  clock_gettime (CLOCK_REALTIME, &wall);
  clock_gettime (CLOCK_BOOTTIME, &up);
  put_text (&line, "{\"at\":");
  put_number (&line, (uint64_t) wall.tv_sec, 10, 1);
  put_text (&line, ".");
  put_number (&line, (uint64_t) wall.tv_nsec / 1000000, 10, 3);
  put_text (&line, ",\"up_ms\":");
  put_number (&line, (uint64_t) up.tv_sec * 1000 + (uint64_t) up.tv_nsec / 1000000, 10, 1);
  put_text (&line, ",\"node\":\"");
  put_plain (&line, node_name);
  put_text (&line, "\",\"level\":\"error\",\"event\":\"fatal\",\"signal\":");
  put_number (&line, (uint64_t) first_number, 10, 1);
  put_text (&line, ",\"address\":\"0x");
  put_number (&line, first_address, 16, 1);
  put_text (&line, "\",\"pc\":\"0x");
  put_number (&line, first_pc, 16, 1);
  put_text (&line, "\",\"thread\":");
  put_number (&line, (uint64_t) syscall (SYS_gettid), 10, 1);
  put_text (&line, ",\"why\":\"");
  put_plain (&line, why);
  put_text (&line, "\"}\n");
  /* The process ends whether or not somebody reads it. */
  ssize_t done = write (STDOUT_FILENO, line.text, line.length);
  (void) done;
}

static void
on_signal (int number, siginfo_t *info, void *context)
{
  if (entered == 0)
    {
      entered = 1;
      first_number = number;
      first_address = (uintptr_t) info->si_addr;
      first_pc = program_counter (context);
      jlog_write_pending ();
    }
  if (entered == 1)
    {
      entered = 2;
      write_line ();
      if (hook)
        hook (first_number);
    }
  signal (number, SIG_DFL);
  raise (number); /* GLib would go on after the trap by which it ends a process */
}

/* Keeps the text of a fatal message for the handler of the signal that follows it. */
static GLogWriterOutput
on_log (GLogLevelFlags level, const GLogField *fields, gsize count, void *data)
{
  for (gsize i = 0; (level & G_LOG_LEVEL_ERROR) && i < count; i++)
    if (strcmp (fields[i].key, "MESSAGE") == 0 && fields[i].length < 0)
      g_strlcpy (why, fields[i].value, sizeof why);
  return g_log_writer_default (level, fields, count, data);
}

void
fatal_init_thread (void *stack)
{
  stack_t alternate = { .ss_sp = stack, .ss_size = FATAL_STACK_SIZE }, before;

  if (sigaltstack (NULL, &before) == 0 && (before.ss_flags & SS_DISABLE))
    sigaltstack (&alternate, NULL);
}

void
fatal_set_hook (void (*fn) (int number))
{
  hook = fn;
}

void
fatal_init (const char *node)
{
  static const int signals[] = { SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT, SIGTRAP };
  struct sigaction before,
      action = { .sa_sigaction = on_signal, .sa_flags = SA_SIGINFO | SA_ONSTACK | SA_NODEFER };

  g_strlcpy (node_name, node, sizeof node_name);
  g_log_set_writer_func (on_log, NULL, NULL);
  fatal_init_thread (main_stack);
  for (unsigned i = 0; i < G_N_ELEMENTS (signals); i++)
    if (sigaction (signals[i], NULL, &before) == 0 && before.sa_handler == SIG_DFL)
      sigaction (signals[i], &action, NULL);
}
