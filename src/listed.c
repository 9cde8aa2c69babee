/* listed.c - which versions of each service's servers were listed lately, for streams that nobody
 * knows after a loss of many instances: they may go on only if one version alone can have begun
 * them. The leader proposes each change, so what it has seen survives the loss of all instances.
 *
 * The log of an older program has no such table. It counts as complete only from the first change
 * on, which a leader proposes once it has watched the list for long enough, or from the first
 * catalogue on.
 */
#include "listed.h"

#include <string.h>

struct ListedTable
{
  uint64_t index;
  GPtrArray *services; /* MsgListedService */
};

static void
service_free (void *data)
{
  codec_clear (CODEC (MsgListedService), data);
  g_free (data);
}

ListedTable *
listed_new (void)
{
  ListedTable *table = g_new0 (ListedTable, 1);

  table->services = g_ptr_array_new_with_free_func (service_free);
  return table;
}

void
listed_free (ListedTable *table)
{
  if (table == NULL)
    return;
  g_ptr_array_unref (table->services);
  g_free (table);
}

static MsgListedService *
service_copy (const MsgListedService *from)
{
  MsgListedService *copy = g_new0 (MsgListedService, 1);
  unsigned count = from->versions.versions_len;

  copy->service = strdup (from->service);
  copy->versions.versions_len = count;
  copy->versions.versions_val = calloc (MAX (count, 1), sizeof *copy->versions.versions_val);
  for (unsigned i = 0; i < count; i++)
    copy->versions.versions_val[i] = strdup (from->versions.versions_val[i]);
  return copy;
}

void
listed_begin (ListedTable *table, uint64_t index)
{
  if (table->index == 0)
    table->index = index;
}

void
listed_apply (ListedTable *table, uint64_t index, const MsgListedService *service)
{
  for (unsigned i = 0; i < table->services->len; i++)
    {
      const MsgListedService *known = table->services->pdata[i];
      if (strcmp (known->service, service->service) == 0)
        {
          g_ptr_array_remove_index_fast (table->services, i);
          break;
        }
    }
  if (table->services->len >= FT_LISTED_SERVICES_MAX)
    return;
  g_ptr_array_add (table->services, service_copy (service));
  table->index = index;
}

uint64_t
listed_index (const ListedTable *table)
{
  return table->index;
}

void
listed_capture (const ListedTable *table, MsgListedTable *out)
{
  unsigned count = table->services->len;

  *out = (MsgListedTable){ .index = table->index };
  out->services.services_len = count;
  out->services.services_val = g_new0 (MsgListedService, count + 1);
  for (unsigned i = 0; i < count; i++)
    out->services.services_val[i] = *(const MsgListedService *) table->services->pdata[i];
}

void
listed_restore (ListedTable *table, const MsgListedTable *in)
{
  g_ptr_array_set_size (table->services, 0);
  table->index = in->index;
  for (unsigned i = 0; i < in->services.services_len; i++)
    g_ptr_array_add (table->services, service_copy (&in->services.services_val[i]));
}
