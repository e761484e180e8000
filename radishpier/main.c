#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../obs/obs.h"
#ifdef RADISHPIER_PLATFORM
#include "../platform/platform.h"
#endif
#include "cli.h"

#define MAX_ENDPOINTS 8
/* Number of errors that argtable2 keeps and prints. */
#define MAX_ERRORS 8
/* Number of changes that history prints. */
#define DEFAULT_HISTORY 20
#define MAX_HISTORY 10000

static const char usage[] =
	"usage: radishpier COMMAND [OPTION]...\n"
	"\n"
	"commands:\n"
	"  serve    run an entry until SIGTERM or SIGINT\n"
#ifdef RADISHPIER_PLATFORM
	"  serve-platform\n"
	"           run an entry on the users' platform, with its settings\n"
#endif
	"  check    check routes and pools without any effect\n"
	"  apply    put routes and pools in force\n"
	"  evacuate take an availability zone out of service, or return it\n"
	"  show     print the tables in force as JSON\n"
	"  history  print who changed tables and evacuations, and what\n"
	"  status   print pools, upstreams, queues and waiting jobs\n"
	"\n"
	"radishpier COMMAND --help lists the options of a command.\n"
	"\n"
	"exit codes:\n"
	"  0  done\n"
	"  1  failed, such as a lost race of a change; nothing was changed\n"
	"  2  wrong arguments\n"
	"  3  settings or tables are invalid\n"
	"  4  a service that is needed cannot be reached\n"
	"  5  the outcome of a write could not be learned\n";

/* In the order of struct options. */
enum option {
	OPT_SETTINGS,
	OPT_CHECK_SETTINGS,
	OPT_ROUTES,
	OPT_POOLS,
	OPT_AUTHOR,
	OPT_EXPECT,
	OPT_ZONE,
	OPT_REASON,
	OPT_END_EVACUATION,
	OPT_LAST,
	OPT_JSON,
	OPT_KV,
	OPT_HELP,
	OPT_END,
	OPTIONS,
};

/* All options, in the order of enum option. */
struct options {
	struct arg_file *settings;
	struct arg_lit *check_settings;
	struct arg_file *routes;
	struct arg_file *pools;
	struct arg_str *author;
	struct arg_str *expect;
	struct arg_str *zone;
	struct arg_str *reason;
	struct arg_lit *end_evacuation;
	struct arg_int *last;
	struct arg_lit *json;
	struct arg_str *kv;
	struct arg_lit *help;
	struct arg_end *end;
};

static int fail(const char *message, enum exit_code code)
{
	fprintf(stderr, "radishpier: %s\n", message);
	return code;
}

static int run_serve(const struct options *opt)
{
	g_autoptr(GError) error = NULL;
	struct cfg_entry *settings;
	GLogLevelFlags level = G_LOG_LEVEL_INFO;
	int code;

	settings = cfg_entry_load(opt->settings->filename[0], &error);
	if (!settings)
		return fail(error->message, EXIT_CODE_INVALID);
	if (opt->check_settings->count) {
		puts("valid");
		cfg_entry_free(settings);
		return EXIT_CODE_OK;
	}
	obs_log_level_parse(settings->log_level, &level);
	obs_log_init("radishpier", level);
	code = srv_run(settings, &error);
	if (error)
		fail(error->message, code);
	cfg_entry_free(settings);
	return code;
}

#ifdef RADISHPIER_PLATFORM
static int run_serve_platform(const struct options *opt G_GNUC_UNUSED)
{
	return plt_entry_run();
}
#endif

static int run_check(const struct options *opt)
{
	return cli_check(opt->routes->filename[0], opt->pools->filename[0]);
}

static int run_apply(struct cli_kv *cli, const struct options *opt)
{
	struct cli_apply apply = {
		.routes_file = opt->routes->filename[0],
		.pools_file = opt->pools->filename[0],
		.author = opt->author->sval[0],
		.expect = -1,
	};

	if (!g_utf8_validate(apply.author, -1, NULL))
		return fail("--author: expected UTF-8", EXIT_CODE_USAGE);
	if (opt->expect->count &&
	    !g_ascii_string_to_signed(opt->expect->sval[0], 10, 0, G_MAXINT64,
				      &apply.expect, NULL))
		return fail("--expect: expected a generation, such as 12; 0 "
			    "if no tables were applied yet",
			    EXIT_CODE_USAGE);
	return cli_apply(cli, &apply);
}

static int run_evacuate(struct cli_kv *cli, const struct options *opt)
{
	struct cli_evacuate evacuate = {
		.zone = opt->zone->sval[0],
		.author = opt->author->sval[0],
		.reason = opt->reason->count ? opt->reason->sval[0] : NULL,
		.end = opt->end_evacuation->count > 0,
	};

	if (!evacuate.end && !evacuate.reason)
		return fail("missing option --reason", EXIT_CODE_USAGE);
	return cli_evacuate(cli, &evacuate);
}

static int run_show(struct cli_kv *cli, const struct options *opt G_GNUC_UNUSED)
{
	return cli_show(cli);
}

static int run_history(struct cli_kv *cli, const struct options *opt)
{
	int last = opt->last->count ? opt->last->ival[0] : DEFAULT_HISTORY;

	if (last < 1 || last > MAX_HISTORY)
		return fail("--last: expected 1 to 10000", EXIT_CODE_USAGE);
	return cli_history(cli, (unsigned)last);
}

static int run_status(struct cli_kv *cli, const struct options *opt)
{
	return cli_status(cli, opt->json->count > 0);
}

