/* heap.c - an intrusive pairing heap (Fredman, Sedgewick, Sleator, Tarjan 1986), two-pass merge.
 *
 * Chosen over a binary heap in an array because its nodes are embedded in the users' records: an
 * entry is removed from the middle without a search, and nothing is allocated.
 */
#include "foxtail.h"

static FtHeapNode *
meld (FtHeapNode *a, FtHeapNode *b)
{
  if (a == NULL)
    return b;
  if (b == NULL)
    return a;
  if (b->key < a->key)
    {
      FtHeapNode *swap = a;
      a = b;
      b = swap;
    }
  b->next = a->child;
  if (b->next)
    b->next->prev = b;
  b->prev = a;
  a->child = b;
  return a;
}

static FtHeapNode *
merge_pairs (FtHeapNode *first)
{
  FtHeapNode *pairs = NULL, *root = NULL;

  while (first)
    {
      FtHeapNode *a = first, *b = a->next;
      first = b ? b->next : NULL;
      a->next = a->prev = NULL;
      if (b)
        b->next = b->prev = NULL;
      a = meld (a, b);
      a->next = pairs;
      pairs = a;
    }
  while (pairs)
    {
      FtHeapNode *next = pairs->next;
      pairs->next = NULL;
      root = meld (root, pairs);
      pairs = next;
    }
  return root;
}

void
ft_heap_push (FtHeap *heap, FtHeapNode *node, double key)
{
  node->child = node->next = node->prev = NULL;
  node->key = key;
  heap->root = meld (heap->root, node);
}

void
ft_heap_remove (FtHeap *heap, FtHeapNode *node)
{
  FtHeapNode *rest = merge_pairs (node->child);

  if (node == heap->root)
    heap->root = rest;
  else
    {
      if (node->prev->child == node)
        node->prev->child = node->next;
      else
        node->prev->next = node->next;
      if (node->next)
        node->next->prev = node->prev;
      heap->root = meld (heap->root, rest);
    }
  node->child = node->next = node->prev = NULL;
}
