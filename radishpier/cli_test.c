#include <check.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "radishpier/cli.h"
#include "standin/child.h"
#include "tests/fixture.h"
#include "tests/later_version.h"

#define POOLS                                                                  \
	"pools:\n  - {name: checks, class: latency-critical, priority: %d}\n"
#define ROUTES "routes:\n  - {path_prefix: /photos, pool: checks}\n"

static struct child platform;
static char *folder;
static char *binary;

/* Exit code and output of a command that has ended. */
struct run {
	int code;
	char *out;
	char *err;
};

static void setup(void)
{
	const char *build = getenv("RP_BUILD") ? getenv("RP_BUILD") : "build";

	child_start(&platform, "platform");
	folder = g_dir_make_tmp("cli_test.XXXXXX", NULL);
	binary = g_build_filename(build, "bin", "radishpier", NULL);
}

static void teardown(void)
{
	g_autoptr(GDir) dir = g_dir_open(folder, 0, NULL);
	const char *name;

	child_stop(&platform);
	while ((name = g_dir_read_name(dir))) {
		g_autofree char *path = g_build_filename(folder, name, NULL);

		g_unlink(path);
	}
	g_rmdir(folder);
	g_free(folder);
	g_free(binary);
}

static char *write_file(const char *name, const char *text)
{
	char *path = g_build_filename(folder, name, NULL);

	ck_assert(g_file_set_contents(path, text, -1, NULL));
	return path;
}

static void clear_run(struct run *run)
{
	g_free(run->out);
	g_free(run->err);
}

static struct run run_command(char **argv)
{
	struct run run = { 0 };
	int status;

	ck_assert(g_spawn_sync(NULL, argv, NULL, G_SPAWN_DEFAULT, NULL, NULL,
			       &run.out, &run.err, &status, NULL));
	run.code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
	return run;
}

/* Runs a command with --kv and, if not NULL, one more option. */
static struct run ask(const char *command, const char *option)
{
	char *argv[] = { binary,	   (char *)command, "--kv",
			 platform.address, (char *)option,  NULL };

	return run_command(argv);
}

static struct run apply(const char *author, int priority, const char *expect)
{
	g_autofree char *pools = g_strdup_printf(POOLS, priority);
	g_autofree char *pools_name = g_strdup_printf("p-%s.yaml", author);
	g_autofree char *pools_file = write_file(pools_name, pools);
	g_autofree char *routes_file = write_file("routes.yaml", ROUTES);
	char *argv[] = {
		binary,	   "apply",	     "--routes", routes_file,
		"--pools", pools_file,	     "--author", (char *)author,
		"--kv",	   platform.address, "--expect", (char *)expect,
		NULL
	};

	if (!expect)
		argv[10] = NULL;
	return run_command(argv);
}

static void expect_run(struct run run, int code, const char *out,
		       const char *err)
{
	ck_assert_msg(run.code == code, "code %d: %s%s", run.code, run.out,
		      run.err);
	ck_assert_msg(strstr(run.out, out) != NULL, "%s", run.out);
	ck_assert_msg(strstr(run.err, err) != NULL, "%s", run.err);
	clear_run(&run);
}

/*
 * Guards against an apply that reports other changes than it made, that makes a
 * new generation without a change, or that ignores --expect.
 */
START_TEST(test_apply)
{
	expect_run(apply("ana", 1, NULL), EXIT_CODE_OK,
		   "applied generation 1\n+ pool checks {", "");
	expect_run(apply("ben", 1, NULL), EXIT_CODE_OK,
		   "no change: generation 1 has the same tables", "");
	expect_run(apply("ben", 2, "0"), EXIT_CODE_FAILED, "",
		   "generation 1 by ana is in force; expected 0; nothing was "
		   "changed");
	expect_run(apply("ben", 2, "1"), EXIT_CODE_OK,
		   "applied generation 2\n~ pool checks: priority 1 -> 2\n",
		   "");
	expect_run(apply("ben", 100, NULL), EXIT_CODE_INVALID, "",
		   "p-ben.yaml:2: pools entry 1, key priority: \"100\"");
	expect_run(ask("show", NULL), EXIT_CODE_OK, "\"author\": \"ben\"", "");
	expect_run(ask("history", NULL), EXIT_CODE_OK,
		   "generation 1 from 0 by "
		   "ana at ",
		   "");
}
END_TEST

