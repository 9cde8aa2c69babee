/* disk.h - the data folder as an FtDisk. */
#ifndef DISK_H
#define DISK_H

#include "foxtail.h"

/* Makes the folder if it is missing and takes its lock, so that no second process uses it. */
FtStatus disk_new (const char *folder, FtDisk **disk, FtError *error);
void disk_free (FtDisk *disk);

#endif
