#include "worker_test.h"

/* Tests of parked.c: a store with more accepted jobs than fit into memory. */

/** Jobs in the store, and how many of them the bound lets into memory. */
#define N_JOBS 40
#define N_FIT 5

/** The records in the store, by key. */
struct store {
	GHashTable *records;
	/** Highest memory of accepted jobs at any time. */
	guint64 max_bytes;
};

static void free_bytes(gpointer bytes)
{
	g_bytes_unref(bytes);
}

static void store_init(struct store *store)
{
	store->records = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       free_bytes);
	store->max_bytes = 0;
}

static void store_clear(struct store *store)
{
	g_hash_table_unref(store->records);
}

static GBytes *get_record(const struct store *store, const char *prefix,
			  const char *id)
{
	g_autofree char *key = g_strconcat(prefix, id, NULL);

	return g_hash_table_lookup(store->records, key);
}

static void apply_txn(struct store *store, const struct kv_txn *txn)
{
	guint i;

	for (i = 0; i < txn->ops->len; i++) {
		const struct kv_op *op = &g_array_index(txn->ops, struct kv_op,
							i);

		if (op->kind == KV_OP_PUT)
			g_hash_table_replace(store->records, g_strdup(op->key),
					     g_bytes_ref(op->value));
		else
			g_hash_table_remove(store->records, op->key);
	}
}

/* Executes the transactions and reads since clear_effects(). */
static void serve(struct leader *l, struct store *store)
{
	g_autoptr(GPtrArray) ids = g_ptr_array_new_with_free_func(g_free);
	guint i;

	for (i = 0; i < l->effects->len; i++) {
		const struct sch_effect *e =
			&g_array_index(l->effects, struct sch_effect, i);

		if (e->kind == SCH_EFFECT_COMMIT)
			apply_txn(store, e->txn);
		else if (e->kind == SCH_EFFECT_READ_JOB)
			g_ptr_array_add(ids, g_strdup(e->job_id));
	}
	for (i = 0; i < ids->len; i++) {
		struct sch_event ev = { .kind = SCH_EVENT_JOB_READ };

		ev.job_id = ids->pdata[i];
		ev.job_record = get_record(store, SCH_JOB_PREFIX, ev.job_id);
		ev.progress_record = get_record(store, SCH_PROGRESS_PREFIX,
						ev.job_id);
		reduce(l, &ev);
		store->max_bytes = MAX(store->max_bytes, l->s->admitted_bytes);
	}
}

/* Lets time pass; tasks end as soon as they have started. */
static void work_with_store(struct leader *l, struct worker *worker,
			    struct store *store, gint64 ms)
{
	gint64 until_ms = l->now_ms + ms;

	while (l->now_ms < until_ms) {
		confirm_leadership(l);
		commit(l);
		serve(l, store);
		end_started_tasks(l, worker);
	}
	commit(l);
	serve(l, store);
}

/* Submits job-0 and so on, each of one task, at a leader without workers and
 * without a bound. Those before n_hopeless need a label that no VM has. */
static void fill_store(struct store *store, guint n_hopeless)
{
	struct leader l;
	struct Rp__StepSpec step;
	struct Rp__Resources need;
	struct Rp__StepSpec *steps[] = { &step };
	guint i;

	setup(&l);
	init_step(&step, &need, 1, 2500);
	for (i = 0; i < N_JOBS; i++) {
		g_autofree char *path = g_strdup_printf("/q/job-%02u", i);

		step.label = (char *)(i < n_hopeless ? "none" : "");
		confirm_leadership(&l);
		submit(&l, path, steps, 1);
		commit(&l);
	}
	serve(&l, store);
	teardown(&l);
}

/* Sets up a leader with room for N_FIT jobs that has read the store. */
static void load(struct leader *l, const struct store *store)
{
	static const char *const prefixes[] = { SCH_JOB_PREFIX,
						SCH_PROGRESS_PREFIX };
	g_autoptr(GList) keys = g_list_sort(
		g_hash_table_get_keys(store->records), (GCompareFunc)strcmp);
	GList *key;

	setup(l);
	l->s->options.max_job_bytes = 1;
	for (key = keys; key; key = key->next) {
		GBytes *record = g_hash_table_lookup(store->records, key->data);
		gsize len;
		const void *data = g_bytes_get_data(record, &len);

		if (g_str_has_prefix(key->data, prefixes[0])) {
			sch_load_job(l->s,
				     (char *)key->data + strlen(prefixes[0]),
				     data, len);
			if (l->s->options.max_job_bytes == 1)
				l->s->options.max_job_bytes =
					N_FIT * l->s->admitted_bytes;
		} else if (g_str_has_prefix(key->data, prefixes[1])) {
			sch_load_progress(
				l->s, (char *)key->data + strlen(prefixes[1]),
				data, len, UNIX_MS + l->now_ms);
		}
	}
}

static Rp__JobState state_of(struct leader *l, guint job)
{
	g_autofree char *path = g_strdup_printf("/q/job-%02u", job);

	confirm_leadership(l);
	call(l, RP__STEP_VERB__STEP_VERB_STATE, path, NULL);
	ck_assert_uint_eq(l->status, 200);
	return l->state;
}

/*
 * Guards against a leader that outgrows its memory as it reads the jobs that
 * earlier leaders have accepted, and against jobs that it then leaves out.
 */