static gpointer apply_in_thread(gpointer author)
{
	struct run *run = g_new(struct run, 1);

	*run = apply(author, strcmp(author, "ana") ? 2 : 1, NULL);
	return run;
}

/*
 * Guards against two concurrent applies that both report success: both read
 * the same generation, and the second to write must fail and name the first.
 */
START_TEST(test_race)
{
	static const char *const authors[] = { "ana", "ben" };
	GThread *threads[2];
	struct run *runs[2];
	int lost = 0;
	int i;

	/* Both read the tables before either writes. */
	child_fault(&platform, "{\"hang\": true}");
	for (i = 0; i < 2; i++)
		threads[i] = g_thread_new(authors[i], apply_in_thread,
					  (gpointer)authors[i]);
	for (;;) {
		g_autofree char *calls = child_get(&platform, "/calls");

		if (strstr(calls, "\"open\":2"))
			break;
		g_usleep(10000);
	}
	child_fault(&platform, "{\"hang\": false}");
	for (i = 0; i < 2; i++) {
		runs[i] = g_thread_join(threads[i]);
		lost += runs[i]->code == EXIT_CODE_FAILED;
	}
	ck_assert_int_eq(lost, 1);
	i = runs[0]->code == EXIT_CODE_FAILED ? 0 : 1;
	expect_run(*runs[i], EXIT_CODE_FAILED, "",
		   i ? "ana won with generation 1"
		     : "ben won with generation 1");
	expect_run(*runs[!i], EXIT_CODE_OK, "applied generation 1\n", "");
	expect_run(ask("show", NULL), EXIT_CODE_OK,
		   i ? "\"author\": \"ana\"" : "\"author\": \"ben\"", "");
	g_free(runs[0]);
	g_free(runs[1]);
}
END_TEST

/*
 * Guards against an apply that reports a failure, or writes twice, because the
 * store applied its transaction but the answer was lost.
 */
START_TEST(test_lost_answer)
{
	g_autofree char *calls = NULL;

	child_fault(&platform, "{\"lose_answers\": 1}");
	expect_run(apply("ana", 1, NULL), EXIT_CODE_OK, "applied generation 1",
		   "reading back whether the change was applied");
	calls = child_get(&platform, "/calls");
	ck_assert_ptr_nonnull(strstr(calls, "\"txn\":1,"));
	expect_run(apply("ben", 2, NULL), EXIT_CODE_OK, "applied generation 2",
		   "");
}
END_TEST

/*
 * Guards against commands that report success, or change the tables, while the
 * key-value store is unavailable or empty.
 */
START_TEST(test_down)
{
	child_fault(&platform, "{\"down\": true}");
	expect_run(apply("ana", 1, NULL), EXIT_CODE_UNAVAILABLE, "",
		   "the platform cannot be reached, so nothing was changed");
	expect_run(ask("status", NULL), EXIT_CODE_UNAVAILABLE, "",
		   "entries cannot be found");
	child_fault(&platform, "{\"down\": false}");
	expect_run(ask("show", NULL), EXIT_CODE_FAILED, "",
		   "no tables were applied yet");
	expect_run(ask("history", NULL), EXIT_CODE_FAILED, "",
		   "no tables were applied yet");
	expect_run(ask("status", NULL), EXIT_CODE_FAILED, "",
		   "no entry is registered");
}
END_TEST

