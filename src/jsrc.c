/* jsrc.c - JSON with comments, read into typed records with errors that name line and field.
 *
 * json-c parses the text. What it does not tell is found by a second, small pass over the same
 * text: the line of each value and keys that stand twice in one object (json-c keeps the last one
 * silently, so that an operator's limit could be overruled unseen). The pass runs only over text
 * that json-c has accepted, so it needs no error handling of its own beyond duplicates.
 */
#include "foxtail.h"

#include <json-c/json.h>
#include <string.h>

struct FtJson
{
  struct json_object *root;
  GHashTable *lines; /* path -> line */
};

typedef struct
{
  const char *at;
  unsigned line;
  GHashTable *lines;
  FtError *error;
} Scan;

static void
skip_space (Scan *scan)
{
  for (;;)
    {
      if (scan->at[0] == '/' && scan->at[1] == '/')
        scan->at += strcspn (scan->at, "\n");
      else if (scan->at[0] == '/' && scan->at[1] == '*')
        {
          for (scan->at += 2; *scan->at && !(scan->at[0] == '*' && scan->at[1] == '/'); scan->at++)
            scan->line += *scan->at == '\n';
          if (*scan->at)
            scan->at += 2;
        }
      else if (*scan->at && strchr (" \t\r\n", *scan->at))
        scan->line += *scan->at++ == '\n';
      else
        return;
    }
}

static char *
scan_string (Scan *scan)
{
  char quote = *scan->at++;
  const char *start = scan->at;

  while (*scan->at && *scan->at != quote)
    {
      if (*scan->at == '\\' && scan->at[1])
        scan->at++;
      scan->line += *scan->at == '\n';
      scan->at++;
    }
  char *text = g_strndup (start, (gsize) (scan->at - start));
  if (*scan->at)
    scan->at++;
  return text;
}

static FtStatus scan_value (Scan *scan, const char *path);

static FtStatus
scan_member (Scan *scan, const char *path)
{
  unsigned line = scan->line;
  FtStatus status = FT_OK;
  char *key = scan_string (scan);
  char *full = *path ? g_strdup_printf ("%s.%s", path, key) : g_strdup (key);

  if (g_hash_table_contains (scan->lines, full))
    {
      status = ft_error_set (scan->error, FT_INVALID, line, full,
                             "the key stands twice, first on line %u; keep one",
                             GPOINTER_TO_UINT (g_hash_table_lookup (scan->lines, full)));
      goto out;
    }
  skip_space (scan);
  if (*scan->at == ':')
    scan->at++;
  status = scan_value (scan, full);
out:
  g_free (key);
  g_free (full);
  return status;
}

static FtStatus
scan_container (Scan *scan, const char *path, char end)
{
  unsigned index = 0;

  scan->at++;
  for (;;)
    {
      FtStatus status;

      skip_space (scan);
      if (*scan->at == ',')
        {
          scan->at++;
          continue;
        }
      if (*scan->at == '\0')
        return FT_OK;
      if (*scan->at == end)
        {
          scan->at++;
          return FT_OK;
        }
      if (end == '}' && (*scan->at == '"' || *scan->at == '\''))
        status = scan_member (scan, path);
      else
        {
          char *full = g_strdup_printf ("%s[%u]", path, index++);
          status = scan_value (scan, full);
          g_free (full);
        }
      if (status != FT_OK)
        return status;
    }
}

static FtStatus
scan_value (Scan *scan, const char *path)
{
  skip_space (scan);
  g_hash_table_insert (scan->lines, g_strdup (path), GUINT_TO_POINTER (scan->line));
  switch (*scan->at)
    {
    case '{':
      return scan_container (scan, path, '}');
    case '[':
      return scan_container (scan, path, ']');
    case '"':
    case '\'':
      g_free (scan_string (scan));
      return FT_OK;
    default:
      {
        size_t length = strcspn (scan->at, ",]} \t\r\n");
        scan->at += length ? length : *scan->at != '\0';
        return FT_OK;
      }
    }
}

static unsigned
line_of_offset (const char *text, size_t offset)
{
  unsigned line = 1;

  for (size_t i = 0; i < offset && text[i]; i++)
    line += text[i] == '\n';
  return line;
}

