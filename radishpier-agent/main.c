#include "shell.h"

#include <argtable2.h>
#include <signal.h>
#include <stdio.h>

#include "../radishpier/radishpier.h"
#ifdef RADISHPIER_PLATFORM
#include "../platform/platform.h"
#endif

#define PROGRAM "radishpier-agent"

static const char exit_codes[] =
	"\n"
	"exit codes:\n"
	"  0  drained, or the settings are valid\n"
	"  1  failed, such as an address in use or a drain that took too long\n"
	"  2  wrong arguments\n"
	"  3  the settings are invalid\n";

static int run(const char *file, gboolean check_only)
{
	g_autoptr(GError) error = NULL;
	struct cfg_agent *settings = cfg_agent_load(file, &error);
	GLogLevelFlags level = G_LOG_LEVEL_INFO;
	int code;

	if (!settings) {
		fprintf(stderr, PROGRAM ": %s\n", error->message);
		return EXIT_CODE_INVALID;
	}
	if (check_only) {
		puts("valid");
		cfg_agent_free(settings);
		return EXIT_CODE_OK;
	}
	if (settings->log_level && *settings->log_level)
		obs_log_level_parse(settings->log_level, &level);
	obs_log_init(PROGRAM, level);
	code = ash_run(settings, &error);
	if (code < 0) {
		fprintf(stderr, PROGRAM ": %s\n", error->message);
		code = EXIT_CODE_FAILED;
	}
	cfg_agent_free(settings);
	return code;
}

int main(int argc, char **argv)
{
	struct arg_file *settings = arg_file1(NULL, "settings", "FILE",
					      "settings of the agent");
	struct arg_lit *check = arg_lit0(NULL, "check-settings",
					 "check the settings and exit");
	struct arg_lit *platform =
		arg_lit0(NULL, "platform",
			 "run on the users' platform, with its settings file");
	struct arg_lit *help = arg_lit0(NULL, "help", "print this text");
	struct arg_lit *version = arg_lit0(NULL, "version",
					   "print the version");
	struct arg_end *end = arg_end(8);
	void *table[] = { settings, check, platform, help, version, end };
	int code = EXIT_CODE_OK;
	int errors = arg_parse(argc, argv, table);

	/* A write to a closed connection fails with EPIPE instead. */
	signal(SIGPIPE, SIG_IGN);
	if (help->count) {
		fputs("usage: " PROGRAM, stdout);
		arg_print_syntaxv(stdout, table, "\n");
		arg_print_glossary_gnu(stdout, table);
		fputs(exit_codes, stdout);
	} else if (version->count) {
		puts(PROGRAM " " RADISHPIER_VERSION);
#ifdef RADISHPIER_PLATFORM
	} else if (platform->count && !settings->count) {
		code = plt_agent_run();
#endif
	} else if (errors) {
		arg_print_errors(stderr, end, PROGRAM);
		code = EXIT_CODE_USAGE;
	} else {
		code = run(settings->filename[0], check->count > 0);
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return code;
}