static void serve_status(struct evhttp_request *req, void *arg G_GNUC_UNUSED)
{
	evbuffer_add_printf(
		evhttp_request_get_output_buffer(req), "%s",
		"{\"id\":\"e1\",\"zone\":\"cusco-a\",\"generation\":7,"
		"\"entry\":{\"refused\":{\"no-route\":4},"
		"\"pools\":[{\"name\":\"checks\",\"limit\":null,"
		"\"queued\":3,\"waits_because\":\"no upstream\","
		"\"refused\":{\"shed\":5}}],"
		"\"upstreams\":[{\"vm\":\"vm-1\",\"tables_generation\":6}]},"
		"\"promises\":{\"members\":2,\"member\":true,\"full\":false,"
		"\"promises\":\"not given\",\"may_fence_in_ms\":60},"
		"\"vms_without_new_tasks\":[{\"vm\":\"vm-2\",\"tasks\":1,"
		"\"for_ms\":900,\"why\":\"lost\"}],"
		"\"jobs\":[{\"id\":\"j1\",\"pool\":\"scoring\","
		"\"why\":\"can never run\"},{\"id\":\"j2\","
		"\"pool\":\"scoring\",\"why\":\"can never run\"}]}");
	evhttp_send_reply(req, 200, NULL, NULL);
}

static gpointer loop(gpointer base)
{
	event_base_dispatch(base);
	return NULL;
}

static void on_put(void *ctx, const struct kv_txn_result *result,
		   const GError *error G_GNUC_UNUSED)
{
	ck_assert(result && result->succeeded);
	event_base_loopbreak(ctx);
}

static void put(const char *key, GBytes *value)
{
	const char *const endpoints[] = { platform.address };
	struct kv_etcd_options options = { .base = event_base_new(),
					   .endpoints = endpoints,
					   .n_endpoints = 1,
					   .timeout_ms = CLI_CALL_TIMEOUT_MS };
	struct kv *kv = kv_etcd_new(&options, NULL);
	struct kv_txn *txn = kv_txn_new();

	kv_txn_put(txn, key, value, 0);
	kv->ops->txn(kv, txn, on_put, options.base);
	kv_txn_free(txn);
	event_base_dispatch(options.base);
	kv->ops->free(kv);
	event_base_free(options.base);
}

static void put_entry(const char *id, const char *address)
{
	g_autofree char *key = g_strconcat(CLI_ENTRY_PREFIX, id, NULL);
	g_autofree char *json = g_strdup_printf(
		"{\"id\":\"%s\",\"operator_address\":\"%s\"}", id, address);
	g_autoptr(GBytes) value = g_bytes_new(json, strlen(json));

	put(key, value);
}

/*
 * Guards against an apply of this version that drops keys which a later version
 * has written, and against a show that omits them.
 */
START_TEST(test_later_document)
{
	struct cfg_tables tables = { .generation = 4,
				     .parent_generation = 3,
				     .incarnation = "i",
				     .author = "eva",
				     .applied_unix_ms = 1 };
	struct cfg_pool pool = { .name = "checks", .priority = 1 };
	g_autoptr(GBytes) plain = NULL;
	g_autoptr(GBytes) later = NULL;

	tables.pools = g_ptr_array_new();
	tables.routes = g_ptr_array_new();
	g_ptr_array_add(tables.pools, &pool);
	plain = cfg_tables_encode(&tables);
	later = later_document(plain);
	g_ptr_array_unref(tables.pools);
	g_ptr_array_unref(tables.routes);
	put(CLI_TABLES_KEY, later);
	expect_run(apply("ana", 2, NULL), EXIT_CODE_FAILED, "",
		   "generation 4 by eva has keys that this version");
	expect_run(apply("ana", 2, NULL), EXIT_CODE_FAILED, "",
		   "would drop: approved_by, pools.burst; expected");
	expect_run(ask("show", NULL), EXIT_CODE_OK, "\"approved_by\": \"eva\"",
		   "");
	expect_run(ask("show", NULL), EXIT_CODE_OK, "\"generation\": 4", "");
	put(CLI_TABLES_KEY, plain);
	expect_run(apply("ana", 2, NULL), EXIT_CODE_OK, "applied generation 5",
		   "");
}
END_TEST

/* Serves /status and registers the server as an entry. */
static void serve(const char *id,
		  void (*answer)(struct evhttp_request *req, void *arg))
{
	struct event_base *base = event_base_new();
	struct evhttp *http = evhttp_new(base);
	char address[32];

	child_closed_address(address, sizeof(address));
	ck_assert_int_eq(
		evhttp_bind_socket(http, "127.0.0.1",
				   (guint16)atoi(strchr(address, ':') + 1)),
		0);
	evhttp_set_cb(http, "/status", answer, NULL);
	g_thread_new("status", loop, base);
	put_entry(id, address);
}