FtStatus
ft_text_read (const char *path, char **text, FtError *error)
{
  GError *failure = NULL;

  if (g_file_get_contents (path, text, NULL, &failure))
    return FT_OK;
  ft_error_set (error, FT_IO, 0, "", "%s", failure->message);
  g_error_free (failure);
  return FT_IO;
}

FtStatus
ft_json_parse (const char *text, FtJson **out, FtError *error)
{
  FtStatus status = FT_OK;
  struct json_tokener *tokener = json_tokener_new_ex (32);
  struct json_object *root = NULL;
  GHashTable *lines = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  size_t length = strlen (text);
  Scan scan = { text, 1, lines, error };

  *out = NULL;
  if (length > 64 * 1024 * 1024 || !g_utf8_validate (text, -1, NULL))
    {
      status = ft_error_set (error, FT_INVALID, 0, "", "not UTF-8 text of at most 64 MiB");
      goto out;
    }
  root = json_tokener_parse_ex (tokener, text, (int) length + 1);
  if (json_tokener_get_error (tokener) != json_tokener_success)
    {
      status = ft_error_set (
          error, FT_INVALID, line_of_offset (text, json_tokener_get_parse_end (tokener)), "",
          "not JSON: %s", json_tokener_error_desc (json_tokener_get_error (tokener)));
      goto out;
    }
  size_t end = json_tokener_get_parse_end (tokener);
  scan.at = text + MIN (end, length);
  scan.line = line_of_offset (text, end);
  skip_space (&scan);
  if (*scan.at != '\0')
    {
      status = ft_error_set (error, FT_INVALID, scan.line, "", "text after the end of the object");
      goto out;
    }
  if (!json_object_is_type (root, json_type_object))
    {
      status = ft_error_set (error, FT_INVALID, 1, "", "the document must be an object {...}");
      goto out;
    }
  scan.at = text;
  scan.line = 1;
  status = scan_value (&scan, "");
  if (status != FT_OK)
    goto out;
  *out = g_new0 (FtJson, 1);
  (*out)->root = g_steal_pointer (&root);
  (*out)->lines = g_steal_pointer (&lines);
out:
  if (root)
    json_object_put (root);
  if (lines)
    g_hash_table_unref (lines);
  json_tokener_free (tokener);
  return status;
}

void
ft_json_free (FtJson *doc)
{
  if (doc == NULL)
    return;
  json_object_put (doc->root);
  g_hash_table_unref (doc->lines);
  g_free (doc);
}

void *
ft_json_root (FtJson *doc)
{
  return doc->root;
}

unsigned
ft_json_line (FtJson *doc, const char *path)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (doc->lines, path));
}

static char *
member_path (const char *path, const char *name)
{
  return *path ? g_strdup_printf ("%s.%s", path, name) : g_strdup (name);
}

static bool
string_is_plain (const char *text)
{
  for (; *text; text++)
    if ((unsigned char) *text < 0x20)
      return false;
  return true;
}

static FtStatus
read_strings (FtJson *doc, struct json_object *value, const FtField *field, const char *path,
              GPtrArray **out, FtError *error)
{
  if (!json_object_is_type (value, json_type_array))
    return ft_error_set (error, FT_INVALID, ft_json_line (doc, path), path,
                         "must be an array of strings");
  size_t count = json_object_array_length (value);
  if ((int64_t) count < field->low || (int64_t) count > field->high)
    return ft_error_set (error, FT_INVALID, ft_json_line (doc, path), path,
                         "must have %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT " items", field->low,
                         field->high);
  for (size_t i = 0; i < count; i++)
    {
      struct json_object *item = json_object_array_get_idx (value, i);
      if (!json_object_is_type (item, json_type_string)
          || !string_is_plain (json_object_get_string (item)))
        return ft_error_set (error, FT_INVALID, ft_json_line (doc, path), path,
                             "item %zu must be a string without control characters", i);
      g_ptr_array_add (*out, g_strdup (json_object_get_string (item)));
    }
  return FT_OK;
}

