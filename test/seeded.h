/* seeded.h - a pseudo-random generator (splitmix64) that yields the same sequence for a seed. */
#ifndef TEST_SEEDED_H
#define TEST_SEEDED_H

#include "foxtail.h"

typedef struct
{
  FtRandom base;
  uint64_t state;
} SeededRandom;

static inline uint64_t
seeded_next (FtRandom *random)
{
  SeededRandom *seeded = (SeededRandom *) random;

  seeded->state += 0x9e3779b97f4a7c15u;
  uint64_t z = seeded->state;
  z = (z ^ z >> 30) * 0xbf58476d1ce4e5b9u;
  z = (z ^ z >> 27) * 0x94d049bb133111ebu;
  return z ^ z >> 31;
}

static const FtRandomOps seeded_ops = { seeded_next };

static inline SeededRandom
seeded_random (uint64_t seed)
{
  return (SeededRandom){ { &seeded_ops }, seed };
}

#endif
