/* sim.c - simulates time, links and disks for real nodes.
 *
 * As in the daemon, a link delivers each message once and in order. When it has been cut for
 * RESET_TIMEOUT with messages waiting, it is reset: the messages are dropped, the sender is told,
 * and the receiver sees a new incarnation of the link. Only messages between voters may be lost or
 * duplicated, because only the replicated log tolerates that.
 */
#include "sim.h"
#include "msg.h"

#include <string.h>
#include <time.h>

#define TICK_INTERVAL (20 * FT_MS)
#define RESET_TIMEOUT (4 * FT_SECOND)

typedef struct
{
  GByteArray *data;
  size_t synced_size; /* bytes that survive a crash */
} File;

typedef struct
{
  FtDisk base;
  GHashTable *files; /* name -> File */
  bool failing;      /* each write returns FT_IO */
} SimDisk;

typedef struct
{
  FtClock base;
  const Sim *sim;
  double rate;
  int64_t offset;
} SimClock;

typedef struct
{
  FtRandom base;
  Sim *sim;
} SimRandom;

typedef struct
{
  Sim *sim;
  unsigned id, start_count;
  bool frozen;
  FtNode *node;
  SimClock clock;
  SimDisk disk;
  SimTraffic traffic;
} Instance;

typedef struct
{
  uint64_t incarnation;
  int64_t last_arrival; /* no later message arrives before it */
  int64_t cut_since;
  bool cut;
  GQueue queue; /* GByteArray; messages that wait until the link and the receiver work again */
} SimLink;

typedef struct
{
  FtHeapNode heap;
  uint64_t number;
  SimEventFunc fn;
  void *data;
} Event;

struct Sim
{
  SimConf conf;
  const SimOps *ops;
  void *user;
  int64_t now;
  uint64_t random_state, event_count;
  FtHeap events;
  SimRandom random;
  Instance *instances; /* by id - 1 */
  SimLink *links;      /* [from - 1][to - 1] */
  uint64_t cpu_ns;
};

typedef struct
{
  unsigned from, to, to_start_count;
  uint64_t incarnation;
  GByteArray *bytes;
} Delivery;

/* ---- Clock and randomness ---- */

static int64_t
clock_now (FtClock *base)
{
  const SimClock *clock = (SimClock *) base;

  return clock->offset + (int64_t) ((double) clock->sim->now * clock->rate);
}

