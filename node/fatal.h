/* fatal.h - last log line of a process that ends by a signal or by a fatal message of GLib. */
#ifndef FATAL_H
#define FATAL_H

/* Installs handlers for the signals of faults and aborts. Those that already have one, such as a
 * sanitizer's, keep it. node: name of this instance, copied. */
void fatal_init (const char *node);
/* Lets the handlers run in the calling thread also when its stack is used up, unless it has another
 * stack for signals. stack: at least FATAL_STACK_SIZE bytes, valid until the thread ends. */
void fatal_init_thread (void *stack);
#define FATAL_STACK_SIZE 16384
/* Calls fn, which must be async-signal-safe, with the signal's number before the process ends.
 * NULL: nothing. */
void fatal_set_hook (void (*fn) (int number));

#endif
