/* A configuration is written just after the store has come back: is it in force
 * in time? */
#include "rig.h"

#define ROUTE(name, prefix)                                                    \
	"{\"name\":\"" name                                                    \
	"\",\"host\":\"nony24.example\",\"prefix\":\"" prefix                  \
	"\",\"kind\":\"non_idempotent\",\"timeout_ms\":3000,"                  \
	"\"target_duration_ms\":300,\"priority\":0,\"backend\":\"jurado\","    \
	"\"max_attempts\":3,\"slack_factor\":1.5}"

/* Bounds of the site. */
#define CONTACT_MS 3000
#define CONFIG_APPLY_MS 2000
/** Below the 4.5 s of the site's platform_down; varied, since it depends on
 * the phase of the entries' calls whether one is still waiting at the end. */
#define OUTAGE_MS (3340 + 30 * (round % 5))
#define ROUNDS 12
/** From a change of the configuration to the store's outage. */
#define BEFORE_MS 280
/** From the end of the outage to the next change. */
#define AFTER_MS 900

int main(void)
{
	struct rig_options options = {
		.name = "a configuration after an outage of the store",
		.entries = 3,
		.workers = 4,
		.cpu_milli = 64000,
		.mem_mb = 256000,
		.routes = "[" ROUTE("r-foto", "/foto/") "]",
	};
	gboolean broken = FALSE;
	gint64 end_ms;
	gint64 acked_ms;
	gint64 sent_ms;
	int version = 7;
	int round;
	int i;

	rig_start(&options);
	for (round = 0; round < ROUNDS && !broken; round++) {
		g_autofree char *path = g_strdup_printf("/new%d/", round);
		g_autofree char *routes = g_strdup_printf(
			"[" ROUTE("r-foto",
				  "/foto/") ","
					    "{\"name\":\"r-new\",\"host\":"
					    "\"nony24.example\","
					    "\"prefix\":\"%s\",\"kind\":\"non_"
					    "idempotent\","
					    "\"timeout_ms\":3000,\"target_"
					    "duration_ms\":300,"
					    "\"priority\":0,\"backend\":"
					    "\"jurado\","
					    "\"max_attempts\":3,\"slack_"
					    "factor\":1.5}]",
			path);
		gboolean in_force = FALSE;

		rig_write_config(++version, options.routes);
		rig_sleep_ms(BEFORE_MS);
		if (rig_trouble())
			rig_store_silent(TRUE);
		rig_sleep_ms(OUTAGE_MS);
		if (rig_trouble())
			rig_store_silent(FALSE);
		end_ms = rig_now_ms();
		rig_sleep_ms(AFTER_MS);
		rig_write_config(++version, routes);
		acked_ms = rig_now_ms();
		while (rig_now_ms() < end_ms + CONTACT_MS + 500) {
			for (i = 0; i < 3; i++) {
				struct rig_answer answer;

				sent_ms = rig_now_ms();
				answer = rig_call_quietly(i, "GET", path, NULL,
							  1000);
				if (answer.status == 200 && !in_force) {
					in_force = TRUE;
					rig_record("in force %d ms after the "
						   "outage",
						   (int)(sent_ms - end_ms));
				}
				if (answer.status != 404 ||
				    sent_ms <= acked_ms + CONFIG_APPLY_MS ||
				    sent_ms <= end_ms + CONTACT_MS)
					continue;
				if (!broken)
					rig_record(
						"CONFIG: GET %s is answered "
						"404 by entry %d, sent %d ms "
						"after the acknowledgement of "
						"version %d and %d ms after "
						"the outage",
						path, i,
						(int)(sent_ms - acked_ms),
						version,
						(int)(sent_ms - end_ms));
				broken = TRUE;
			}
			rig_sleep_ms(10);
		}
	}
	rig_finish(broken ? 1 : 0);
}
