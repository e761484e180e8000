#ifndef STANDIN_CHILD_H
#define STANDIN_CHILD_H

#include <stddef.h>
#include <sys/types.h>

/*
 * Stand-ins as child processes of a test. Their binaries are in the build
 * folder RP_BUILD (default "build"). A function that fails aborts the test.
 */

struct child {
	/** 0 after child_stop(). */
	pid_t pid;
	/** IP:port that the child listens on. */
	char address[32];
};

/** Starts bin/<name> --listen on a free port and waits until it listens. */
void child_start(struct child *child, const char *name);

/** Kills the child with SIGKILL and waits until it has ended. */
void child_stop(struct child *child);

/** POSTs the JSON object to the child's /fault. */
void child_fault(const struct child *child, const char *json);

/** GETs a path; returns the body of the answer, freed by the caller. */
char *child_get(const struct child *child, const char *path);

/** Writes a loopback address on which nothing listens. */
void child_closed_address(char *address, size_t len);

#endif
