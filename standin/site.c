#include "standin/site.h"

#include <errno.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "standin/clock.h"
#include "standin/port.h"
#include "standin/site_internal.h"

static const char *const kind_names[SITE_KINDS] = {
	"platform", "entry", "worker", "upstream", "agent", "relay",
};

static char *new_address(void)
{
	return g_strdup_printf("127.0.0.1:%d", port_new());
}

static struct process *process_at(const struct site *site, enum site_kind kind,
				  unsigned i)
{
	g_assert(i < site->n[kind]);
	return &site->processes[kind][i];
}

/* Returns the path of a file in the site's folder; freed by the caller. */
static char *site_path(const struct site *site, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

static char *site_path(const struct site *site, const char *format, ...)
{
	g_autofree char *name = NULL;
	va_list args;

	va_start(args, format);
	name = g_strdup_vprintf(format, args);
	va_end(args);
	return g_build_filename(site->dir, name, NULL);
}

static void write_file(const char *path, const char *text)
{
	GError *error = NULL;

	if (!g_file_set_contents(path, text, -1, &error))
		g_error("%s", error->message);
}

/* Returns the YAML list of entry addresses for an agent's settings. */
static char *entry_list(const struct site *site, unsigned vm)
{
	GString *list = g_string_new("[");
	unsigned i;

	for (i = 0; i < site->n[SITE_ENTRY]; i++) {
		unsigned relay = vm * site->n[SITE_ENTRY] + i;

		g_string_append_printf(
			list, "%s\"%s\"", i ? ", " : "",
			site->options.relays
				? process_at(site, SITE_RELAY, relay)->address
				: process_at(site, SITE_ENTRY, i)
					  ->agent_address);
	}
	g_string_append_c(list, ']');
	return g_string_free(list, FALSE);
}

/* Returns the YAML list of the addresses of the other entries. */
static char *peer_list(const struct site *site, unsigned self)
{
	GString *list = g_string_new("[");
	unsigned i;

	for (i = 0; i < site->n[SITE_ENTRY]; i++)
		if (i != self)
			g_string_append_printf(
				list, "%s\"%s\"", list->len > 1 ? ", " : "",
				process_at(site, SITE_ENTRY, i)->agent_address);
	g_string_append_c(list, ']');
	return g_string_free(list, FALSE);
}

static const char *zone_of(const struct site *site, unsigned i)
{
	guint n = g_strv_length((char **)site->options.zones);

	return site->options.zones[i % n];
}

static void write_entry_settings(struct site *site, unsigned i)
{
	struct process *entry = process_at(site, SITE_ENTRY, i);
	g_autofree char *peers = peer_list(site, i);
	g_autofree char *text = g_strdup_printf(
		"id: entry-%u\nzone: %s\ncaller_address: \"%s\"\n"
		"agent_address: \"%s\"\noperator_address: \"%s\"\n"
		"peers: %s\nkv_endpoints: [\"%s\"]\nkv_timeout_ms: 1000\n",
		i, zone_of(site, i), entry->address, entry->agent_address,
		entry->operator_address, peers,
		process_at(site, SITE_PLATFORM, 0)->address);

	entry->settings = site_path(site, "entry-%u.yaml", i);
	write_file(entry->settings, text);
}

static void write_agent_settings(struct site *site, unsigned i)
{
	struct process *agent = process_at(site, SITE_AGENT, i);
	const struct site_options *options = &site->options;
	g_autofree char *entries = entry_list(site, i);
	g_autofree char *text = g_strdup_printf(
		"vm: vm-%u\nzone: %s\nrack: rack-%u\noperator_address: \"%s\"\n"
		"entries: %s\nupstream_address: \"%s\"\n"
		"worker_address: \"%s\"\npools: %s\nslots: %u\n"
		"connections: 64\ncpu_milli: %" G_GINT64_FORMAT
		"\nmemory_bytes: %" G_GINT64_FORMAT
		"\naccelerators: %" G_GINT64_FORMAT "\n",
		i, zone_of(site, i), i / 3, agent->operator_address, entries,
		process_at(site, SITE_UPSTREAM, i)->address,
		process_at(site, SITE_WORKER, i)->address, options->vm_pools,
		options->slots, options->cpu_milli, options->memory_bytes,
		options->accelerators);

	agent->settings = site_path(site, "agent-%u.yaml", i);
	write_file(agent->settings, text);
}

static void new_processes(struct site *site)
{
	int kind;
	unsigned i;

	site->n[SITE_PLATFORM] = 1;
	site->n[SITE_ENTRY] = site->options.entries;
	site->n[SITE_WORKER] = site->options.vms;
	site->n[SITE_UPSTREAM] = site->options.vms;
	site->n[SITE_AGENT] = site->options.vms;
	site->n[SITE_RELAY] =
		site->options.relays ? site->options.vms * site->options.entries
				     : 0;
	for (kind = 0; kind < SITE_KINDS; kind++) {
		site->processes[kind] = g_new0(struct process,
					       site->n[kind] + 1);
		for (i = 0; i < site->n[kind]; i++) {
			struct process *process = &site->processes[kind][i];

			process->address = new_address();
			process->agent_address = new_address();
			process->operator_address = new_address();
			process->record = site_path(site, "%s-%u.record",
						    kind_names[kind], i);
		}
	}
}

struct site *site_new(const struct site_options *options)
{
	struct site *site = g_new0(struct site, 1);
	GError *error = NULL;
	unsigned i;

	site->options = *options;
	if (!site->options.build)
		site->options.build = g_getenv("RP_BUILD");
	if (!site->options.build)
		site->options.build = "build";
	site->dir = g_dir_make_tmp("radishpier-XXXXXX", &error);
	if (!site->dir)
		g_error("%s", error->message);
	new_processes(site);
	for (i = 0; i < options->entries; i++)
		write_entry_settings(site, i);
	for (i = 0; i < options->vms; i++)
		write_agent_settings(site, i);
	return site;
}

/*
 * Starts a program of bin/ with its output appended to a file. args[0] is
 * replaced by the program's path.
 */
static pid_t spawn(const struct site *site, const char *program, char **args,
		   const char *output)
{
	g_autofree char *path = g_build_filename(site->options.build, "bin",
						 program, NULL);
	pid_t pid = fork();

	if (pid < 0)
		g_error("fork: %s", g_strerror(errno));
	if (pid)
		return pid;
	/* End the process when the test process ends or is killed. */
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (!freopen(output, "a", stdout) || !freopen(output, "a", stderr))
		_exit(126);
	args[0] = path;
	execv(path, args);
	_exit(127);
}

void site_start_process(struct site *site, enum site_kind kind, unsigned i)
{
	static const char *const programs[SITE_KINDS] = {
		"platform", "radishpier",	"worker",
		"upstream", "radishpier-agent", "relay",
	};
	struct process *process = process_at(site, kind, i);
	g_autofree char *output = site_path(site, "%s-%u.log", kind_names[kind],
					    i);
	g_autofree char *slots = g_strdup_printf("%u", site->options.slots);
	g_autofree char *service = g_strdup_printf("%u",
						   site->options.service_ms);
	g_autofree char *name = g_strdup_printf("vm-%u", i);
	const char *target = site->n[SITE_ENTRY]
				     ? process_at(site, SITE_ENTRY,
						  i % site->n[SITE_ENTRY])
					       ->agent_address
				     : "";
	char *args[SITE_KINDS][13] = {
		{ "", "--listen", process->address },
		{ "", "serve", "--settings", process->settings },
		{ "", "--listen", process->address, "--record",
		  process->record },
		{ "", "--listen", process->address, "--record", process->record,
		  "--name", name, "--slots", slots, "--service-ms", service },
		{ "", "--settings", process->settings },
		{ "", "--listen", process->address, "--control",
		  process->operator_address, "--target", (char *)target },
	};

	g_assert(!process->pid);
	process->pid = spawn(site, programs[kind], args[kind], output);
}

void site_signal(struct site *site, enum site_kind kind, unsigned i, int sig)
{
	struct process *process = process_at(site, kind, i);

	if (!process->pid)
		return;
	kill(process->pid, sig);
	if (sig == SIGKILL)
		site_wait_exit(site, kind, i, 5000);
}

int site_wait_exit(struct site *site, enum site_kind kind, unsigned i,
		   unsigned timeout_ms)
{
	struct process *process = process_at(site, kind, i);
	gint64 end = clock_now_ms() + timeout_ms;
	int status;

	while (process->pid) {
		if (waitpid(process->pid, &status, WNOHANG) == process->pid) {
			process->pid = 0;
			return WIFEXITED(status) ? WEXITSTATUS(status) : 128;
		}
		if (clock_now_ms() > end)
			return -1;
		g_usleep(5000);
	}
	return -1;
}

void site_kill_vm(struct site *site, unsigned i)
{
	struct process *worker = process_at(site, SITE_WORKER, i);
	FILE *record;

	site_signal(site, SITE_AGENT, i, SIGKILL);
	site_signal(site, SITE_UPSTREAM, i, SIGKILL);
	site_signal(site, SITE_WORKER, i, SIGKILL);
	record = fopen(worker->record, "a");
	if (!record)
		g_error("%s: %s", worker->record, g_strerror(errno));
	fprintf(record, "%" G_GINT64_FORMAT " * 0 lost\n", clock_now_ms());
	fclose(record);
}

void site_free(struct site *site)
{
	g_autofree char *command = NULL;
	int kind;
	unsigned i;

	for (kind = 0; kind < SITE_KINDS; kind++)
		for (i = 0; i < site->n[kind]; i++)
			site_signal(site, kind, i, SIGKILL);
	site_remove_folder(site);
	for (kind = 0; kind < SITE_KINDS; kind++) {
		for (i = 0; i < site->n[kind]; i++) {
			struct process *process = &site->processes[kind][i];

			g_free(process->address);
			g_free(process->agent_address);
			g_free(process->operator_address);
			g_free(process->record);
			g_free(process->settings);
		}
		g_free(site->processes[kind]);
	}
	g_free(site->dir);
	g_free(site);
}

const char *site_address(const struct site *site, enum site_kind kind,
			 unsigned i)
{
	return process_at(site, kind, i)->address;
}

const char *site_operator_address(const struct site *site, enum site_kind kind,
				  unsigned i)
{
	return process_at(site, kind, i)->operator_address;
}

pid_t site_pid(const struct site *site, enum site_kind kind, unsigned i)
{
	return process_at(site, kind, i)->pid;
}

int site_wait_http(const char *address, const char *path, unsigned timeout_ms)
{
	gint64 end = clock_now_ms() + timeout_ms;
	struct call_options options = { .method = "GET",
					.address = address,
					.target = path,
					.timeout_ms = 1000 };
	struct call_result result;
	gboolean ok;

	do {
		ok = !call_http(&options, &result) && result.status == 200;
		call_result_clear(&result);
		if (ok)
			return 0;
		g_usleep(20000);
	} while (clock_now_ms() < end);
	return -1;
}

int site_start(struct site *site)
{
	unsigned i;

	site_start_process(site, SITE_PLATFORM, 0);
	if (site_wait_http(site_address(site, SITE_PLATFORM, 0), "/calls",
			   15000) < 0)
		return -1;
	if (site_apply(site, site->options.routes, site->options.pools,
		       "first-author"))
		return -1;
	for (i = 0; i < site->n[SITE_ENTRY]; i++)
		site_start_process(site, SITE_ENTRY, i);
	for (i = 0; i < site->n[SITE_RELAY]; i++)
		site_start_process(site, SITE_RELAY, i);
	for (i = 0; i < site->n[SITE_AGENT]; i++) {
		site_start_process(site, SITE_WORKER, i);
		site_start_process(site, SITE_UPSTREAM, i);
		site_start_process(site, SITE_AGENT, i);
	}
	for (i = 0; i < site->n[SITE_ENTRY]; i++)
		if (site_wait_http(site_operator_address(site, SITE_ENTRY, i),
				   "/readyz", 15000) < 0)
			return -1;
	for (i = 0; i < site->n[SITE_AGENT]; i++)
		if (site_wait_http(site_operator_address(site, SITE_AGENT, i),
				   "/readyz", 15000) < 0)
			return -1;
	return 0;
}

int site_cli(struct site *site, char **output, const char *const *args)
{
	g_autofree char *file = site_path(site, "cli-%u.log", site->cli_runs++);
	char *argv[32] = { NULL };
	int status;
	unsigned i;
	pid_t pid;

	for (i = 0; args[i] && i < G_N_ELEMENTS(argv) - 2; i++)
		argv[i + 1] = (char *)args[i];
	pid = spawn(site, "radishpier", argv, file);
	while (waitpid(pid, &status, 0) < 0 && errno == EINTR)
		;
	if (output && !g_file_get_contents(file, output, NULL, NULL))
		*output = g_strdup("");
	return WIFEXITED(status) ? WEXITSTATUS(status) : 128;
}

int site_apply(struct site *site, const char *routes, const char *pools,
	       const char *author)
{
	unsigned run = site->cli_runs;
	g_autofree char *routes_file = site_path(site, "routes-%u.yaml", run);
	g_autofree char *pools_file = site_path(site, "pools-%u.yaml", run);
	const char *args[] = {
		"apply",   "--routes", routes_file,
		"--pools", pools_file, "--author",
		author,	   "--kv",     site_address(site, SITE_PLATFORM, 0),
		NULL
	};

	write_file(routes_file, routes);
	write_file(pools_file, pools);
	return site_cli(site, NULL, args);
}
