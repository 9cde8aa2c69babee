/* seeded.h - random numbers that a seed repeats. */
#ifndef TEST_SEEDED_H
#define TEST_SEEDED_H

#include "foxtail.h"

typedef struct
{
  FtRandom base;
  uint64_t state;
} Seeded;

static inline uint64_t
seeded_next (FtRandom *random)
{
  Seeded *seeded = (Seeded *) random;

  seeded->state += 0x9e3779b97f4a7c15u;
  uint64_t z = seeded->state;
  z = (z ^ z >> 30) * 0xbf58476d1ce4e5b9u;
  z = (z ^ z >> 27) * 0x94d049bb133111ebu;
  return z ^ z >> 31;
}

static const FtRandomOps seeded_ops = { seeded_next };

static inline Seeded
seeded (uint64_t seed)
{
  return (Seeded){ { &seeded_ops }, seed };
}

#endif
