/* conf.c - settings. One table describes them for parsing, checking and the help text. */
#include "conf.h"

#include <arpa/inet.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

#define AT(field) offsetof (Conf, field)

static const FtField fields[] = {
  { "id", FT_FIELD_INTEGER, true, 1, 100000, NULL, AT (id),
    "number of this instance, unique in the deployment" },
  { "region", FT_FIELD_STRING, false, 0, 63, "", AT (region), "region of this instance" },
  { "failure_domain", FT_FIELD_STRING, true, 1, 63, NULL, AT (failure_domain),
    "failure domain of this instance" },
  { "address", FT_FIELD_STRING, true, 2, 45, NULL, AT (address),
    "IPv4 address on which all ports listen" },
  { "caller_port", FT_FIELD_INTEGER, true, 1, 65535, NULL, AT (caller_port), "port for callers" },
  { "operator_port", FT_FIELD_INTEGER, true, 1, 65535, NULL, AT (operator_port),
    "port for operators" },
  { "link_port", FT_FIELD_INTEGER, true, 1, 65535, NULL, AT (link_port),
    "port for other instances" },
  { "link_key_file", FT_FIELD_STRING, true, 1, 4095, NULL, AT (link_key_file),
    "file with the key that all instances share, at least 16 bytes" },
  { "operator_key_sha256", FT_FIELD_STRING, true, 64, 64, NULL, AT (operator_key_sha256),
    "SHA-256 of the operators' key, 64 lower-case hex digits" },
  { "platform_address", FT_FIELD_STRING, true, 1, 255, NULL, AT (platform_address),
    "URL of the platform's list of backend servers" },
  { "data_folder", FT_FIELD_STRING, false, 0, 4095, "", AT (data_folder),
    "folder for the state of a voter; required for voters" },
  { "log_level", FT_FIELD_STRING, false, 4, 5, "info", AT (log_level),
    "error, warn, info or debug" },
  { "span_file", FT_FIELD_STRING, false, 0, 4095, "", AT (span_file),
    "file to which trace spans are appended; empty: none" },
  { "tls_certificate_file", FT_FIELD_STRING, false, 0, 4095, "", AT (tls_certificate_file),
    "PEM certificate for both HTTP ports; empty: no TLS" },
  { "tls_key_file", FT_FIELD_STRING, false, 0, 4095, "", AT (tls_key_file),
    "PEM private key of the certificate" },
  { "body_bytes", FT_FIELD_INTEGER, false, 1024, 67108864, "4194304", AT (body_bytes),
    "largest body of a request, in bytes" },
  { "header_bytes", FT_FIELD_INTEGER, false, 4096, 1048576, "32768", AT (header_bytes),
    "memory for the headers of one connection, in bytes" },
  { "connections_per_address", FT_FIELD_INTEGER, false, 1, 100000, "1024",
    AT (connections_per_address), "most connections from one address of callers" },
  { "idle_s", FT_FIELD_INTEGER, false, 1, 3600, "30", AT (idle_s),
    "an idle connection is closed after this many seconds" },
  { "silence_ms", FT_FIELD_INTEGER, false, 100, 600000, "3000", AT (silence_ms),
    "a stream of a backend server without data for this many milliseconds gets a new connection" },
  { "connect_ms", FT_FIELD_INTEGER, false, 10, 60000, "500", AT (connect_ms),
    "timeout of connecting to a backend server, in milliseconds" },
  { "answer_keep_s", FT_FIELD_INTEGER, false, 1, 86400, "600", AT (answer_keep_s),
    "seconds for which an answer is kept and can be fetched again" },
  { "answer_keep_bytes", FT_FIELD_INTEGER, false, 1048576, 4294967296, "67108864",
    AT (answer_keep_bytes), "memory for kept answers, in bytes; the oldest are dropped first" },
  { "shutdown_s", FT_FIELD_INTEGER, false, 1, 86400, "900", AT (shutdown_s),
    "seconds for which a shutdown waits for running requests" },
  { 0 },
};

static const FtField instance_fields[] = {
  { "id", FT_FIELD_INTEGER, true, 1, 100000, NULL, offsetof (ConfInstance, id),
    "number of the instance" },
  { "address", FT_FIELD_STRING, true, 2, 45, NULL, offsetof (ConfInstance, address),
    "IPv4 address of the instance" },
  { "link_port", FT_FIELD_INTEGER, true, 1, 65535, NULL, offsetof (ConfInstance, link_port),
    "port of the instance for other instances" },
  { "failure_domain", FT_FIELD_STRING, true, 1, 63, NULL, offsetof (ConfInstance, failure_domain),
    "failure domain of the instance" },
  { "voter", FT_FIELD_BOOL, false, 0, 0, "false", offsetof (ConfInstance, voter),
    "stores the replicated log on disk and votes" },
  { 0 },
};

static void
instance_free (void *data)
{
  ft_json_fields_clear (instance_fields, data);
  g_free (data);
}

void
conf_free (Conf *conf)
{
  if (conf == NULL)
    return;
  ft_json_fields_clear (fields, conf);
  g_ptr_array_unref (conf->instances);
  g_free (conf);
}

const ConfInstance *
conf_find_instance (const Conf *conf, uint32_t id)
{
  for (unsigned i = 0; i < conf->instances->len; i++)
    if (((ConfInstance *) conf->instances->pdata[i])->id == id)
      return conf->instances->pdata[i];
  return NULL;
}

static FtStatus
fail (FtJson *doc, FtError *error, const char *field, const char *text)
{
  return ft_error_set (error, FT_INVALID, ft_json_line (doc, field), field, "%s", text);
}

