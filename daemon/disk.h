/* disk.h - the data folder as an FtDisk. */
#ifndef DISK_H
#define DISK_H

#include "foxtail.h"

/* Creates the folder if it is missing and locks it. FT_CONFLICT: another process uses it. */
FtStatus disk_new (const char *folder, FtDisk **disk, FtError *error);
void disk_free (FtDisk *disk);
/* Renames the file to NAME.damaged, in place of an earlier one, if it exists; durable on return. */
FtStatus disk_set_aside (FtDisk *disk, const char *name);

#endif
