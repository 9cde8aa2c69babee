/* fingerprint.h - what a request may crash servers with; private to the library and its shells.
 *
 * Crashes are counted per key. A request has one key for its whole content (content.h) and one for
 * each part of its prompt that other requests may share.
 */
#ifndef FINGERPRINT_H
#define FINGERPRINT_H

#include "foxtail.h"

#define FINGERPRINT_PARTS_MAX 256

/* Immutable and reference-counted. keys[0] is the content's, the others are those of the parts, in
 * the order of the prompt and without repetition. */
typedef struct
{
  gatomicrefcount refs;
  unsigned count;
  uint64_t keys[];
} Fingerprint;

/* parts: hashes of the shared parts of the prompt; at most FINGERPRINT_PARTS_MAX of them count. */
Fingerprint *fingerprint_new (uint64_t content, const char *service, const uint64_t *parts,
                              unsigned part_count);
Fingerprint *fingerprint_ref (Fingerprint *print);
void fingerprint_unref (Fingerprint *print);
/* The key of a part in prompts for a service, the same on every instance; never 0. Two services may
 * handle one part differently. */
uint64_t fingerprint_part_key (const char *service, uint64_t part);
bool fingerprint_is_part (uint64_t key);
/* Appends the keys of the parts as text, separated by commas, at most max of them. */
void fingerprint_append_parts (const Fingerprint *print, unsigned max, GString *out);

#endif
