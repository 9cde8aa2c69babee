/* cat.c - the catalogue: organisations, classes and pools, validated as a whole and immutable.
 *
 * Each revision is one text. A reader takes a reference and uses the same revision for a whole
 * request, so that a change never takes effect in the middle of a decision.
 */
#include "foxtail.h"

#include <json-c/json.h>
#include <string.h>

struct FtCat
{
  gint refs;
  uint64_t revision;
  char *text;
  GPtrArray *orgs, *classes, *pools;
  GHashTable *org_by_name, *class_by_name, *pool_by_name, *pool_by_model;
};

#define COUNT_MAX G_GINT64_CONSTANT (1000000000)
#define DAY_MS    G_GINT64_CONSTANT (86400000)

static const FtField limit_fields[] = {
  { "concurrent", FT_FIELD_INTEGER, false, 0, COUNT_MAX, "0", offsetof (FtLimits, concurrent),
    "concurrent requests; 0: no limit" },
  { "requests_per_minute", FT_FIELD_INTEGER, false, 0, COUNT_MAX, "0",
    offsetof (FtLimits, requests_per_minute), "requests per minute; 0: no limit" },
  { "tokens_per_minute", FT_FIELD_INTEGER, false, 0, COUNT_MAX, "0",
    offsetof (FtLimits, tokens_per_minute), "tokens of prompt and answer per minute; 0: no limit" },
  { "queue", FT_FIELD_INTEGER, false, 0, COUNT_MAX, "0", offsetof (FtLimits, queue),
    "waiting requests; 0: no limit" },
  { 0 },
};

static const FtField org_fields[] = {
  { "name", FT_FIELD_STRING, true, 1, 63, NULL, offsetof (FtOrg, name), "the organisation's name" },
  { "owner", FT_FIELD_STRING, true, 1, 127, NULL, offsetof (FtOrg, owner),
    "who is responsible for it" },
  { "class", FT_FIELD_STRING, true, 1, 63, NULL, offsetof (FtOrg, class_name),
    "class of requests that name none" },
  { "key_sha256", FT_FIELD_STRING, true, 64, 64, NULL, offsetof (FtOrg, key_sha256),
    "SHA-256 of its key, 64 lower-case hex digits" },
  { "weight", FT_FIELD_INTEGER, false, 1, 1000, "1", offsetof (FtOrg, weight),
    "share within a tier" },
  { 0 },
};

static const FtField class_fields[] = {
  { "name", FT_FIELD_STRING, true, 1, 63, NULL, offsetof (FtClass, name), "the class's name" },
  { "owner", FT_FIELD_STRING, true, 1, 127, NULL, offsetof (FtClass, owner),
    "who is responsible for it" },
  { "tier", FT_FIELD_INTEGER, true, 1, FT_TIERS, NULL, offsetof (FtClass, tier),
    "1 (highest) to 5" },
  { "first_token_ms", FT_FIELD_INTEGER, false, 1, DAY_MS, "2000",
    offsetof (FtClass, first_token_ms), "milliseconds to the first token" },
  { "deadline_ms", FT_FIELD_INTEGER, false, 1, DAY_MS, "60000", offsetof (FtClass, deadline_ms),
    "milliseconds to the complete answer" },
  { 0 },
};

static const FtField pool_fields[] = {
  { "name", FT_FIELD_STRING, true, 1, 63, NULL, offsetof (FtPoolEntry, name), "the pool's name" },
  { "owner", FT_FIELD_STRING, true, 1, 127, NULL, offsetof (FtPoolEntry, owner),
    "who is responsible for it" },
  { "class", FT_FIELD_STRING, true, 1, 63, NULL, offsetof (FtPoolEntry, class_name),
    "class of requests whose organisation names none" },
  { "kind", FT_FIELD_STRING, true, 5, 7, NULL, offsetof (FtPoolEntry, kind),
    "\"model\" or \"service\"" },
  { "model", FT_FIELD_STRING, false, 0, 127, "", offsetof (FtPoolEntry, model),
    "model pools: the model's name" },
  { "version", FT_FIELD_STRING, false, 0, 63, "", offsetof (FtPoolEntry, version),
    "model pools: the version to be loaded" },
  { "path", FT_FIELD_STRING, false, 0, 127, "", offsetof (FtPoolEntry, path),
    "service pools: the path prefix" },
  { "region", FT_FIELD_STRING, false, 0, 63, "", offsetof (FtPoolEntry, region), "its region" },
  { "inter_token_ms", FT_FIELD_INTEGER, false, 1, 10000, "27",
    offsetof (FtPoolEntry, inter_token_ms), "target time between two tokens, milliseconds" },
  { "window", FT_FIELD_INTEGER, false, 1, 4096, "64", offsetof (FtPoolEntry, window),
    "maximum of concurrent requests on one backend server" },
  { "idempotent", FT_FIELD_BOOL, false, 0, 0, "true", offsetof (FtPoolEntry, idempotent),
    "false: no call may run twice" },
  { "fencing_check", FT_FIELD_BOOL, false, 0, 0, "false", offsetof (FtPoolEntry, fencing_check),
    "its backend servers reject orders with an outdated fencing number" },
  { 0 },
};