static FtStatus
read_field (FtJson *doc, struct json_object *value, const FtField *field, const char *path,
            void *slot, FtError *error)
{
  unsigned line = ft_json_line (doc, path);

  switch (field->type)
    {
    case FT_FIELD_STRING:
      {
        if (!json_object_is_type (value, json_type_string))
          return ft_error_set (error, FT_INVALID, line, path, "must be a string");
        int length = json_object_get_string_len (value);
        const char *text = json_object_get_string (value);
        if (length < field->low || length > field->high || strlen (text) != (size_t) length
            || !string_is_plain (text))
          return ft_error_set (error, FT_INVALID, line, path,
                               "must be a string of %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT
                               " bytes without control characters",
                               field->low, field->high);
        g_free (*(char **) slot);
        *(char **) slot = g_strdup (text);
        return FT_OK;
      }
    case FT_FIELD_INTEGER:
      {
        int64_t number = json_object_get_int64 (value);
        if (!json_object_is_type (value, json_type_int) || number < field->low
            || number > field->high)
          return ft_error_set (error, FT_INVALID, line, path,
                               "must be a whole number from %" G_GINT64_FORMAT
                               " to %" G_GINT64_FORMAT,
                               field->low, field->high);
        *(int64_t *) slot = number;
        return FT_OK;
      }
    case FT_FIELD_TRUNCATED:
      {
        double number = json_object_get_double (value);
        bool is_number = json_object_is_type (value, json_type_int)
                         || json_object_is_type (value, json_type_double);
        if (!is_number || !(number >= (double) field->low && number <= (double) field->high))
          return ft_error_set (error, FT_INVALID, line, path,
                               "must be a number from %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT,
                               field->low, field->high);
        *(int64_t *) slot = (int64_t) number;
        return FT_OK;
      }
    case FT_FIELD_BOOL:
      if (!json_object_is_type (value, json_type_boolean))
        return ft_error_set (error, FT_INVALID, line, path, "must be true or false");
      *(bool *) slot = json_object_get_boolean (value);
      return FT_OK;
    default:
      return read_strings (doc, value, field, path, slot, error);
    }
}

static void
set_fallback (const FtField *field, void *slot)
{
  switch (field->type)
    {
    case FT_FIELD_STRING:
      *(char **) slot = g_strdup (field->fallback ? field->fallback : "");
      break;
    case FT_FIELD_INTEGER:
    case FT_FIELD_TRUNCATED:
      *(int64_t *) slot = field->fallback ? g_ascii_strtoll (field->fallback, NULL, 10) : 0;
      break;
    case FT_FIELD_BOOL:
      *(bool *) slot = field->fallback && strcmp (field->fallback, "true") == 0;
      break;
    default:
      *(GPtrArray **) slot = g_ptr_array_new_with_free_func (g_free);
    }
}

static const FtField *
find_field (const FtField *table, const char *name)
{
  for (; table->name; table++)
    if (strcmp (table->name, name) == 0)
      return table;
  return NULL;
}

FtStatus
ft_json_fields (FtJson *doc, void *object, const char *path, const FtField *table,
                const char *const *more, void *record, FtError *error)
{
  FtStatus status = FT_OK;

  for (const FtField *field = table; field->name; field++)
    set_fallback (field, (char *) record + field->offset);
  if (!json_object_is_type (object, json_type_object))
    return ft_error_set (error, FT_INVALID, ft_json_line (doc, path), path,
                         "must be an object {...}");
  json_object_object_foreach (object, key, value)
  {
    const FtField *field = find_field (table, key);
    char *full = member_path (path, key);
    if (field)
      status = read_field (doc, value, field, full, (char *) record + field->offset, error);
    else if (more == NULL || !g_strv_contains (more, key))
      status = ft_error_set (error, FT_INVALID, ft_json_line (doc, full), full,
                             "unknown key; see the list of fields in the documentation");
    g_free (full);
    if (status != FT_OK)
      return status;
  }
  for (const FtField *field = table; field->name; field++)
    if (field->required && !json_object_object_get_ex (object, field->name, NULL))
      {
        char *full = member_path (path, field->name);
        status = ft_error_set (error, FT_INVALID, ft_json_line (doc, path), full, "is missing: %s",
                               field->help);
        g_free (full);
        return status;
      }
  return FT_OK;
}

void
ft_json_fields_clear (const FtField *table, void *record)
{
  for (const FtField *field = table; field->name; field++)
    {
      void *slot = (char *) record + field->offset;
      if (field->type == FT_FIELD_STRING)
        g_clear_pointer ((char **) slot, g_free);
      else if (field->type == FT_FIELD_STRINGS)
        g_clear_pointer ((GPtrArray **) slot, g_ptr_array_unref);
    }
}
