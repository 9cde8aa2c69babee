/* wal.c - the voter's write-ahead log (Mohan et al., ARIES 1992; Ongaro, 2014, chapter 3).
 *
 * A record is: magic, length, type, checksum (XXH3 over type and payload), payload; numbers are
 * little-endian. Files: "ident" (the folder's incarnation), "snap" (one record) and "log"
 * (records). "ident" and "snap" are replaced as a whole by rename, "log" is appended to, and
 * replaced when a snapshot is taken.
 *
 * A crash can leave the last batch of the log incomplete. It was never synced, so no message
 * depends on it, and the log is truncated before its first bad record. A bad record with a valid
 * batch after it means that synced data is damaged: the voter must not start, since it would forget
 * a vote or an entry that others count on.
 */
#include "wal.h"

#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#define MAGIC           0x4c415746u
#define HEADER_SIZE     20u
#define RECORD_MAX_SIZE (64u << 20)
#define PIECE_SIZE      (1u << 20) /* in which the log is read; larger records are read whole */

enum
{
  RECORD_ENTRY = 1,
  RECORD_TRUNCATE = 2,
  RECORD_VOTE = 3,
  RECORD_SNAPSHOT = 4,
  RECORD_IDENT = 5,
  RECORD_BATCH = 6, /* first record of a batch: the number of the batch */
  RECORD_COMMIT = 7 /* entries up to this index are committed */
};

struct Wal
{
  FtDisk *disk;
  GByteArray *pending; /* records not yet written to the file */
  uint64_t batch;      /* number of the next batch */
  bool dirty, failed;
};

static void
put_u32 (GByteArray *out, uint32_t value)
{
  uint32_t le = GUINT32_TO_LE (value);
  g_byte_array_append (out, (const guint8 *) &le, 4);
}

static void
put_u64 (GByteArray *out, uint64_t value)
{
  uint64_t le = GUINT64_TO_LE (value);
  g_byte_array_append (out, (const guint8 *) &le, 8);
}

static uint32_t
get_u32 (const guint8 *data)
{
  uint32_t le;
  memcpy (&le, data, 4);
  return GUINT32_FROM_LE (le);
}

static uint64_t
get_u64 (const guint8 *data)
{
  uint64_t le;
  memcpy (&le, data, 8);
  return GUINT64_FROM_LE (le);
}

static void
put_record (GByteArray *out, uint32_t type, const void *payload, size_t size)
{
  put_u32 (out, MAGIC);
  put_u32 (out, (uint32_t) size);
  put_u32 (out, type);
  put_u64 (out, XXH3_64bits_withSeed (payload, size, type));
  g_byte_array_append (out, payload, (guint) size);
}

/* Returns the size of the valid record at offset, header included; 0: there is none. */
static size_t
parse_record (const GByteArray *file, size_t offset, uint32_t *type, const guint8 **payload,
              size_t *size)
{
  if (offset + HEADER_SIZE > file->len)
    return 0;
  const guint8 *head = file->data + offset;
  uint32_t length = get_u32 (head + 4);
  if (get_u32 (head) != MAGIC || length > RECORD_MAX_SIZE
      || offset + HEADER_SIZE + length > file->len)
    return 0;
  *type = get_u32 (head + 8);
  *payload = head + HEADER_SIZE;
  *size = length;
  if (XXH3_64bits_withSeed (*payload, length, *type) != get_u64 (head + 12))
    return 0;
  return HEADER_SIZE + length;
}

static bool
has_valid_batch_after (const GByteArray *file, size_t offset)
{
  uint32_t type;
  const guint8 *payload;
  size_t size;

  for (size_t at = offset + 1; at + HEADER_SIZE <= file->len; at++)
    if (parse_record (file, at, &type, &payload, &size) && type == RECORD_BATCH)
      return true;
  return false;
}

void
wal_entry_free (void *entry)
{
  codec_clear (CODEC (MsgEntry), entry);
  g_free (entry);
}

MsgEntry *
wal_entry_copy (const MsgEntry *entry)
{
  MsgEntry *copy = g_new0 (MsgEntry, 1);

  *copy = *entry;
  copy->op.op_val = malloc (entry->op.op_len ? entry->op.op_len : 1);
  memcpy (copy->op.op_val, entry->op.op_val, entry->op.op_len);
  return copy;
}