/* SplitMix64 (Steele, Lea, Flood 2014). */
uint64_t
sim_random (Sim *sim)
{
  uint64_t z = (sim->random_state += G_GUINT64_CONSTANT (0x9e3779b97f4a7c15));

  z = (z ^ (z >> 30)) * G_GUINT64_CONSTANT (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * G_GUINT64_CONSTANT (0x94d049bb133111eb);
  return z ^ (z >> 31);
}

double
sim_uniform (Sim *sim)
{
  return (double) (sim_random (sim) >> 11) / 9007199254740992.0;
}

static uint64_t
random_next (FtRandom *base)
{
  return sim_random (((SimRandom *) base)->sim);
}

static const FtClockOps clock_ops = { clock_now };
static const FtRandomOps random_ops = { random_next };

/* ---- Disk ---- */

static File *
find_file (SimDisk *disk, const char *name, bool create)
{
  File *file = g_hash_table_lookup (disk->files, name);

  if (file == NULL && create)
    {
      file = g_new0 (File, 1);
      file->data = g_byte_array_new ();
      g_hash_table_insert (disk->files, g_strdup (name), file);
    }
  return file;
}

static void
file_free (void *data)
{
  File *file = data;

  g_byte_array_unref (file->data);
  g_free (file);
}

static FtStatus
disk_read (FtDisk *base, const char *name, size_t offset, size_t max, GByteArray *out)
{
  File *file = find_file ((SimDisk *) base, name, false);

  if (file == NULL)
    return FT_NOT_FOUND;
  if (offset < file->data->len)
    g_byte_array_append (out, file->data->data + offset,
                         (guint) MIN (max, file->data->len - offset));
  return FT_OK;
}

static FtStatus
disk_append (FtDisk *base, const char *name, const void *data, size_t size)
{
  SimDisk *disk = (SimDisk *) base;

  if (disk->failing)
    return FT_IO;
  g_byte_array_append (find_file (disk, name, true)->data, data, (guint) size);
  return FT_OK;
}

static FtStatus
disk_sync (FtDisk *base, const char *name)
{
  SimDisk *disk = (SimDisk *) base;
  File *file = find_file (disk, name, true);

  if (disk->failing)
    return FT_IO;
  file->synced_size = file->data->len;
  return FT_OK;
}

static FtStatus
disk_replace (FtDisk *base, const char *name, const void *data, size_t size)
{
  SimDisk *disk = (SimDisk *) base;

  if (disk->failing)
    return FT_IO;
  File *file = find_file (disk, name, true);
  g_byte_array_set_size (file->data, 0);
  g_byte_array_append (file->data, data, (guint) size);
  file->synced_size = size;
  return FT_OK;
}

static FtStatus
disk_truncate (FtDisk *base, const char *name, size_t size)
{
  File *file = find_file ((SimDisk *) base, name, true);

  g_byte_array_set_size (file->data, (guint) size);
  file->synced_size = MIN (file->synced_size, size);
  return FT_OK;
}

static const FtDiskOps disk_ops
    = { disk_read, disk_append, disk_sync, disk_replace, disk_truncate };

/* A crash keeps the synced data and a random part of the rest. Half of the time the second half of
 * that part is zeros, as when a file grew but its last blocks were not written. */
static void
lose_unsynced (Sim *sim, SimDisk *disk)
{
  GHashTableIter iter;
  void *data;

  g_hash_table_iter_init (&iter, disk->files);
  while (g_hash_table_iter_next (&iter, NULL, &data))
    {
      File *file = data;
      size_t unsynced = file->data->len - file->synced_size;
      if (unsynced == 0)
        continue;
      size_t kept = sim_random (sim) % (unsynced + 1);
      g_byte_array_set_size (file->data, (guint) (file->synced_size + kept));
      if (kept > 0 && sim_random (sim) % 2)
        memset (file->data->data + file->synced_size + kept / 2, 0, kept - kept / 2);
      file->synced_size = file->data->len;
    }
}

/* ---- Time spent in the nodes ---- */

int64_t
sim_cpu_begin (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t) now.tv_sec * 1000000000 + now.tv_nsec;
}

void
sim_cpu_end (Sim *sim, int64_t started)
{
  sim->cpu_ns += (uint64_t) (sim_cpu_begin () - started);
}

uint64_t
sim_cpu_ns (const Sim *sim)
{
  return sim->cpu_ns;
}

/* ---- Events ---- */

void
sim_schedule (Sim *sim, int64_t at, SimEventFunc fn, void *data)
{
  Event *event = g_new (Event, 1);

  event->fn = fn;
  event->data = data;
  /* Events of the same time run in the order in which they were scheduled. */
  event->number = ++sim->event_count;
  ft_heap_push (&sim->events, &event->heap,
                (double) MAX (at, sim->now) + (double) (event->number % 1000000) * 1e-7);
}

void
sim_run (Sim *sim, int64_t until)
{
  FtHeapNode *top;

  while ((top = ft_heap_top (&sim->events)) != NULL && top->key <= (double) until)
    {
      Event *event = (Event *) (void *) top;
      ft_heap_remove (&sim->events, top);
      sim->now = MAX (sim->now, (int64_t) event->heap.key);
      event->fn (sim, event->data);
      g_free (event);
    }
  sim->now = until;
}

int64_t
sim_now (const Sim *sim)
{
  return sim->now;
}

void *
sim_user (Sim *sim)
{
  return sim->user;
}

/* ---- Links ---- */

static SimLink *
find_link (Sim *sim, unsigned from, unsigned to)
{
  return &sim->links[(from - 1) * sim->conf.instances + to - 1];
}

