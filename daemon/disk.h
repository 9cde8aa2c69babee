/* disk.h - the data folder as an FtDisk. */
#ifndef DISK_H
#define DISK_H

#include "foxtail.h"

/* Creates the folder if it is missing and locks it. FT_CONFLICT: another process uses it. */
FtStatus disk_new (const char *folder, FtDisk **disk, FtError *error);
void disk_free (FtDisk *disk);

#endif
