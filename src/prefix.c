/* prefix.c - which backend server probably holds which leading part of a prompt.
 *
 * A prompt's leading blocks are hashed in a chain, so that one hash stands for everything up to
 * its block. Per block the index keeps the servers that hold it, at most HOLDERS; per server the
 * blocks are kept in order of use and the oldest are dropped beyond its capacity, which follows
 * the bounded memory of the engine's own cache. Engines publish cache events late and with gaps: a
 * gap halves the trust in what is known of that server, and each block seen again restores some of
 * it; clearing everything instead would send hot prefixes to servers that would compute them anew.
 */
#include "foxtail.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#define HOLDERS 6

typedef struct Block Block;

typedef struct
{
  struct cds_list_head link; /* in the server's order of use, newest first */
  Block *block;              /* NULL: slot unused */
} Holding;

struct Block
{
  uint64_t hash;
  unsigned count;
  unsigned server[HOLDERS];
  Holding holding[HOLDERS];
};

typedef struct
{
  struct cds_list_head held;
  unsigned count;
  double trust; /* 0 to 1 */
} Server;

struct FtPrefix
{
  GHashTable *blocks; /* &Block.hash -> Block */
  Server *servers;
  unsigned server_count, capacity;
};

FtPrefix *
ft_prefix_new (unsigned servers, unsigned capacity)
{
  FtPrefix *index = g_new0 (FtPrefix, 1);

  index->blocks = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  index->servers = g_new0 (Server, servers);
  index->server_count = servers;
  index->capacity = capacity;
  for (unsigned i = 0; i < servers; i++)
    {
      CDS_INIT_LIST_HEAD (&index->servers[i].held);
      index->servers[i].trust = 1;
    }
  return index;
}

void
ft_prefix_free (FtPrefix *index)
{
  if (index == NULL)
    return;
  g_hash_table_unref (index->blocks);
  g_free (index->servers);
  g_free (index);
}

static int
find_holder (const Block *block, unsigned server)
{
  for (unsigned i = 0; i < block->count; i++)
    if (block->server[i] == server)
      return (int) i;
  return -1;
}

static void
drop_holder (FtPrefix *index, Block *block, unsigned slot)
{
  unsigned last = block->count - 1;

  cds_list_del (&block->holding[slot].link);
  index->servers[block->server[slot]].count--;
  if (slot != last)
    {
      block->server[slot] = block->server[last];
      block->holding[slot].block = block;
      cds_list_add (&block->holding[slot].link, &block->holding[last].link);
      cds_list_del (&block->holding[last].link);
    }
  block->count = last;
  if (last == 0)
    g_hash_table_remove (index->blocks, &block->hash);
}

static void
hold (FtPrefix *index, unsigned server, uint64_t hash)
{
  Server *holder = &index->servers[server];
  Block *block = g_hash_table_lookup (index->blocks, &hash);

  if (block == NULL)
    {
      block = g_new0 (Block, 1);
      block->hash = hash;
      g_hash_table_insert (index->blocks, &block->hash, block);
    }
  int slot = find_holder (block, server);
  if (slot >= 0)
    {
      cds_list_del (&block->holding[slot].link);
      cds_list_add (&block->holding[slot].link, &holder->held);
      return;
    }
  if (block->count == HOLDERS)
    return; /* hot enough: six servers are candidates, the router needs no seventh */
  slot = (int) block->count++;
  block->server[slot] = server;
  block->holding[slot].block = block;
  cds_list_add (&block->holding[slot].link, &holder->held);
  holder->count++;
}

void
ft_prefix_add (FtPrefix *index, unsigned server, const uint64_t *blocks, unsigned count)
{
  Server *holder = &index->servers[server];

  for (unsigned i = count; i > 0; i--) /* deepest first, so that it is also dropped first */
    hold (index, server, blocks[i - 1]);
  while (holder->count > index->capacity)
    {
      Holding *oldest = cds_list_entry (holder->held.prev, Holding, link);
      drop_holder (index, oldest->block, (unsigned) find_holder (oldest->block, server));
    }
  holder->trust += (1 - holder->trust) * 0.02;
}

void
ft_prefix_remove (FtPrefix *index, unsigned server, uint64_t hash)
{
  Block *block = g_hash_table_lookup (index->blocks, &hash);
  int slot = block ? find_holder (block, server) : -1;

  if (slot >= 0)
    drop_holder (index, block, (unsigned) slot);
}

void
ft_prefix_note_gap (FtPrefix *index, unsigned server)
{
  index->servers[server].trust *= 0.5;
}

void
ft_prefix_clear (FtPrefix *index, unsigned server)
{
  Server *holder = &index->servers[server];

  while (!cds_list_empty (&holder->held))
    {
      Holding *first = cds_list_entry (holder->held.next, Holding, link);
      drop_holder (index, first->block, (unsigned) find_holder (first->block, server));
    }
  holder->trust = 1;
}

double
ft_prefix_match (FtPrefix *index, unsigned server, const uint64_t *blocks, unsigned count)
{
  unsigned held = 0;

  while (held < count)
    {
      Block *block = g_hash_table_lookup (index->blocks, &blocks[held]);
      if (block == NULL || find_holder (block, server) < 0)
        break;
      held++;
    }
  return held * index->servers[server].trust;
}

unsigned
ft_prefix_holders (FtPrefix *index, const uint64_t *blocks, unsigned count, unsigned *servers,
                   unsigned most)
{
  unsigned found = 0;

  for (unsigned i = count; i > 0 && found < most; i--)
    {
      Block *block = g_hash_table_lookup (index->blocks, &blocks[i - 1]);
      for (unsigned j = 0; block && j < block->count && found < most; j++)
        {
          bool known = false;
          for (unsigned k = 0; k < found; k++)
            known |= servers[k] == block->server[j];
          if (!known)
            servers[found++] = block->server[j];
        }
    }
  return found;
}

unsigned
ft_prefix_hash (const char *prompt, size_t length, uint64_t seed, uint64_t *blocks, unsigned most)
{
  unsigned count = 0;

  while (count < most && (count + 1) * (size_t) FT_BLOCK_BYTES <= length)
    {
      seed = XXH3_64bits_withSeed (prompt + count * (size_t) FT_BLOCK_BYTES, FT_BLOCK_BYTES, seed);
      blocks[count++] = seed;
    }
  return count;
}
