#ifndef STANDIN_PLATFORM_KV_H
#define STANDIN_PLATFORM_KV_H

#include <sys/types.h>

/*
 * Stand-in for the key-value store of the users' platform, as called by
 * platform/store.c: in memory, without faults. Leases do not expire.
 */

/**
 * Serves the store on "IP:port" in a child process that ends with the calling
 * process; aborts on an error. Returns the child's process id.
 */
pid_t platform_kv_start(const char *address);

/** Kills the child and waits until it has ended. */
void platform_kv_stop(pid_t pid);

#endif
