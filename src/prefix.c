/* prefix.c - estimates which backend servers have which prompt prefixes in their KV caches.
 *
 * A prompt's leading blocks are hashed in a chain, so that one hash identifies everything up to the
 * end of its block. For each block the index keeps at most HOLDERS_MAX servers that cache it. For
 * each server it keeps an LRU list of blocks and evicts beyond a capacity, as the engine's own
 * cache does. Engines publish cache events late and with gaps. A gap halves the confidence in the
 * server's records, and each later addition restores part of it. Clearing the records instead would
 * route common prefixes to servers that have to compute them again.
 */
#include "foxtail.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#define HOLDERS_MAX 6

typedef struct Block Block;

typedef struct
{
  struct cds_list_head link; /* in the server's LRU list, newest first */
  Block *block;
} Holding;

struct Block
{
  uint64_t hash;
  unsigned count;
  unsigned server[HOLDERS_MAX];
  Holding holding[HOLDERS_MAX];
};

typedef struct
{
  struct cds_list_head lru; /* of Holding.link, newest first */
  unsigned count;
  double confidence; /* 0 to 1 */
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
      CDS_INIT_LIST_HEAD (&index->servers[i].lru);
      index->servers[i].confidence = 1;
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
remove_holder (FtPrefix *index, Block *block, unsigned slot)
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
add_holder (FtPrefix *index, unsigned server, uint64_t hash)
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
      cds_list_add (&block->holding[slot].link, &holder->lru);
      return;
    }
  if (block->count == HOLDERS_MAX)
    return; /* common enough: routing needs no more than six candidates */
  slot = (int) block->count++;
  block->server[slot] = server;
  block->holding[slot].block = block;
  cds_list_add (&block->holding[slot].link, &holder->lru);
  holder->count++;
}

void
ft_prefix_add (FtPrefix *index, unsigned server, const uint64_t *blocks, unsigned count)
{
  Server *holder = &index->servers[server];

  for (unsigned i = count; i > 0; i--) /* last block first, so that it is evicted first */
    add_holder (index, server, blocks[i - 1]);
  while (holder->count > index->capacity)
    {
      Holding *oldest = cds_list_entry (holder->lru.prev, Holding, link);
      remove_holder (index, oldest->block, (unsigned) find_holder (oldest->block, server));
    }
  holder->confidence += (1 - holder->confidence) * 0.02;
}

void
ft_prefix_remove (FtPrefix *index, unsigned server, uint64_t hash)
{
  Block *block = g_hash_table_lookup (index->blocks, &hash);
  int slot = block ? find_holder (block, server) : -1;

  if (slot >= 0)
    remove_holder (index, block, (unsigned) slot);
}

void
ft_prefix_note_gap (FtPrefix *index, unsigned server)
{
  index->servers[server].confidence *= 0.5;
}

void
ft_prefix_clear (FtPrefix *index, unsigned server)
{
  Server *holder = &index->servers[server];

  while (!cds_list_empty (&holder->lru))
    {
      Holding *first = cds_list_entry (holder->lru.next, Holding, link);
      remove_holder (index, first->block, (unsigned) find_holder (first->block, server));
    }
  holder->confidence = 1;
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
  return held * index->servers[server].confidence;
}

unsigned
ft_prefix_holders (FtPrefix *index, const uint64_t *blocks, unsigned count, unsigned *servers,
                   unsigned max)
{
  unsigned found = 0;

  for (unsigned i = count; i > 0 && found < max; i--)
    {
      Block *block = g_hash_table_lookup (index->blocks, &blocks[i - 1]);
      for (unsigned j = 0; block && j < block->count && found < max; j++)
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
ft_prefix_hash (const char *prompt, size_t length, uint64_t seed, uint64_t *blocks, unsigned max)
{
  unsigned count = 0;

  while (count < max && (count + 1) * (size_t) FT_BLOCK_BYTES <= length)
    {
      seed = XXH3_64bits_withSeed (prompt + count * (size_t) FT_BLOCK_BYTES, FT_BLOCK_BYTES, seed);
      blocks[count++] = seed;
    }
  return count;
}