/*
 * Guards against a status that omits an entry because it does not answer, or
 * omits what an entry reports.
 */
START_TEST(test_status)
{
	char closed[32];
	struct run run;

	serve("e1", serve_status);
	expect_run(ask("status", "--json"), EXIT_CODE_OK, "[{\"id\":\"e1\"",
		   "");
	child_closed_address(closed, sizeof(closed));
	put_entry("e2", closed);
	run = ask("status", NULL);
	ck_assert_int_eq(run.code, EXIT_CODE_UNAVAILABLE);
	ck_assert_ptr_nonnull(strstr(run.out, "no answer"));
	ck_assert_ptr_nonnull(strstr(run.out, "no upstream"));
	ck_assert_ptr_nonnull(strstr(run.out, "scoring  2     j1"));
	ck_assert_ptr_nonnull(strstr(run.out, "  6\n"));
	ck_assert_ptr_nonnull(strstr(run.out, "-       4         no-route"));
	ck_assert_ptr_nonnull(strstr(run.out, "checks  5         shed"));
	ck_assert_ptr_nonnull(strstr(run.out, "vm-2  1      900     lost"));
	ck_assert_ptr_nonnull(
		strstr(run.out, "e1     2        false  not given  60"));
	clear_run(&run);
}
END_TEST

/* Runs evacuate for a zone; reason NULL ends the evacuation. */
static struct run evacuate(const char *zone, const char *author,
			   const char *reason)
{
	char *argv[] = { binary,	   "evacuate",
			 (char *)zone,	   "--kv",
			 platform.address, "--author",
			 (char *)author,   "--reason",
			 (char *)reason,   NULL };

	if (!reason) {
		argv[7] = (char *)"--end";
		argv[8] = NULL;
	}
	return run_command(argv);
}

/*
 * Guards against an evacuation that is not recorded, that is made twice, that
 * ends without having begun, or that is refused because no entry is there.
 */
START_TEST(test_evacuate)
{
	expect_run(evacuate("zone-a", "ana", NULL), EXIT_CODE_FAILED, "",
		   "zone zone-a is not evacuated; evacuated: none; nothing was "
		   "changed");
	expect_run(evacuate("zone-a", "ana", "power works"), EXIT_CODE_OK,
		   "applied generation 1: zone zone-a is evacuated\n"
		   "evacuated zones: zone-a\n",
		   "zone zone-a was not checked");
	expect_run(evacuate("zone-a", "ben", "again"), EXIT_CODE_FAILED, "",
		   "zone zone-a is evacuated already, by ana: power works; "
		   "nothing was changed");
	expect_run(evacuate("zone-b", "ben", "cooling"), EXIT_CODE_OK,
		   "evacuated zones: zone-a, zone-b\n", "");
	expect_run(evacuate("zone-a", "ana", NULL), EXIT_CODE_OK,
		   "applied generation 3: zone zone-a is in service\n"
		   "evacuated zones: zone-b\n",
		   "");
	expect_run(apply("ana", 1, NULL), EXIT_CODE_OK, "applied generation 1",
		   "");
	expect_run(ask("history", NULL), EXIT_CODE_OK,
		   "evacuations 3 by ana at ", "");
	expect_run(ask("history", NULL), EXIT_CODE_OK,
		   "    evacuate zone zone-b: cooling\n"
		   "    evacuated zones: zone-a, zone-b\n"
		   "evacuations 1 by ana at ",
		   "");
	expect_run(ask("history", NULL), EXIT_CODE_OK,
		   "    end zone zone-a: -\n    evacuated zones: zone-b\n", "");
}
END_TEST

static gpointer evacuate_in_thread(gpointer author)
{
	struct run *run = g_new(struct run, 1);

	*run = evacuate(strcmp(author, "ana") ? "zone-b" : "zone-a", author,
			"test");
	return run;
}

/*
 * Guards against two concurrent evacuations of which one is lost although both
 * commands report success: the second to write must fail and name the first.
 */