static void
deliver (Sim *sim, void *data)
{
  Delivery *delivery = data;
  Instance *to = &sim->instances[delivery->to - 1];
  SimLink *link = find_link (sim, delivery->from, delivery->to);

  if (to->node == NULL || to->start_count != delivery->to_start_count
      || link->incarnation != delivery->incarnation)
    g_byte_array_unref (delivery->bytes);
  else if (to->frozen || link->cut)
    g_queue_push_tail (&link->queue, delivery->bytes);
  else
    {
      int64_t started = sim_cpu_begin ();
      ft_node_receive (to->node, delivery->from, delivery->incarnation, delivery->bytes->data,
                       delivery->bytes->len);
      ft_node_flush (to->node);
      sim_cpu_end (sim, started);
      g_byte_array_unref (delivery->bytes);
    }
  g_free (delivery);
}

static void
send_message (Sim *sim, unsigned from, unsigned to, GByteArray *bytes, bool ordered)
{
  SimLink *link = find_link (sim, from, to);
  Delivery *delivery = g_new (Delivery, 1);
  int64_t at
      = sim->now + sim->conf.delay
        + (sim->conf.jitter ? (int64_t) (sim_random (sim) % (uint64_t) sim->conf.jitter) : 0);

  if (ordered)
    at = link->last_arrival = MAX (at, link->last_arrival);
  *delivery = (Delivery){ from, to, sim->instances[to - 1].start_count, link->incarnation, bytes };
  sim_schedule (sim, at, deliver, delivery);
}

static bool
is_voter_message (const GByteArray *bytes)
{
  uint32_t kind = 0;

  memcpy (&kind, bytes->data, 4);
  kind = GUINT32_FROM_BE (kind);
  return kind >= MSG_VOTE && kind <= MSG_BOOTSTRAP;
}

static void
on_send (void *host, uint32_t to, GByteArray *bytes)
{
  Instance *from = host;
  Sim *sim = from->sim;
  SimLink *link = find_link (sim, from->id, to);
  bool unreliable = is_voter_message (bytes);

  from->traffic.messages++;
  from->traffic.bytes += bytes->len;
  if (link->cut)
    {
      g_queue_push_tail (&link->queue, bytes);
      return;
    }
  if (unreliable && sim_uniform (sim) < sim->conf.loss)
    {
      g_byte_array_unref (bytes);
      return;
    }
  if (unreliable && sim_uniform (sim) < sim->conf.duplication)
    send_message (sim, from->id, to, g_byte_array_ref (bytes), false);
  send_message (sim, from->id, to, bytes, !unreliable || sim->conf.loss == 0);
}

static void
drop_queued (SimLink *link)
{
  GByteArray *bytes;

  while ((bytes = g_queue_pop_head (&link->queue)) != NULL)
    g_byte_array_unref (bytes);
}

static void
send_queued (Sim *sim, unsigned from, unsigned to)
{
  SimLink *link = find_link (sim, from, to);
  GByteArray *bytes;

  while ((bytes = g_queue_pop_head (&link->queue)) != NULL)
    send_message (sim, from, to, bytes, true);
}

static void
reset_cut_links (Sim *sim, Instance *from)
{
  for (unsigned to = 1; to <= sim->conf.instances; to++)
    {
      SimLink *link = find_link (sim, from->id, to);
      if (!link->cut || link->queue.length == 0 || sim->now - link->cut_since < RESET_TIMEOUT)
        continue;
      drop_queued (link);
      link->incarnation = sim_random (sim) | 1;
      link->cut_since = sim->now;
      ft_node_link_reset (from->node, to);
    }
}

void
sim_set_link_cut (Sim *sim, unsigned from, unsigned to, bool cut)
{
  SimLink *link = find_link (sim, from, to);

  if (cut && !link->cut)
    link->cut_since = sim->now;
  link->cut = cut;
  if (!cut && !sim->instances[to - 1].frozen)
    send_queued (sim, from, to);
}