static void
remove_entries_from (GPtrArray *entries, uint64_t from)
{
  while (entries->len > 0 && ((MsgEntry *) entries->pdata[entries->len - 1])->index >= from)
    g_ptr_array_set_size (entries, (int) entries->len - 1);
}

static FtStatus
replay_record (WalState *state, uint32_t type, const guint8 *payload, size_t size)
{
  if (type == RECORD_VOTE && size == 12)
    {
      state->term = get_u64 (payload);
      state->voted_for = get_u32 (payload + 8);
      return FT_OK;
    }
  if (type == RECORD_TRUNCATE && size == 8)
    {
      remove_entries_from (state->entries, get_u64 (payload));
      return FT_OK;
    }
  if (type == RECORD_BATCH && size == 8)
    {
      state->batch = get_u64 (payload);
      return FT_OK;
    }
  if (type == RECORD_COMMIT && size == 8)
    {
      state->commit = MAX (state->commit, get_u64 (payload));
      return FT_OK;
    }
  if (type != RECORD_ENTRY)
    return FT_CORRUPT;
  MsgEntry *entry = g_new0 (MsgEntry, 1);
  if (codec_unpack (CODEC (MsgEntry), payload, size, entry, NULL) != FT_OK)
    {
      wal_entry_free (entry);
      return FT_CORRUPT;
    }
  uint64_t last = state->entries->len
                      ? ((MsgEntry *) state->entries->pdata[state->entries->len - 1])->index
                      : state->snapshot_index;
  /* Crashed after the snapshot was replaced and before the log was. */
  if (entry->index <= state->snapshot_index)
    wal_entry_free (entry);
  else if (entry->index != last + 1)
    {
      wal_entry_free (entry);
      return FT_CORRUPT;
    }
  else
    g_ptr_array_add (state->entries, entry);
  return FT_OK;
}

/* A part of the log, so that a log as large as the disk is read with little memory. */
typedef struct
{
  FtDisk *disk;
  GByteArray *window;
  size_t start; /* offset of the window in the file */
  size_t at;    /* of the next record, in the window */
  bool at_end;  /* the window ends where the file does */
} LogReader;

/* Extends the window until it holds that many bytes from `at` on, or the rest of the file. */
static FtStatus
ensure_bytes (LogReader *reader, size_t bytes)
{
  FtStatus status = FT_OK;

  while (status == FT_OK && !reader->at_end && reader->window->len - reader->at < bytes)
    {
      size_t before;
      g_byte_array_remove_range (reader->window, 0, (guint) reader->at);
      reader->start += reader->at;
      reader->at = 0;
      before = reader->window->len;
      status = reader->disk->ops->read (reader->disk, "log", reader->start + before, PIECE_SIZE,
                                        reader->window);
      reader->at_end = reader->window->len < before + PIECE_SIZE;
    }
  return status;
}

/* Extends the window to the whole next record, if one begins at `at`. */
static FtStatus
ensure_record (LogReader *reader)
{
  FtStatus status = ensure_bytes (reader, HEADER_SIZE);
  const guint8 *head = reader->window->data + reader->at;

  if (status != FT_OK || reader->window->len - reader->at < HEADER_SIZE || get_u32 (head) != MAGIC
      || get_u32 (head + 4) > RECORD_MAX_SIZE)
    return status;
  return ensure_bytes (reader, HEADER_SIZE + get_u32 (head + 4));
}

/* What is no valid record is the incomplete last batch, unless a valid batch follows. */
static FtStatus
cut_incomplete_batch (LogReader *reader, WalState *state, FtError *error)
{
  FtStatus status = ensure_bytes (reader, G_MAXSIZE);

  if (status != FT_OK)
    return status;
  if (has_valid_batch_after (reader->window, reader->at))
    return ft_error_set (error, FT_CORRUPT, 0, "log",
                         "damaged record at offset %zu, followed by valid records; replace this "
                         "voter's data folder with an empty one",
                         reader->start + reader->at);
  state->truncated = reader->window->len - reader->at;
  return reader->disk->ops->truncate (reader->disk, "log", reader->start + reader->at);
}