static void
org_free (void *data)
{
  ft_json_fields_clear (org_fields, data);
  g_free (data);
}

static void
class_free (void *data)
{
  ft_json_fields_clear (class_fields, data);
  g_free (data);
}

static void
pool_free (void *data)
{
  ft_json_fields_clear (pool_fields, data);
  g_free (data);
}

static bool
is_valid_name (const char *name)
{
  for (; *name; name++)
    if (!g_ascii_isalnum (*name) && !strchr ("._-", *name))
      return false;
  return true;
}

/* A section of the catalogue, with what differs between organisations, classes and pools. */
typedef struct
{
  const char *name;
  const FtField *fields;
  size_t size, limits_offset, name_offset;
  GDestroyNotify free_record;
} Section;

static const Section sections[] = {
  { "organisations", org_fields, sizeof (FtOrg), offsetof (FtOrg, limits), offsetof (FtOrg, name),
    org_free },
  { "classes", class_fields, sizeof (FtClass), offsetof (FtClass, limits), offsetof (FtClass, name),
    class_free },
  { "pools", pool_fields, sizeof (FtPoolEntry), offsetof (FtPoolEntry, limits),
    offsetof (FtPoolEntry, name), pool_free },
};

static FtStatus
read_record (FtJson *doc, struct json_object *item, const char *path, const Section *section,
             void *record, FtError *error)
{
  static const char *const more[] = { "limits", NULL };
  struct json_object *limits;
  FtStatus status = ft_json_fields (doc, item, path, section->fields, more, record, error);

  if (status != FT_OK)
    return status;
  char *limits_path = g_strconcat (path, ".limits", NULL);
  if (json_object_object_get_ex (item, "limits", &limits))
    status = ft_json_fields (doc, limits, limits_path, limit_fields, NULL,
                             (char *) record + section->limits_offset, error);
  else
    status = ft_error_set (error, FT_INVALID, ft_json_line (doc, path), limits_path,
                           "is missing: every entry must have limits, {} for none");
  g_free (limits_path);
  return status;
}

static FtStatus
read_section (FtJson *doc, const Section *section, GPtrArray *records, GHashTable *by_name,
              FtError *error)
{
  struct json_object *array;
  FtStatus status = FT_OK;

  if (!json_object_object_get_ex (ft_json_root (doc), section->name, &array)
      || !json_object_is_type (array, json_type_array))
    return ft_error_set (error, FT_INVALID, ft_json_line (doc, section->name), section->name,
                         "must be an array of entries");
  for (size_t i = 0; i < json_object_array_length (array) && status == FT_OK; i++)
    {
      void *record = g_malloc0 (section->size);
      char *path = g_strdup_printf ("%s[%zu]", section->name, i);

      g_ptr_array_add (records, record);
      status
          = read_record (doc, json_object_array_get_idx (array, i), path, section, record, error);
      if (status == FT_OK)
        {
          char *name = *(char **) ((char *) record + section->name_offset);
          char *field = g_strconcat (path, ".name", NULL);
          if (!is_valid_name (name))
            status = ft_error_set (error, FT_INVALID, ft_json_line (doc, field), field,
                                   "may contain only letters, digits, '.', '_' and '-'");
          else if (!g_hash_table_insert (by_name, name, record))
            status = ft_error_set (error, FT_INVALID, ft_json_line (doc, field), field,
                                   "\"%s\" occurs twice in %s", name, section->name);
          g_free (field);
        }
      g_free (path);
    }
  return status;
}

static FtStatus
fail_at (FtJson *doc, const char *section, unsigned index, const char *name, FtError *error,
         const char *text)
{
  char *path = g_strdup_printf ("%s[%u].%s", section, index, name);
  char *entry = g_strdup_printf ("%s[%u]", section, index);
  unsigned line = ft_json_line (doc, path);
  FtStatus status
      = ft_error_set (error, FT_INVALID, line ? line : ft_json_line (doc, entry), path, "%s", text);
  g_free (entry);
  g_free (path);
  return status;
}