void
sim_heal_links (Sim *sim)
{
  for (unsigned from = 1; from <= sim->conf.instances; from++)
    for (unsigned to = 1; to <= sim->conf.instances; to++)
      sim_set_link_cut (sim, from, to, false);
}

/* ---- Callbacks of the nodes ---- */

#define FORWARD(name, ...)                                                                         \
  Instance *self = host;                                                                           \
  if (self->sim->ops->name)                                                                        \
  self->sim->ops->name (self->sim, self->id, __VA_ARGS__)

static void
on_grant (void *host, uint64_t request, const char *server)
{
  FORWARD (grant, request, server);
}

static void
on_refuse (void *host, const FtRefusal *refusal)
{
  FORWARD (refuse, refusal);
}

static void
on_pause (void *host, uint64_t request)
{
  FORWARD (pause, request);
}

static void
on_resume (void *host, uint64_t request)
{
  FORWARD (resume, request);
}

static void
on_verdict (void *host, uint64_t number, FtStatus status, uint64_t revision, const char *text)
{
  FORWARD (verdict, number, status, revision, text);
}

static void
on_catalogue (void *host, FtCat *cat)
{
  FORWARD (catalogue, cat);
}

static void
on_query_reply (void *host, uint64_t number, FtStatus status, const void *body, size_t size)
{
  FORWARD (found, number, status, body, size);
}

static void
on_query (void *host, uint32_t from, uint64_t number, const char *id)
{
  Instance *self = host;

  (void) id;
  ft_node_reply_query (self->node, from, number, FT_NOT_FOUND, "", 0);
}

static const FtNodeOps node_ops = { on_send,    on_grant,     on_refuse, on_pause,      on_resume,
                                    on_verdict, on_catalogue, on_query,  on_query_reply };

/* ---- Instances ---- */

static void
tick (Sim *sim, void *data)
{
  Instance *self = data;

  if (self->node && !self->frozen)
    {
      int64_t started = sim_cpu_begin ();
      reset_cut_links (sim, self);
      ft_node_tick (self->node);
      ft_node_flush (self->node);
      sim_cpu_end (sim, started);
    }
  sim_schedule (sim, sim->now + TICK_INTERVAL, tick, self);
}

FtStatus
sim_restart (Sim *sim, unsigned instance)
{
  Instance *self = &sim->instances[instance - 1];
  uint32_t ids[4096];
  FtError error;

  for (unsigned i = 0; i < sim->conf.instances; i++)
    ids[i] = i + 1;
  FtNodeConf conf = { .id = instance,
                      .incarnation = sim_random (sim) | 1,
                      .region = "",
                      .failure_domain = "",
                      .instances = ids,
                      .instance_count = sim->conf.instances,
                      .voters = ids,
                      .voter_count = sim->conf.voters };
  self->start_count++;
  self->frozen = false;
  self->traffic = (SimTraffic){ 0, 0 };
  for (unsigned to = 1; to <= sim->conf.instances; to++)
    find_link (sim, instance, to)->incarnation = sim_random (sim) | 1;
  /* The monotonic clock of a new process starts at an arbitrary value. */
  self->clock.offset
      = (int64_t) (sim_random (sim) % (uint64_t) (1000 * FT_SECOND)) + 10 * FT_SECOND;
  return ft_node_new (&conf, &self->clock.base, &sim->random.base,
                      instance <= sim->conf.voters ? &self->disk.base : NULL, &node_ops, self,
                      &self->node, &error);
}

void
sim_kill (Sim *sim, unsigned instance)
{
  Instance *self = &sim->instances[instance - 1];

  if (self->node == NULL)
    return;
  if (sim->ops->killed)
    sim->ops->killed (sim, instance);
  ft_node_free (self->node);
  self->node = NULL;
  lose_unsynced (sim, &self->disk);
  for (unsigned other = 1; other <= sim->conf.instances; other++)
    {
      drop_queued (find_link (sim, instance, other));
      drop_queued (find_link (sim, other, instance));
    }
}