static FtStatus
read_log (FtDisk *disk, WalState *state, FtError *error)
{
  LogReader reader = { .disk = disk, .window = g_byte_array_new () };
  FtStatus status = ensure_record (&reader);

  while (status == FT_OK && reader.at < reader.window->len)
    {
      uint32_t type;
      const guint8 *payload;
      size_t size, step = parse_record (reader.window, reader.at, &type, &payload, &size);
      if (step == 0)
        {
          status = cut_incomplete_batch (&reader, state, error);
          break;
        }
      status = replay_record (state, type, payload, size);
      if (status != FT_OK)
        ft_error_set (error, status, 0, "log",
                      "record at offset %zu does not follow from the records before it",
                      reader.start + reader.at);
      reader.at += step;
      if (status == FT_OK)
        status = ensure_record (&reader);
    }
  if (status == FT_NOT_FOUND)
    status = FT_OK;
  g_byte_array_unref (reader.window);
  return status;
}

/* Reads a file that holds exactly one record. FT_NOT_FOUND: there is no such file. */
static FtStatus
read_single_record (FtDisk *disk, const char *name, uint32_t expected_type, size_t min_size,
                    GByteArray **out, FtError *error)
{
  GByteArray *file = g_byte_array_new ();
  uint32_t type = 0;
  const guint8 *payload = NULL;
  size_t size = 0;
  FtStatus status = disk->ops->read (disk, name, 0, G_MAXSIZE, file);

  if (status == FT_OK
      && (parse_record (file, 0, &type, &payload, &size) != file->len || type != expected_type
          || size < min_size))
    status = ft_error_set (error, FT_CORRUPT, 0, name, "damaged record at offset 0");
  if (status == FT_OK)
    {
      *out = g_byte_array_new ();
      g_byte_array_append (*out, payload, (guint) size);
    }
  g_byte_array_unref (file);
  return status;
}

static FtStatus
read_snapshot (FtDisk *disk, WalState *state, FtError *error)
{
  GByteArray *body = NULL;
  FtStatus status = read_single_record (disk, "snap", RECORD_SNAPSHOT, 16, &body, error);

  if (status == FT_NOT_FOUND)
    return FT_OK;
  if (status != FT_OK)
    return status;
  state->snapshot_index = get_u64 (body->data);
  state->snapshot_term = get_u64 (body->data + 8);
  g_byte_array_remove_range (body, 0, 16);
  state->snapshot = body;
  return FT_OK;
}

static FtStatus
read_ident (FtDisk *disk, WalState *state, FtError *error)
{
  GByteArray *body = NULL;
  FtStatus status = read_single_record (disk, "ident", RECORD_IDENT, 8, &body, error);

  if (status == FT_NOT_FOUND)
    return FT_OK;
  if (status != FT_OK)
    return status;
  state->incarnation = get_u64 (body->data);
  g_byte_array_unref (body);
  return FT_OK;
}

FtStatus
wal_open (FtDisk *disk, Wal **out, WalState *state, FtError *error)
{
  memset (state, 0, sizeof *state);
  state->entries = g_ptr_array_new_with_free_func (wal_entry_free);
  *out = NULL;
  FtStatus status = read_ident (disk, state, error);
  if (status == FT_OK)
    status = read_snapshot (disk, state, error);
  if (status == FT_OK)
    status = read_log (disk, state, error);
  if (status != FT_OK)
    return status;
  *out = g_new0 (Wal, 1);
  (*out)->disk = disk;
  (*out)->pending = g_byte_array_new ();
  (*out)->batch = state->batch + 1;
  /* If the process died before its last sync was done, data that has been read back may not be on
   * disk. The voter may acknowledge it and then lose it in a power failure. So the first wal_sync
   * syncs even if nothing was appended. */
  (*out)->dirty = state->term > 0 || state->entries->len > 0;
  return FT_OK;
}

void
wal_state_clear (WalState *state)
{
  g_clear_pointer (&state->entries, g_ptr_array_unref);
  g_clear_pointer (&state->snapshot, g_byte_array_unref);
}

void
wal_free (Wal *wal)
{
  if (wal == NULL)
    return;
  g_byte_array_unref (wal->pending);
  g_free (wal);
}

static FtStatus
note_failure (Wal *wal, FtStatus status)
{
  /* After a failed write or sync the kernel may mark pages clean that never reached the disk, so a
   * later successful sync proves nothing. Refusing all later writes is enough: the voter neither
   * votes nor acknowledges until a restart has read the files again. */
  if (status != FT_OK)
    wal->failed = true;
  return status;
}

FtStatus
wal_write_identity (Wal *wal, uint64_t incarnation)
{
  GByteArray *payload = g_byte_array_new (), *file = g_byte_array_new ();

  put_u64 (payload, incarnation);
  put_record (file, RECORD_IDENT, payload->data, payload->len);
  FtStatus status = wal->disk->ops->replace (wal->disk, "ident", file->data, file->len);
  g_byte_array_unref (payload);
  g_byte_array_unref (file);
  return note_failure (wal, status);
}