static FtStatus
check_orgs (const FtCat *cat, FtJson *doc, FtError *error)
{
  FtStatus status = FT_OK;
  GHashTable *keys = g_hash_table_new (g_str_hash, g_str_equal);

  for (unsigned i = 0; i < cat->orgs->len && status == FT_OK; i++)
    {
      const FtOrg *org = cat->orgs->pdata[i];
      if (strspn (org->key_sha256, "0123456789abcdef") != 64)
        status = fail_at (doc, "organisations", i, "key_sha256", error,
                          "must be 64 lower-case hex digits");
      else if (!g_hash_table_add (keys, org->key_sha256))
        status = fail_at (doc, "organisations", i, "key_sha256", error,
                          "is also the key of another organisation");
      else if (!ft_cat_class (cat, org->class_name))
        status = fail_at (doc, "organisations", i, "class", error, "is not among classes");
    }
  g_hash_table_unref (keys);
  return status;
}

static FtStatus
check_pools (FtCat *cat, FtJson *doc, FtError *error)
{
  for (unsigned i = 0; i < cat->pools->len; i++)
    {
      FtPoolEntry *pool = cat->pools->pdata[i];
      bool model = strcmp (pool->kind, "model") == 0;

      if (!model && strcmp (pool->kind, "service") != 0)
        return fail_at (doc, "pools", i, "kind", error, "must be \"model\" or \"service\"");
      if (!ft_cat_class (cat, pool->class_name))
        return fail_at (doc, "pools", i, "class", error, "is not among classes");
      if (model && !*pool->model)
        return fail_at (doc, "pools", i, "model", error,
                        "is missing: a model pool must have a model");
      if (!model && (pool->path[0] != '/' || strlen (pool->path) < 2))
        return fail_at (doc, "pools", i, "path", error,
                        "is missing: a service pool must have a path, \"/...\"");
      if (!model && g_str_has_prefix (pool->path, "/v1/"))
        return fail_at (doc, "pools", i, "path", error, "/v1/ is reserved for model requests");
      if (!g_hash_table_insert (cat->pool_by_model, model ? pool->model : pool->path, pool))
        return fail_at (doc, "pools", i, model ? "model" : "path", error,
                        "is also served by another pool");
    }
  return FT_OK;
}

static FtStatus
read_catalogue (FtCat *cat, FtJson *doc, FtError *error)
{
  GPtrArray *records[] = { cat->orgs, cat->classes, cat->pools };
  GHashTable *names[] = { cat->org_by_name, cat->class_by_name, cat->pool_by_name };
  static const char *const known[] = { "organisations", "classes", "pools", NULL };
  static const FtField none[] = { { 0 } };
  FtStatus status = ft_json_fields (doc, ft_json_root (doc), "", none, known, NULL, error);

  for (unsigned i = 0; i < G_N_ELEMENTS (sections) && status == FT_OK; i++)
    status = read_section (doc, &sections[i], records[i], names[i], error);
  if (status == FT_OK)
    status = check_orgs (cat, doc, error);
  if (status == FT_OK)
    status = check_pools (cat, doc, error);
  return status;
}

FtStatus
ft_cat_new (const char *text, uint64_t revision, FtCat **out, FtError *error)
{
  FtJson *doc = NULL;
  FtStatus status = ft_json_parse (text, &doc, error);

  *out = NULL;
  if (status != FT_OK)
    return status;
  FtCat *cat = g_new0 (FtCat, 1);
  cat->refs = 1;
  cat->revision = revision;
  cat->text = g_strdup (text);
  cat->orgs = g_ptr_array_new_with_free_func (org_free);
  cat->classes = g_ptr_array_new_with_free_func (class_free);
  cat->pools = g_ptr_array_new_with_free_func (pool_free);
  cat->org_by_name = g_hash_table_new (g_str_hash, g_str_equal);
  cat->class_by_name = g_hash_table_new (g_str_hash, g_str_equal);
  cat->pool_by_name = g_hash_table_new (g_str_hash, g_str_equal);
  cat->pool_by_model = g_hash_table_new (g_str_hash, g_str_equal);
  status = read_catalogue (cat, doc, error);
  ft_json_free (doc);
  if (status == FT_OK)
    *out = cat;
  else
    ft_cat_unref (cat);
  return status;
}

FtCat *
ft_cat_ref (FtCat *cat)
{
  g_atomic_int_inc (&cat->refs);
  return cat;
}

void
ft_cat_unref (FtCat *cat)
{
  if (cat == NULL || !g_atomic_int_dec_and_test (&cat->refs))
    return;
  g_hash_table_unref (cat->org_by_name);
  g_hash_table_unref (cat->class_by_name);
  g_hash_table_unref (cat->pool_by_name);
  g_hash_table_unref (cat->pool_by_model);
  g_ptr_array_unref (cat->orgs);
  g_ptr_array_unref (cat->classes);
  g_ptr_array_unref (cat->pools);
  g_free (cat->text);
  g_free (cat);
}