START_TEST(test_store_beyond_the_bound)
{
	struct store store;
	struct worker worker;
	struct leader l;
	guint i;

	store_init(&store);
	worker_init(&worker);
	fill_store(&store, 0);
	load(&l, &store);
	ck_assert_uint_le(l.s->admitted_bytes, l.s->options.max_job_bytes);
	ck_assert_uint_eq(l.s->parked.length, N_JOBS - N_FIT);
	for (i = 0; i < N_JOBS; i++)
		ck_assert_int_eq(state_of(&l, i),
				 RP__JOB_STATE__JOB_STATE_QUEUED);
	add_vm(&l, "vm1");
	work_with_store(&l, &worker, &store, 60000);
	ck_assert_uint_eq(worker.started->len, N_JOBS);
	assert_started_once(&worker);
	for (i = 0; i < N_JOBS; i++) {
		g_autofree char *id = g_strdup_printf("job-%02u", i);

		ck_assert_int_eq(state_of(&l, i),
				 RP__JOB_STATE__JOB_STATE_DONE);
		ck_assert_ptr_null(get_record(&store, SCH_JOB_PREFIX, id));
	}
	ck_assert_uint_le(store.max_bytes, l.s->options.max_job_bytes);
	ck_assert_uint_eq(l.s->parked_bytes, 0);
	worker_clear(&worker);
	store_clear(&store);
	teardown(&l);
}
END_TEST

/* Guards against jobs that fill the memory and can never run, so that no parked
 * job ever does. */
START_TEST(test_hopeless_jobs_make_room)
{
	struct store store;
	struct worker worker;
	struct leader l;
	guint i;

	store_init(&store);
	worker_init(&worker);
	fill_store(&store, 20);
	load(&l, &store);
	add_vm(&l, "vm1");
	work_with_store(&l, &worker, &store, 120000);
	for (i = 0; i < N_JOBS; i++)
		ck_assert_int_eq(state_of(&l, i),
				 i < 20 ? RP__JOB_STATE__JOB_STATE_QUEUED
					: RP__JOB_STATE__JOB_STATE_DONE);
	assert_started_once(&worker);
	ck_assert_uint_le(store.max_bytes, l.s->options.max_job_bytes);
	worker_clear(&worker);
	store_clear(&store);
	teardown(&l);
}
END_TEST

/* Guards against a new job that is accepted while earlier ones do not fit, and
 * against an accepted one that is refused when it is submitted again. */
START_TEST(test_calls_while_jobs_are_parked)
{
	struct store store;
	struct leader l;
	struct Rp__StepSpec step;
	struct Rp__Resources need;
	struct Rp__StepSpec *steps[] = { &step };

	store_init(&store);
	fill_store(&store, 0);
	load(&l, &store);
	tick(&l, 20);
	confirm_leadership(&l);
	init_step(&step, &need, 1, 2500);
	submit(&l, "/q/new", steps, 1);
	ck_assert_uint_eq(l.status, 429);
	submit(&l, "/q/job-39", steps, 1);
	ck_assert_uint_eq(l.status, 200);
	call(&l, RP__STEP_VERB__STEP_VERB_CANCEL, "/q/job-39", NULL);
	commit(&l);
	ck_assert_uint_eq(l.status, 200);
	serve(&l, &store);
	ck_assert_ptr_null(get_record(&store, SCH_JOB_PREFIX, "job-39"));
	ck_assert_ptr_nonnull(
		get_record(&store, SCH_PROGRESS_PREFIX, "job-39"));
	ck_assert_int_eq(state_of(&l, 39), RP__JOB_STATE__JOB_STATE_CANCELLED);
	store_clear(&store);
	teardown(&l);
}
END_TEST

/* Guards against a run that is stopped, or doubled, because the job that it
 * belongs to did not fit into memory. */
START_TEST(test_jobs_with_runs_are_read)
{
	struct store store;
	struct leader l;
	struct leader next;
	const char *id;
	guint i;

	store_init(&store);
	/* So that those that run are not the first to be loaded. */
	fill_store(&store, 20);
	load(&l, &store);
	l.s->options.max_job_bytes = 0;
	for (i = 0; i < 2 * N_JOBS; i++) {
		tick(&l, 20);
		serve(&l, &store);
		clear_effects(&l);
	}
	ck_assert_uint_eq(l.s->parked.length, 0);
	add_vm(&l, "vm1");
	confirm_leadership(&l);
	commit(&l);
	serve(&l, &store);
	ck_assert_uint_eq(l.s->stats.runs, 4);
	load(&next, &store);
	for (i = 0; (id = sch_parked_with_runs(next.s)); i++) {
		g_autofree char *copy = g_strdup(id);

		ck_assert_int_eq(
			sch_load_parked(
				next.s, copy,
				get_record(&store, SCH_JOB_PREFIX, copy),
				get_record(&store, SCH_PROGRESS_PREFIX, copy),
				UNIX_MS + l.now_ms),
			0);
	}
	ck_assert_uint_eq(i, 4);
	ck_assert_uint_eq(next.s->stats.runs, 4);
	ck_assert_uint_eq(sch_vm_get(next.s, "vm1")->runs->len, 4);
	store_clear(&store);
	teardown(&l);
	teardown(&next);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("sched/parked");
	TCase *tcase = tcase_create("parked");

	tcase_add_test(tcase, test_store_beyond_the_bound);
	tcase_add_test(tcase, test_hopeless_jobs_make_room);
	tcase_add_test(tcase, test_calls_while_jobs_are_parked);
	tcase_add_test(tcase, test_jobs_with_runs_are_read);
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