static bool
is_ipv4 (const char *text)
{
  struct in_addr v4;

  return inet_pton (AF_INET, text, &v4) == 1;
}

static FtStatus
read_instances (FtJson *doc, Conf *conf, FtError *error)
{
  struct json_object *array;

  if (!json_object_object_get_ex (ft_json_root (doc), "instances", &array)
      || !json_object_is_type (array, json_type_array) || json_object_array_length (array) == 0)
    return fail (doc, error, "instances", "must be an array of all instances");
  for (size_t i = 0; i < json_object_array_length (array); i++)
    {
      ConfInstance *instance = g_new0 (ConfInstance, 1);
      char path[64], field[96];

      g_snprintf (path, sizeof path, "instances[%zu]", i);
      g_ptr_array_add (conf->instances, instance);
      FtStatus status = ft_json_fields (doc, json_object_array_get_idx (array, i), path,
                                        instance_fields, NULL, instance, error);
      if (status != FT_OK)
        return status;
      g_snprintf (field, sizeof field, "%s.address", path);
      if (!is_ipv4 (instance->address))
        return fail (doc, error, field, "must be an IPv4 address such as 10.0.0.1");
      g_snprintf (field, sizeof field, "%s.id", path);
      for (unsigned j = 0; j < i; j++)
        {
          const ConfInstance *other = conf->instances->pdata[j];
          if (other->id == instance->id)
            return fail (doc, error, field, "is the number of another instance too");
          if (other->link_port == instance->link_port
              && strcmp (other->address, instance->address) == 0)
            return fail (doc, error, field,
                         "address and link_port are those of another instance too");
        }
    }
  return FT_OK;
}

static unsigned
count_voters (const Conf *conf)
{
  unsigned count = 0;

  for (unsigned i = 0; i < conf->instances->len; i++)
    count += ((ConfInstance *) conf->instances->pdata[i])->voter;
  return count;
}

static FtStatus
check (FtJson *doc, const Conf *conf, FtError *error)
{
  const ConfInstance *own = conf_find_instance (conf, (uint32_t) conf->id);
  unsigned voters = count_voters (conf);

  if (!is_ipv4 (conf->address))
    return fail (doc, error, "address", "must be an IPv4 address such as 10.0.0.1");
  if (conf->operator_port == conf->caller_port)
    return fail (doc, error, "operator_port", "is the same as caller_port");
  if (conf->link_port == conf->caller_port || conf->link_port == conf->operator_port)
    return fail (doc, error, "link_port", "is the same as caller_port or operator_port");
  if (strspn (conf->operator_key_sha256, "0123456789abcdef") != 64)
    return fail (doc, error, "operator_key_sha256", "must be 64 lower-case hex digits");
  if (own == NULL)
    return fail (doc, error, "id", "is not the id of any element of instances");
  if (own->link_port != conf->link_port)
    return fail (doc, error, "link_port", "differs from link_port of this instance in instances");
  if (voters != 1 && voters != 3 && voters != 5 && voters != 7)
    return fail (doc, error, "instances", "must have 1, 3, 5 or 7 voters");
  if (own->voter && !*conf->data_folder)
    return fail (doc, error, "data_folder", "is required, because this instance is a voter");
  if (!*conf->tls_certificate_file != !*conf->tls_key_file)
    return fail (doc, error, "tls_key_file",
                 "tls_certificate_file and tls_key_file must be set together");
  if (strcmp (conf->log_level, "error") != 0 && strcmp (conf->log_level, "warn") != 0
      && strcmp (conf->log_level, "info") != 0 && strcmp (conf->log_level, "debug") != 0)
    return fail (doc, error, "log_level", "must be error, warn, info or debug");
  return FT_OK;
}

FtStatus
conf_parse (const char *text, Conf **out, FtError *error)
{
  static const char *const other_fields[] = { "instances", NULL };
  FtJson *doc = NULL;
  FtStatus status = ft_json_parse (text, &doc, error);

  *out = NULL;
  if (status != FT_OK)
    return status;
  Conf *conf = g_new0 (Conf, 1);
  conf->instances = g_ptr_array_new_with_free_func (instance_free);
  status = ft_json_fields (doc, ft_json_root (doc), "", fields, other_fields, conf, error);
  if (status == FT_OK)
    status = read_instances (doc, conf, error);
  if (status == FT_OK)
    status = check (doc, conf, error);
  ft_json_free (doc);
  if (status == FT_OK)
    *out = conf;
  else
    conf_free (conf);
  return status;
}

FtStatus
conf_read (const char *path, Conf **conf, FtError *error)
{
  char *text = NULL;

  *conf = NULL;
  FtStatus status = ft_text_read (path, &text, error);
  if (status == FT_OK)
    status = conf_parse (text, conf, error);
  g_free (text);
  return status;
}

static void
print_fields (const FtField *field, const char *prefix)
{
  static const char *const types[] = { "string", "integer", "bool", "strings" };

  for (; field->name; field++)
    {
      printf ("%s%s: %s", prefix, field->name, types[field->type]);
      if (field->type == FT_FIELD_INTEGER)
        printf (" from %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT, field->low, field->high);
      else if (field->type == FT_FIELD_STRING)
        printf (" of %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT " bytes", field->low, field->high);
      if (field->required)
        printf (", required");
      else
        printf (", default %s", *field->fallback ? field->fallback : "empty");
      printf ("\n    %s\n", field->help);
    }
}

void
conf_print_help (void)
{
  print_fields (fields, "");
  printf ("instances: array, required\n    all instances, including this one, each with:\n");
  print_fields (instance_fields, "  ");
}
