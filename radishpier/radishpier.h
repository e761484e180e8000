#ifndef RADISHPIER_H
#define RADISHPIER_H

#include "../config/config.h"

/** Exit codes of both programs. */
enum exit_code {
	EXIT_CODE_OK = 0,
	/** The operation failed, for example since another apply came first. */
	EXIT_CODE_FAILED = 1,
	/** Wrong arguments. */
	EXIT_CODE_USAGE = 2,
	/** Settings or tables are invalid. */
	EXIT_CODE_INVALID = 3,
	/** The key-value store or an entry cannot be reached. */
	EXIT_CODE_UNAVAILABLE = 4,
	/** It is unknown whether a write took effect. */
	EXIT_CODE_UNKNOWN = 5,
};

/**
 * Runs an entry until it has drained after SIGTERM or SIGINT.
 *
 * Returns an exit code; error is set if the entry could not be started.
 */
int srv_run(const struct cfg_entry *settings, GError **error);

#endif