/* A command has run_kv if it uses the key-value store, otherwise run. */
static const struct command {
	const char *name;
	int (*run)(const struct options *opt);
	int (*run_kv)(struct cli_kv *cli, const struct options *opt);
	/* Options of the command: bits 1 << enum option. */
	unsigned options;
} commands[] = {
	{ "serve", run_serve, NULL,
	  1 << OPT_SETTINGS | 1 << OPT_CHECK_SETTINGS },
#ifdef RADISHPIER_PLATFORM
	{ "serve-platform", run_serve_platform, NULL, 0 },
#endif
	{ "check", run_check, NULL, 1 << OPT_ROUTES | 1 << OPT_POOLS },
	{ "apply", NULL, run_apply,
	  1 << OPT_ROUTES | 1 << OPT_POOLS | 1 << OPT_AUTHOR | 1 << OPT_EXPECT |
		  1 << OPT_KV },
	{ "evacuate", NULL, run_evacuate,
	  1 << OPT_ZONE | 1 << OPT_AUTHOR | 1 << OPT_REASON |
		  1 << OPT_END_EVACUATION | 1 << OPT_KV },
	{ "show", NULL, run_show, 1 << OPT_KV },
	{ "history", NULL, run_history, 1 << OPT_LAST | 1 << OPT_KV },
	{ "status", NULL, run_status, 1 << OPT_JSON | 1 << OPT_KV },
};

static int with_kv(const struct command *command, const struct options *opt)
{
	g_autoptr(GError) error = NULL;
	struct cli_kv cli;
	int code;

	if (cli_kv_open(&cli, opt->kv->sval, (size_t)opt->kv->count, &error) <
	    0) {
		fprintf(stderr, "radishpier: --kv: %s\n", error->message);
		return EXIT_CODE_USAGE;
	}
	code = command->run_kv(&cli, opt);
	cli_kv_close(&cli);
	return code;
}

static void print_help(const struct command *command, void **table)
{
	printf("usage: radishpier %s", command->name);
	arg_print_syntaxv(stdout, table, "\n");
	arg_print_glossary_gnu(stdout, table);
}

/* Reports an empty value, whose option argtable2 does not name. */
static gboolean has_empty_value(int argc, char **argv)
{
	int i;

	for (i = 1; i < argc; i++) {
		const char *option = *argv[i] ? argv[i] : argv[i - 1];

		if (*argv[i] && !(g_str_has_prefix(option, "--") &&
				  g_str_has_suffix(option, "=")))
			continue;
		fprintf(stderr,
			"radishpier: %.*s: the value is empty; expected a "
			"text\n",
			(int)strcspn(option, "="), option);
		return TRUE;
	}
	return FALSE;
}

/* Parses the options that follow the command's name and runs it. */
static int run_command(const struct command *command, int argc, char **argv)
{
	struct options opt = {
		arg_file1(NULL, "settings", "FILE", "settings of the entry"),
		arg_lit0(NULL, "check-settings", "check the settings and exit"),
		arg_file1(NULL, "routes", "FILE", "routes table"),
		arg_file1(NULL, "pools", "FILE", "pools table"),
		arg_str1(NULL, "author", "NAME",
			 "who makes the change, for the history"),
		arg_str0(NULL, "expect", "GENERATION",
			 "change nothing unless this one is in force"),
		arg_str1(NULL, NULL, "ZONE", "availability zone"),
		arg_str0(NULL, "reason", "TEXT",
			 "why it is evacuated, for status and history"),
		arg_lit0(NULL, "end", "return the zone to service"),
		arg_int0(NULL, "last", "N", "changes to print, 20 by default"),
		arg_lit0(NULL, "json", "print the entries' answers as JSON"),
		arg_strn(NULL, "kv", "IP:PORT", 1, MAX_ENDPOINTS,
			 "platform's key-value service"),
		arg_lit0(NULL, "help", "print this text"),
		arg_end(MAX_ERRORS),
	};
	void *all[OPTIONS];
	void *table[OPTIONS];
	unsigned wanted = command->options | 1 << OPT_HELP | 1 << OPT_END;
	size_t n = 0;
	int code;
	int i;

	memcpy(all, &opt, sizeof(all));
	for (i = 0; i < OPTIONS; i++)
		if (wanted & 1U << i)
			table[n++] = all[i];
	if (has_empty_value(argc, argv)) {
		code = EXIT_CODE_USAGE;
	} else if (arg_parse(argc, argv, table) > 0 && !opt.help->count) {
		arg_print_errors(stderr, opt.end, "radishpier");
		code = EXIT_CODE_USAGE;
	} else if (opt.help->count) {
		print_help(command, table);
		code = EXIT_CODE_OK;
	} else if (command->run) {
		code = command->run(&opt);
	} else {
		code = with_kv(command, &opt);
	}
	arg_freetable(all, OPTIONS);
	return code;
}

int main(int argc, char **argv)
{
	const char *name = argc > 1 ? argv[1] : "";
	size_t i;

	/* A write to a closed connection fails with EPIPE instead. */
	signal(SIGPIPE, SIG_IGN);
	if (argc == 2 && !strcmp(name, "--version")) {
		puts("radishpier " RADISHPIER_VERSION);
		return EXIT_CODE_OK;
	}
	if (argc == 2 && !strcmp(name, "--help")) {
		fputs(usage, stdout);
		return EXIT_CODE_OK;
	}
	for (i = 0; i < G_N_ELEMENTS(commands); i++)
		if (!strcmp(name, commands[i].name))
			return run_command(&commands[i], argc - 1, argv + 1);
	if (*name && *name != '-')
		fprintf(stderr, "radishpier: unknown command %s\n", name);
	fputs(usage, stderr);
	return EXIT_CODE_USAGE;
}
