/* conf.h - settings of one instance. */
#ifndef CONF_H
#define CONF_H

#include "foxtail.h"

/* One element of the setting "instances". */
typedef struct
{
  int64_t id, link_port;
  char *address, *failure_domain;
  bool voter;
} ConfInstance;

typedef struct
{
  int64_t id;
  char *region, *failure_domain, *address;
  int64_t caller_port, operator_port, link_port;
  char *link_key_file, *operator_key_sha256, *platform_address;
  char *data_folder, *log_level, *span_file;
  char *tls_certificate_file, *tls_key_file;
  int64_t body_bytes, connections_per_address, idle_s, header_bytes;
  int64_t silence_ms, connect_ms, answer_keep_s, answer_keep_bytes, shutdown_s;
  GPtrArray *instances; /* ConfInstance */
} Conf;

/* Read and check a settings file, or its text. Errors name line and field. */
FtStatus conf_read (const char *path, Conf **conf, FtError *error);
FtStatus conf_parse (const char *text, Conf **conf, FtError *error);
void conf_free (Conf *conf);
/* Prints every setting with type, range, default and meaning. */
void conf_print_help (void);
/* The instance with this id; NULL: none. */
const ConfInstance *conf_find_instance (const Conf *conf, uint32_t id);

#endif