uint64_t
ft_cat_revision (const FtCat *cat)
{
  return cat->revision;
}

const char *
ft_cat_text (const FtCat *cat)
{
  return cat->text;
}

const FtOrg *
ft_cat_org (const FtCat *cat, const char *name)
{
  return g_hash_table_lookup (cat->org_by_name, name);
}

const FtOrg *
ft_cat_org_by_key (const FtCat *cat, const char *key_sha256)
{
  const FtOrg *found = NULL;

  if (strlen (key_sha256) != 64)
    return NULL;
  for (unsigned i = 0; i < cat->orgs->len; i++)
    {
      const FtOrg *org = cat->orgs->pdata[i];
      unsigned char differ = 0;
      for (unsigned j = 0; j < 64; j++)
        differ |= (unsigned char) (org->key_sha256[j] ^ key_sha256[j]);
      if (differ == 0)
        found = org;
    }
  return found;
}

const FtClass *
ft_cat_class (const FtCat *cat, const char *name)
{
  return g_hash_table_lookup (cat->class_by_name, name);
}

const FtPoolEntry *
ft_cat_pool (const FtCat *cat, const char *name)
{
  return g_hash_table_lookup (cat->pool_by_name, name);
}

const FtPoolEntry *
ft_cat_pool_for_model (const FtCat *cat, const char *model)
{
  return g_hash_table_lookup (cat->pool_by_model, model);
}

const FtPoolEntry *
ft_cat_pool_for_path (const FtCat *cat, const char *path)
{
  const FtPoolEntry *best = NULL;

  for (unsigned i = 0; i < cat->pools->len; i++)
    {
      const FtPoolEntry *pool = cat->pools->pdata[i];
      size_t length = strlen (pool->path);
      if (length && strncmp (path, pool->path, length) == 0
          && (path[length] == '\0' || path[length] == '/' || path[length] == '?')
          && (best == NULL || length > strlen (best->path)))
        best = pool;
    }
  return best;
}

unsigned
ft_cat_org_count (const FtCat *cat)
{
  return cat->orgs->len;
}

const FtOrg *
ft_cat_org_at (const FtCat *cat, unsigned index)
{
  return cat->orgs->pdata[index];
}

unsigned
ft_cat_pool_count (const FtCat *cat)
{
  return cat->pools->len;
}

const FtPoolEntry *
ft_cat_pool_at (const FtCat *cat, unsigned index)
{
  return cat->pools->pdata[index];
}

/* Maps the name of each entry of a section to its compact text, to compare two revisions. */
static GHashTable *
entry_texts (const FtCat *cat, const char *section)
{
  GHashTable *texts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  FtJson *doc = NULL;
  struct json_object *array;

  if (cat == NULL || ft_json_parse (cat->text, &doc, NULL) != FT_OK)
    return texts;
  if (json_object_object_get_ex (ft_json_root (doc), section, &array))
    for (size_t i = 0; i < json_object_array_length (array); i++)
      {
        struct json_object *entry = json_object_array_get_idx (array, i);
        struct json_object *name = json_object_object_get (entry, "name");
        g_hash_table_insert (
            texts, g_strdup (json_object_get_string (name)),
            g_strdup (json_object_to_json_string_ext (entry, JSON_C_TO_STRING_PLAIN)));
      }
  ft_json_free (doc);
  return texts;
}

static void
diff_section (GString *out, const char *section, GHashTable *before, GHashTable *after)
{
  GHashTableIter iter;
  void *name, *text;

  g_hash_table_iter_init (&iter, after);
  while (g_hash_table_iter_next (&iter, &name, &text))
    {
      const char *old = g_hash_table_lookup (before, name);
      if (old == NULL)
        g_string_append_printf (out, "+ %s %s\n", section, (char *) name);
      else if (strcmp (old, text) != 0)
        g_string_append_printf (out, "~ %s %s\n    was %s\n    now %s\n", section, (char *) name,
                                old, (char *) text);
    }
  g_hash_table_iter_init (&iter, before);
  while (g_hash_table_iter_next (&iter, &name, &text))
    if (!g_hash_table_contains (after, name))
      g_string_append_printf (out, "- %s %s\n", section, (char *) name);
}

char *
ft_cat_diff (const FtCat *before, const FtCat *after)
{
  GString *out = g_string_new (NULL);

  for (unsigned i = 0; i < G_N_ELEMENTS (sections); i++)
    {
      GHashTable *old = entry_texts (before, sections[i].name);
      GHashTable *new = entry_texts (after, sections[i].name);
      diff_section (out, sections[i].name, old, new);
      g_hash_table_unref (old);
      g_hash_table_unref (new);
    }
  return g_string_free (out, FALSE);
}
