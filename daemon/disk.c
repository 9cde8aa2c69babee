/* disk.c - files of the data folder. Data counts as durable only after fsync has returned. */
#include "disk.h"
#include "stat.h"

#include <errno.h>
#include <stdio.h>
#include <fcntl.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

typedef struct
{
  FtDisk base;
  int folder, lock;
  char *append_name; /* the file kept open for appending */
  int append_file;
} Disk;

static FtStatus
write_all (int file, const void *data, size_t size)
{
  const char *at = data;

  while (size > 0)
    {
      ssize_t done = write (file, at, size);
      if (done < 0 && errno == EINTR)
        continue;
      if (done <= 0)
        return FT_IO;
      at += done;
      size -= (size_t) done;
    }
  return FT_OK;
}

static FtStatus
disk_read (FtDisk *base, const char *name, size_t offset, size_t max, GByteArray *out)
{
  Disk *disk = (Disk *) base;
  char buffer[65536];
  ssize_t got = 0;
  int file = openat (disk->folder, name, O_RDONLY | O_CLOEXEC);

  if (file < 0)
    return errno == ENOENT ? FT_NOT_FOUND : FT_IO;
  while (max > 0 && (got = pread (file, buffer, MIN (max, sizeof buffer), (off_t) offset)) > 0)
    {
      g_byte_array_append (out, (const guint8 *) buffer, (guint) got);
      offset += (size_t) got;
      max -= (size_t) got;
    }
  close (file);
  return got < 0 ? FT_IO : FT_OK;
}

static void
close_append_file (Disk *disk)
{
  if (disk->append_file >= 0)
    close (disk->append_file);
  disk->append_file = -1;
  g_clear_pointer (&disk->append_name, g_free);
}

static FtStatus
open_for_append (Disk *disk, const char *name)
{
  if (disk->append_name && strcmp (disk->append_name, name) == 0)
    return FT_OK;
  close_append_file (disk);
  disk->append_file = openat (disk->folder, name, O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0600);
  if (disk->append_file < 0)
    return FT_IO;
  disk->append_name = g_strdup (name);
  return fsync (disk->folder) == 0 ? FT_OK : FT_IO; /* makes the name durable, too */
}

static FtStatus
disk_append (FtDisk *base, const char *name, const void *data, size_t size)
{
  Disk *disk = (Disk *) base;
  FtStatus status = open_for_append (disk, name);

  return status == FT_OK ? write_all (disk->append_file, data, size) : status;
}

static FtStatus
disk_sync (FtDisk *base, const char *name)
{
  Disk *disk = (Disk *) base;
  FtStatus status = open_for_append (disk, name);

  stat_add (STAT_DISK_SYNCS, 1);
  if (status != FT_OK)
    return status;
  return fdatasync (disk->append_file) == 0 ? FT_OK : FT_IO;
}

static FtStatus
disk_replace (FtDisk *base, const char *name, const void *data, size_t size)
{
  Disk *disk = (Disk *) base;
  char *temporary = g_strconcat (name, ".new", NULL);
  FtStatus status = FT_IO;
  int file = openat (disk->folder, temporary, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);

  if (file < 0)
    goto out;
  status = write_all (file, data, size);
  if (status == FT_OK && fsync (file) != 0)
    status = FT_IO;
  close (file);
  if (status == FT_OK && renameat (disk->folder, temporary, disk->folder, name) != 0)
    status = FT_IO;
  if (status != FT_OK)
    unlinkat (disk->folder, temporary, 0); /* it may be what fills the disk */
  if (status == FT_OK && fsync (disk->folder) != 0)
    status = FT_IO;
  if (disk->append_name && strcmp (disk->append_name, name) == 0)
    close_append_file (disk); /* it is the old file, which has no name any more */
out:
  g_free (temporary);
  return status;
}

static FtStatus
disk_truncate (FtDisk *base, const char *name, size_t size)
{
  Disk *disk = (Disk *) base;
  int file = openat (disk->folder, name, O_WRONLY | O_CLOEXEC);

  if (file < 0)
    return FT_IO;
  bool done = ftruncate (file, (off_t) size) == 0 && fsync (file) == 0;
  close (file);
  return done ? FT_OK : FT_IO;
}

static const FtDiskOps ops = { disk_read, disk_append, disk_sync, disk_replace, disk_truncate };

FtStatus
disk_new (const char *folder, FtDisk **out, FtError *error)
{
  Disk *disk = g_new0 (Disk, 1);
  FtStatus status = FT_OK;

  disk->base.ops = &ops;
  disk->folder = disk->lock = disk->append_file = -1;
  *out = NULL;
  if (g_mkdir_with_parents (folder, 0700) != 0)
    {
      status = ft_error_set (error, FT_IO, 0, "data_folder", "%s: %s", folder, g_strerror (errno));
      goto fail;
    }
  disk->folder = open (folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  disk->lock
      = disk->folder < 0 ? -1 : openat (disk->folder, "lock", O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (disk->lock < 0)
    {
      status = ft_error_set (error, FT_IO, 0, "data_folder", "%s: %s", folder, g_strerror (errno));
      goto fail;
    }
  if (flock (disk->lock, LOCK_EX | LOCK_NB) != 0)
    {
      status = ft_error_set (error, FT_CONFLICT, 0, "data_folder",
                             "%s is in use by another process", folder);
      goto fail;
    }
  *out = &disk->base;
  return FT_OK;
fail:
  disk_free (&disk->base);
  return status;
}

FtStatus
disk_set_aside (FtDisk *base, const char *name)
{
  Disk *disk = (Disk *) base;
  char *kept = g_strconcat (name, ".damaged", NULL);
  bool done = renameat (disk->folder, name, disk->folder, kept) == 0 || errno == ENOENT;

  g_free (kept);
  if (disk->append_name && strcmp (disk->append_name, name) == 0)
    close_append_file (disk); /* it is the file with the new name */
  return done && fsync (disk->folder) == 0 ? FT_OK : FT_IO;
}

void
disk_free (FtDisk *base)
{
  Disk *disk = (Disk *) base;

  if (disk == NULL)
    return;
  close_append_file (disk);
  if (disk->lock >= 0)
    close (disk->lock);
  if (disk->folder >= 0)
    close (disk->folder);
  g_free (disk);
}
