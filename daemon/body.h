/* body.h - the JSON bodies of the chat-completions interface. */
#ifndef BODY_H
#define BODY_H

#include "foxtail.h"

typedef struct
{
  char *model;
  GString *prompt; /* all messages' text in order */
  bool stream;
  unsigned most_tokens;
} BodyChat;

/* FT_INVALID with the field's name and what is allowed. */
FtStatus body_read_chat (const char *text, BodyChat *chat, FtError *error);
void body_clear_chat (BodyChat *chat);
/* The same body with "stream": true; g_free. */
char *body_as_stream (const char *text);
/* Appends the text of one streamed piece to out. */
void body_append_delta (const char *piece, GString *out);
/* A whole answer in one object; g_free. */
char *body_whole (const char *id, const char *model, const char *content, unsigned tokens);
/* Adds text as a JSON string, quotes included. */
void body_string (GString *out, const char *text);
/* {"status":n,"type":"...","organisation":"...","body":"..."} and back, for kept answers. */
GBytes *body_pack_answer (int status, const char *type, const char *org, const char *body,
                          gsize size);
bool body_unpack_answer (GBytes *bytes, int *status, char **type, char **org, char **body,
                         gsize *size);

#endif