START_TEST(test_evacuate_race)
{
	static const char *const authors[] = { "ana", "ben" };
	GThread *threads[2];
	struct run *runs[2];
	int lost = 0;
	int i;

	/* Both read the document before either writes. */
	child_fault(&platform, "{\"hang\": true}");
	for (i = 0; i < 2; i++)
		threads[i] = g_thread_new(authors[i], evacuate_in_thread,
					  (gpointer)authors[i]);
	for (;;) {
		g_autofree char *calls = child_get(&platform, "/calls");

		if (strstr(calls, "\"open\":2"))
			break;
		g_usleep(10000);
	}
	child_fault(&platform, "{\"hang\": false}");
	for (i = 0; i < 2; i++) {
		runs[i] = g_thread_join(threads[i]);
		lost += runs[i]->code == EXIT_CODE_FAILED;
	}
	ck_assert_int_eq(lost, 1);
	i = runs[0]->code == EXIT_CODE_FAILED ? 0 : 1;
	expect_run(*runs[i], EXIT_CODE_FAILED, "",
		   i ? "ana won with generation 1 at "
		     : "ben won with generation 1 at ");
	expect_run(*runs[!i], EXIT_CODE_OK, "applied generation 1: ", "");
	g_free(runs[0]);
	g_free(runs[1]);
}
END_TEST

/*
 * Guards against an evacuation that reports a failure, or is made twice,
 * because the store applied its transaction but the answer was lost.
 */
START_TEST(test_evacuate_lost_answer)
{
	g_autofree char *calls = NULL;

	child_fault(&platform, "{\"lose_answers\": 1}");
	expect_run(evacuate("zone-a", "ana", "test"), EXIT_CODE_OK,
		   "applied generation 1",
		   "reading back whether the change was applied");
	calls = child_get(&platform, "/calls");
	ck_assert_ptr_nonnull(strstr(calls, "\"txn\":1,"));
	child_fault(&platform, "{\"down\": true}");
	expect_run(evacuate("zone-b", "ana", "test"), EXIT_CODE_UNAVAILABLE, "",
		   "nothing was changed");
	child_fault(&platform, "{\"down\": false}");
	expect_run(evacuate("zone-a", "ana", NULL), EXIT_CODE_OK,
		   "applied generation 2", "");
}
END_TEST

static void serve_zones(struct evhttp_request *req, void *arg G_GNUC_UNUSED)
{
	evbuffer_add_printf(evhttp_request_get_output_buffer(req), "%s",
			    "{\"id\":\"e1\",\"entry\":{\"upstreams\":["
			    "{\"vm\":\"v2\",\"zone\":\"zone-b\"},"
			    "{\"vm\":\"v1\",\"zone\":\"zone-a\"}]}}");
	evhttp_send_reply(req, 200, NULL, NULL);
}

/*
 * Guards against a misspelt zone that is accepted, so that the operator takes
 * the zone for evacuated.
 */
START_TEST(test_evacuate_unknown_zone)
{
	char closed[32];

	child_closed_address(closed, sizeof(closed));
	put_entry("e0", closed);
	serve("e1", serve_zones);
	expect_run(evacuate("zone-c", "ana", "test"), EXIT_CODE_FAILED, "",
		   "no VM is in zone zone-c; expected one of: zone-a, zone-b; "
		   "nothing was changed");
	expect_run(evacuate("zone-b", "ana", "test"), EXIT_CODE_OK,
		   "applied generation 1: zone zone-b is evacuated", "");
}
END_TEST

/*
 * Guards against a document of generation 1 that is written after the store
 * lost the key: running entries hold a higher generation and would refuse it.
 */
START_TEST(test_evacuate_lost_key)
{
	g_autoptr(GBytes) entry = g_bytes_new_static("{}", 2);

	put("radishpier/evacuation-history/00000000000000000001", entry);
	expect_run(evacuate("zone-a", "ana", "test"), EXIT_CODE_FAILED, "",
		   "the history has an entry of generation 1 already, although "
		   "the key radishpier/evacuations does not; nothing was "
		   "changed");
}
END_TEST

