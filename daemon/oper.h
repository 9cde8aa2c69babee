/* oper.h - the operators' HTTP port. */
#ifndef OPER_H
#define OPER_H

#include "core.h"

typedef struct Oper Oper;

FtStatus oper_new (Core *core, Oper **oper, FtError *error);
void oper_stop (Oper *oper);

#endif
