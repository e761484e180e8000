#include "internal.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "../obs/obs.h"

char *job_id_new(const char *idempotency_key, GRand *random)
{
	guint32 words[4];
	XXH128_hash_t hash;
	unsigned i;

	if (idempotency_key) {
		hash = XXH3_128bits(idempotency_key, strlen(idempotency_key));
		return g_strdup_printf(
			"%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER "x",
			(guint64)hash.high64, (guint64)hash.low64);
	}
	for (i = 0; i < G_N_ELEMENTS(words); i++)
		words[i] = g_rand_int(random);
	return g_strdup_printf("%08x%08x%08x%08x", words[0], words[1], words[2],
			       words[3]);
}

unsigned job_shard(const char *job_id)
{
	return (unsigned)(XXH3_64bits(job_id, strlen(job_id)) % JOB_SHARDS);
}

char *job_record_key(unsigned shard, const char *id)
{
	return g_strdup_printf("radishpier/job/%02u/%s", shard, id);
}

GBytes *job_record_pack(const struct Rp__JobRecord *record)
{
	size_t len = rp__job_record__get_packed_size(record);
	uint8_t *data = g_malloc(len ? len : 1);

	rp__job_record__pack(record, data);
	return g_bytes_new_take(data, len);
}

struct Rp__JobRecord *job_record_copy(const struct Rp__JobRecord *record)
{
	GBytes *bytes = job_record_pack(record);
	gsize len;
	const uint8_t *data = g_bytes_get_data(bytes, &len);
	struct Rp__JobRecord *copy = rp__job_record__unpack(NULL, len, data);

	g_assert(copy);
	g_bytes_unref(bytes);
	return copy;
}

void job_record_free(struct Rp__JobRecord *record)
{
	if (record)
		rp__job_record__free_unpacked(record, NULL);
}

gboolean job_record_ended(const struct Rp__JobRecord *record)
{
	return record->state == RP__JOB_STATE__JOB_STATE_DONE ||
	       record->state == RP__JOB_STATE__JOB_STATE_FAILED ||
	       record->state == RP__JOB_STATE__JOB_STATE_CANCELLED;
}

gboolean job_record_placed(const struct Rp__JobRecord *record)
{
	return record->state == RP__JOB_STATE__JOB_STATE_PLACED ||
	       record->state == RP__JOB_STATE__JOB_STATE_RUNNING;
}

gboolean job_record_failed_on(const struct Rp__JobRecord *record,
			      const char *vm)
{
	size_t i;

	for (i = 0; i < record->n_failed_vms; i++)
		if (!strcmp(record->failed_vms[i], vm))
			return TRUE;
	return FALSE;
}

void job_record_add_failed_vm(struct Rp__JobRecord *record, const char *vm)
{
	if (job_record_failed_on(record, vm))
		return;
	record->failed_vms = g_renew(char *, record->failed_vms,
				     record->n_failed_vms + 1);
	record->failed_vms[record->n_failed_vms++] = g_strdup(vm);
}

const char *job_record_state_name(Rp__JobState state)
{
	static const char *const names[] = {
		[RP__JOB_STATE__JOB_STATE_NONE] = "none",
		[RP__JOB_STATE__JOB_STATE_QUEUED] = "queued",
		[RP__JOB_STATE__JOB_STATE_PLACED] = "placed",
		[RP__JOB_STATE__JOB_STATE_RUNNING] = "running",
		[RP__JOB_STATE__JOB_STATE_DONE] = "done",
		[RP__JOB_STATE__JOB_STATE_FAILED] = "failed",
		[RP__JOB_STATE__JOB_STATE_CANCELLED] = "cancelled",
	};

	return (unsigned)state < G_N_ELEMENTS(names) ? names[state] : "none";
}

static void json_member(GString *out, const char *name, const char *value)
{
	g_string_append_printf(out, ",\"%s\":", name);
	obs_json_string(out, value, -1);
}

void job_record_json(const struct job_item *item,
		     const struct Rp__JobRecord *record, GString *out)
{
	const char *why = record->why;

	if (record->state == RP__JOB_STATE__JOB_STATE_QUEUED && item->why)
		why = item->why;
	g_string_append(out, "{\"id\":");
	obs_json_string(out, record->job_id, -1);
	json_member(out, "state", job_record_state_name(record->state));
	g_string_append_printf(out, ",\"attempt\":%u,\"failures\":%u",
			       record->attempt, record->failures);
	json_member(out, "vm", record->vm);
	json_member(out, "why", why);
	json_member(out, "kind", record->kind);
	json_member(out, "pool", record->pool);
	g_string_append_printf(out, ",\"cancel_requested\":%s}",
			       record->cancel_requested ? "true" : "false");
}

static void digest_string(XXH3_state_t *state, const char *s)
{
	guint64 len = s ? strlen(s) : 0;

	XXH3_64bits_update(state, &len, sizeof(len));
	if (len)
		XXH3_64bits_update(state, s, len);
}

guint64 job_spec_digest(const struct job_spec *spec)
{
	XXH3_state_t *state = XXH3_createState();
	guint64 max_attempts = spec->max_attempts;
	guint64 digest;
	gsize len = 0;
	const void *data = spec->payload ? g_bytes_get_data(spec->payload, &len)
					 : NULL;

	XXH3_64bits_reset(state);
	digest_string(state, spec->kind);
	digest_string(state, spec->team);
	XXH3_64bits_update(state, &spec->cpu_milli, sizeof(spec->cpu_milli));
	XXH3_64bits_update(state, &spec->memory_bytes,
			   sizeof(spec->memory_bytes));
	XXH3_64bits_update(state, &spec->accelerators,
			   sizeof(spec->accelerators));
	XXH3_64bits_update(state, &max_attempts, sizeof(max_attempts));
	if (len)
		XXH3_64bits_update(state, data, len);
	digest = XXH3_64bits_digest(state);
	XXH3_freeState(state);
	return digest;
}
