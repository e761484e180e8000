#ifndef STANDIN_SITE_INTERNAL_H
#define STANDIN_SITE_INTERNAL_H

#include "standin/site.h"

/* A process of the site. Addresses are IP:port; unused ones are set too. */
struct process {
	/** 0 if it is not running. */
	pid_t pid;
	/** Address for callers or clients. */
	char *address;
	/** Address of an entry for agents and other entries. */
	char *agent_address;
	/** Address for operators; control address of a relay. */
	char *operator_address;
	/** Path of the settings file of an entry or agent, or NULL. */
	char *settings;
	/** Path of the file in which a worker or upstream records its work. */
	char *record;
};

struct site {
	struct site_options options;
	char *dir;
	struct process *processes[SITE_KINDS];
	/** Number of processes of each kind. */
	unsigned n[SITE_KINDS];
	/** Number of runs of the command line tool, for file names. */
	unsigned cli_runs;
};

/** Removes the site's folder, or prints its path if RP_KEEP is set. */
void site_remove_folder(struct site *site);

#endif
