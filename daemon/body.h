/* body.h - the JSON bodies of the chat-completions interface. */
#ifndef BODY_H
#define BODY_H

#include "foxtail.h"

typedef struct
{
  char *model;
  GString *prompt; /* role and text of all messages in order */
  bool stream;
  unsigned most_tokens;
} BodyChat;

/* Parses and checks a request. FT_INVALID: error names the field and what is allowed. Call
 * body_clear_chat in either case. */
FtStatus body_parse_chat (const char *text, BodyChat *chat, FtError *error);
void body_clear_chat (BodyChat *chat);
/* Returns the same body with "stream": true. Free with g_free. */
char *body_with_stream (const char *text);
/* Appends the text of one streamed chunk (a JSON object) to out. */
void body_append_delta (const char *piece, GString *out);
/* Returns a complete, not streamed answer as one object. Free with g_free. */
char *body_complete_answer (const char *id, const char *model, const char *content,
                            unsigned tokens);
/* Appends text as a JSON string, quotes included. */
void body_append_string (GString *out, const char *text);
/* Encode and decode a kept answer as it is sent between instances: status, type and organisation on
 * a line each, then the body. */
GBytes *body_pack_answer (int status, const char *type, const char *org, const char *body,
                          gsize size);
bool body_unpack_answer (GBytes *bytes, int *status, char **type, char **org, char **body,
                         gsize *size);

#endif