static void
put_vote (GByteArray *out, uint64_t term, uint32_t voted_for)
{
  GByteArray *payload = g_byte_array_new ();

  put_u64 (payload, term);
  put_u32 (payload, voted_for);
  put_record (out, RECORD_VOTE, payload->data, payload->len);
  g_byte_array_unref (payload);
}

static FtStatus
put_entry (GByteArray *out, const MsgEntry *entry)
{
  GByteArray *payload = codec_pack (CODEC (MsgEntry), entry);

  if (payload == NULL)
    return FT_INVALID;
  put_record (out, RECORD_ENTRY, payload->data, payload->len);
  g_byte_array_unref (payload);
  return FT_OK;
}

FtStatus
wal_vote (Wal *wal, uint64_t term, uint32_t voted_for)
{
  put_vote (wal->pending, term, voted_for);
  wal->dirty = true;
  return wal->failed ? FT_IO : FT_OK;
}

FtStatus
wal_entry (Wal *wal, const MsgEntry *entry)
{
  wal->dirty = true;
  return wal->failed ? FT_IO : put_entry (wal->pending, entry);
}

static void
put_number_record (GByteArray *out, uint32_t type, uint64_t number)
{
  GByteArray *payload = g_byte_array_new ();

  put_u64 (payload, number);
  put_record (out, type, payload->data, payload->len);
  g_byte_array_unref (payload);
}

FtStatus
wal_truncate (Wal *wal, uint64_t from)
{
  put_number_record (wal->pending, RECORD_TRUNCATE, from);
  wal->dirty = true;
  return wal->failed ? FT_IO : FT_OK;
}

FtStatus
wal_commit (Wal *wal, uint64_t index)
{
  put_number_record (wal->pending, RECORD_COMMIT, index);
  wal->dirty = true;
  return wal->failed ? FT_IO : FT_OK;
}

static FtStatus
append_pending (Wal *wal)
{
  GByteArray *batch = g_byte_array_sized_new (wal->pending->len + 64);

  put_number_record (batch, RECORD_BATCH, wal->batch++);
  g_byte_array_append (batch, wal->pending->data, wal->pending->len);
  FtStatus status = wal->disk->ops->append (wal->disk, "log", batch->data, batch->len);
  g_byte_array_unref (batch);
  return status;
}

FtStatus
wal_sync (Wal *wal)
{
  FtStatus status = FT_OK;

  if (wal->failed)
    return FT_IO;
  if (!wal->dirty)
    return FT_OK;
  if (wal->pending->len)
    status = append_pending (wal);
  if (status == FT_OK)
    status = wal->disk->ops->sync (wal->disk, "log");
  g_byte_array_set_size (wal->pending, 0);
  wal->dirty = false;
  return note_failure (wal, status);
}

FtStatus
wal_snapshot (Wal *wal, uint64_t index, uint64_t term, const GByteArray *state, uint64_t vote_term,
              uint32_t voted_for, MsgEntry *const *entries, unsigned count)
{
  GByteArray *payload = g_byte_array_new (), *file = g_byte_array_new ();
  FtStatus status = wal->failed ? FT_IO : FT_OK;

  put_u64 (payload, index);
  put_u64 (payload, term);
  g_byte_array_append (payload, state->data, state->len);
  put_record (file, RECORD_SNAPSHOT, payload->data, payload->len);
  if (status == FT_OK
      && wal->disk->ops->replace (wal->disk, "snap", file->data, file->len) != FT_OK)
    {
      /* The log still holds everything, whether or not the snapshot has taken its name. */
      g_byte_array_unref (payload);
      g_byte_array_unref (file);
      return FT_FULL;
    }
  g_byte_array_set_size (file, 0);
  put_vote (file, vote_term, voted_for);
  for (unsigned i = 0; i < count && status == FT_OK; i++)
    status = put_entry (file, entries[i]);
  if (status == FT_OK)
    status = wal->disk->ops->replace (wal->disk, "log", file->data, file->len);
  g_byte_array_set_size (wal->pending, 0); /* the new log holds all of it */
  wal->dirty = false;
  g_byte_array_unref (payload);
  g_byte_array_unref (file);
  return note_failure (wal, status);
}