static void serve_evacuations(struct evhttp_request *req,
			      void *arg G_GNUC_UNUSED)
{
	evbuffer_add_printf(
		evhttp_request_get_output_buffer(req), "%s",
		"{\"id\":\"e1\",\"entry\":{\"evacuations\":{\"generation\":3,"
		"\"read\":true,\"age_ms\":250,\"zones\":[{\"zone\":\"zone-a\","
		"\"author\":\"ana\",\"reason\":\"works\","
		"\"since_unix_ms\":1000}]},\"upstreams\":["
		"{\"vm\":\"v1\",\"zone\":\"zone-a\",\"in_flight\":2,"
		"\"others\":3},{\"vm\":\"v2\",\"zone\":\"zone-b\","
		"\"in_flight\":4,\"others\":0},{\"vm\":\"v3\","
		"\"zone\":\"zone-a\",\"in_flight\":0,\"others\":0}]},"
		"\"vms_without_new_tasks\":[{\"vm\":\"v1\",\"tasks\":6},"
		"{\"vm\":\"v2\",\"tasks\":7}]}");
	evhttp_send_reply(req, 200, NULL, NULL);
}

static void serve_unread(struct evhttp_request *req, void *arg G_GNUC_UNUSED)
{
	evbuffer_add_printf(evhttp_request_get_output_buffer(req), "%s",
			    "{\"id\":\"e2\",\"entry\":{\"evacuations\":{"
			    "\"generation\":0,\"read\":false,\"age_ms\":-1,"
			    "\"zones\":[]}}}");
	evhttp_send_reply(req, 200, NULL, NULL);
}

/*
 * Guards against a status that does not show an evacuated zone, what still runs
 * there, or an entry that does not know the zones.
 */
START_TEST(test_evacuation_status)
{
	serve("e1", serve_evacuations);
	serve("e2", serve_unread);
	expect_run(ask("status", NULL), EXIT_CODE_OK,
		   "e1     3           250     zone-a  2    5         6      "
		   "ana     1970-01-01T00:00:01Z  works\n",
		   "");
	expect_run(ask("status", NULL), EXIT_CODE_OK,
		   "e2     0           -1      -       -    -         -      "
		   "-       -                     the evacuated zones were not "
		   "read yet\n",
		   "");
}
END_TEST

static const struct {
	/* Appended to "radishpier evacuate". */
	const char *arguments;
	const char *err;
} bad_evacuations[] = {
	{ "", "missing option ZONE" },
	{ "zone-a --author a", "missing option --reason" },
	{ "zone-a --reason r", "missing option --author" },
	{ "zone-a --author '' --reason r",
	  "--author: the value is empty; expected a text" },
	{ "zone-a --author a --reason ''",
	  "--reason: the value is empty; expected a text" },
	{ "zone-a --author= --end", "--author: the value is empty" },
	{ "zone-a --author a --reason '\n'",
	  "reason: expected 1 to 512 bytes of UTF-8 on one line, not an empty "
	  "text; nothing was changed" },
	{ "zone-a --author a --end --reason '\n'",
	  "reason: expected 1 to 512 bytes" },
	{ "'zone a' --author a --reason r",
	  "zone: expected 1 to 64 letters, digits, '.', '_' or '-'" },
	{ "zone-a zone-b --author a --reason r", "zone-b" },
	{ "zone-a --author a --reason r --force", "--force" },
};

/* Guards against wrong arguments that are accepted or not explained. */
START_TEST(test_bad_evacuations)
{
	g_autofree char *line = g_strdup_printf(
		"%s evacuate %s --kv %s", binary, bad_evacuations[_i].arguments,
		platform.address);
	g_auto(GStrv) argv = NULL;

	ck_assert(g_shell_parse_argv(line, NULL, &argv, NULL));
	expect_run(run_command(argv), EXIT_CODE_USAGE, "",
		   bad_evacuations[_i].err);
}
END_TEST