void
sim_wipe_disk (Sim *sim, unsigned instance)
{
  g_hash_table_remove_all (sim->instances[instance - 1].disk.files);
}

void
sim_freeze (Sim *sim, unsigned instance, bool frozen)
{
  sim->instances[instance - 1].frozen = frozen;
  for (unsigned from = 1; !frozen && from <= sim->conf.instances; from++)
    if (!find_link (sim, from, instance)->cut)
      send_queued (sim, from, instance);
}

bool
sim_is_frozen (Sim *sim, unsigned instance)
{
  return sim->instances[instance - 1].frozen;
}

void
sim_set_disk_failing (Sim *sim, unsigned instance, bool fails)
{
  sim->instances[instance - 1].disk.failing = fails;
}

bool
sim_corrupt_file (Sim *sim, unsigned instance, const char *name, size_t offset)
{
  File *file = find_file (&sim->instances[instance - 1].disk, name, false);

  if (file == NULL || offset >= file->data->len)
    return false;
  file->data->data[offset] ^= 0x10;
  return true;
}

size_t
sim_file_size (Sim *sim, unsigned instance, const char *name)
{
  File *file = find_file (&sim->instances[instance - 1].disk, name, false);

  return file ? file->data->len : 0;
}

FtNode *
sim_node (Sim *sim, unsigned instance)
{
  return sim->instances[instance - 1].node;
}

unsigned
sim_start_count (Sim *sim, unsigned instance)
{
  return sim->instances[instance - 1].start_count;
}

void
sim_flush (Sim *sim, unsigned instance)
{
  ft_node_flush (sim->instances[instance - 1].node);
}

SimTraffic
sim_traffic (const Sim *sim, unsigned instance)
{
  return sim->instances[instance - 1].traffic;
}

Sim *
sim_new (const SimConf *conf, const SimOps *ops, void *user)
{
  Sim *sim = g_new0 (Sim, 1);

  sim->conf = *conf;
  sim->ops = ops;
  sim->user = user;
  sim->random_state = conf->seed;
  sim->random.base.ops = &random_ops;
  sim->random.sim = sim;
  sim->instances = g_new0 (Instance, conf->instances);
  sim->links = g_new0 (SimLink, (gsize) conf->instances * conf->instances);
  for (unsigned i = 0; i < conf->instances * conf->instances; i++)
    g_queue_init (&sim->links[i].queue);
  for (unsigned i = 1; i <= conf->instances; i++)
    {
      Instance *self = &sim->instances[i - 1];
      self->sim = sim;
      self->id = i;
      self->clock.base.ops = &clock_ops;
      self->clock.sim = sim;
      self->clock.rate = 1 + conf->clock_error * (2 * sim_uniform (sim) - 1);
      self->disk.base.ops = &disk_ops;
      self->disk.files = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, file_free);
      sim_restart (sim, i);
      sim_schedule (sim, (int64_t) (sim_random (sim) % (uint64_t) TICK_INTERVAL), tick, self);
    }
  return sim;
}

static void
free_event (Event *event)
{
  if (event->fn == deliver)
    {
      Delivery *delivery = event->data;
      g_byte_array_unref (delivery->bytes);
      g_free (delivery);
    }
  g_free (event);
}

void
sim_free (Sim *sim)
{
  FtHeapNode *top;

  while ((top = ft_heap_top (&sim->events)) != NULL)
    {
      ft_heap_remove (&sim->events, top);
      free_event ((Event *) (void *) top);
    }
  for (unsigned i = 1; i <= sim->conf.instances; i++)
    {
      ft_node_free (sim->instances[i - 1].node);
      g_hash_table_unref (sim->instances[i - 1].disk.files);
    }
  for (unsigned i = 0; i < sim->conf.instances * sim->conf.instances; i++)
    drop_queued (&sim->links[i]);
  g_free (sim->instances);
  g_free (sim->links);
  g_free (sim);
}