static const struct {
	/* Appended to "radishpier", so that it also names radishpier-agent. */
	const char *arguments;
	int code;
	const char *out;
	const char *err;
} usages[] = {
	{ " --version", EXIT_CODE_OK, "radishpier 0", "" },
	{ " --help", EXIT_CODE_OK, "exit codes:", "" },
	{ " apply --help", EXIT_CODE_OK, "--expect=GENERATION", "" },
	{ "", EXIT_CODE_USAGE, "", "usage:" },
	{ " --version extra", EXIT_CODE_USAGE, "", "usage:" },
	{ " serve --settings none.yaml", EXIT_CODE_INVALID, "", "none.yaml: " },
	{ " serve --check-settings", EXIT_CODE_USAGE, "",
	  "missing option --settings" },
	{ " history --kv 127.0.0.1:1 --last 0", EXIT_CODE_USAGE, "",
	  "--last: expected 1 to 10000" },
	{ " apply --routes r --pools p --author a --kv 127.0.0.1:1 --expect 1x",
	  EXIT_CODE_USAGE, "", "--expect: expected a generation" },
	{ " aply", EXIT_CODE_USAGE, "", "unknown command aply" },
	{ " show", EXIT_CODE_USAGE, "", "missing option --kv" },
	{ " show --kv localhost", EXIT_CODE_USAGE, "", "expected IP:PORT" },
	{ " show --kv 127.0.0.1:1", EXIT_CODE_UNAVAILABLE, "",
	  "not connected" },
	{ " check --routes examples/farmland/routes.yaml --pools "
	  "examples/farmland/pools.yaml",
	  EXIT_CODE_OK, "valid: 3 pools, 4 routes", "" },
	{ " check --routes examples/farmland/routes.yaml --pools "
	  "examples/consortium/pools.yaml",
	  EXIT_CODE_INVALID, "", "there is no pool" },
	{ " serve --check-settings --settings examples/farmland/entry.yaml",
	  EXIT_CODE_OK, "valid", "" },
	{ " serve --check-settings --settings examples/farmland/agent.yaml",
	  EXIT_CODE_INVALID, "", "key vm: unknown" },
	{ "-agent --version", EXIT_CODE_OK, "radishpier-agent 0", "" },
	{ "-agent --help", EXIT_CODE_OK, "usage: radishpier-agent", "" },
	{ "-agent --help --bogus", EXIT_CODE_OK, "exit codes:", "" },
	{ "-agent", EXIT_CODE_USAGE, "", "missing option --settings" },
	{ "-agent --settings a --bogus", EXIT_CODE_USAGE, "", "--bogus" },
	{ "-agent --settings none.yaml", EXIT_CODE_INVALID, "", "none.yaml: " },
	{ "-agent --check-settings --settings examples/farmland/agent.yaml",
	  EXIT_CODE_OK, "valid\n", "" },
	{ "-agent --check-settings --settings examples/farmland/entry.yaml",
	  EXIT_CODE_INVALID, "", "key id: unknown" },
};

/*
 * Guards against changed exit codes, on which scripts rely, and against wrong
 * arguments or settings that are not reported.
 */
START_TEST(test_usage)
{
	g_autofree char *line = g_strdup_printf("%s%s", binary,
						usages[_i].arguments);
	g_auto(GStrv) argv = NULL;

	ck_assert(g_shell_parse_argv(line, NULL, &argv, NULL));
	expect_run(run_command(argv), usages[_i].code, usages[_i].out,
		   usages[_i].err);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("cli");
	TCase *tcase = tcase_create("cli");

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, test_apply);
	tcase_add_test(tcase, test_race);
	tcase_add_test(tcase, test_lost_answer);
	tcase_add_test(tcase, test_down);
	tcase_add_test(tcase, test_later_document);
	tcase_add_test(tcase, test_status);
	tcase_add_test(tcase, test_evacuate);
	tcase_add_test(tcase, test_evacuate_race);
	tcase_add_test(tcase, test_evacuate_lost_answer);
	tcase_add_test(tcase, test_evacuate_unknown_zone);
	tcase_add_test(tcase, test_evacuate_lost_key);
	tcase_add_test(tcase, test_evacuation_status);
	tcase_add_loop_test(tcase, test_bad_evacuations, 0,
			    G_N_ELEMENTS(bad_evacuations));
	tcase_add_loop_test(tcase, test_usage, 0, G_N_ELEMENTS(usages));
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
