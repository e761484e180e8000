#include "model_test.h"
#include "tests/fixture.h"

/*
 * Simulation of leaders, agents and workers with random faults, on a virtual
 * clock. The reducers are the real ones; workers, connections and the store are
 * models that lose, delay and repeat messages. Checks are made when a worker
 * starts a run, from what the worker and the callers have seen.
 */

static void agent_reduce(struct model *m, int vm, struct runs_event *ev);

static void answer_call(struct model *m, struct model_call *c,
			struct runs_answer *answer)
{
	struct runs_event ev = { .kind = RUNS_EVENT_ANSWER, .answer = answer };

	answer->call_id = c->call->id;
	if (!c->answer_lost && !c->timed_out && m->vms[c->vm].runs &&
	    m->vms[c->vm].agent_epoch == c->agent_epoch)
		agent_reduce(m, c->vm, &ev);
}

static void deliver_call(struct model *m, struct model_call *c)
{
	struct model_worker *w = &m->vms[c->vm].worker;
	struct runs_answer answer = { .outcome = RUNS_OK };

	if (!w->up || w->started_ms != c->worker_started_ms) {
		c->answer_lost = TRUE;
		return;
	}
	if (c->call->fencing_token < w->fencing_token) {
		answer.outcome = RUNS_REFUSED;
		answer.reason = "fence";
		answer_call(m, c, &answer);
		return;
	}
	w->fencing_token = c->call->fencing_token;
	if (c->call->lease_until_ms > w->lease_until_ms &&
	    (c->call->kind == RUNS_CALL_RENEW_LEASE ||
	     c->call->kind == RUNS_CALL_START))
		w->lease_until_ms = c->call->lease_until_ms;
	switch (c->call->kind) {
	case RUNS_CALL_START:
		answer.outcome = worker_start(m, c->vm, c->call,
					      &answer.reason);
		break;
	case RUNS_CALL_STOP:
		worker_stop(m, w, c->call);
		break;
	case RUNS_CALL_RENEW_LEASE:
		acknowledge_ends(m, w, c->call->acked_through);
		set_lists(m, w, &answer);
		break;
	default:
		break;
	}
	answer_call(m, c, &answer);
	runs_answer_clear(&answer);
}

static void free_call(struct model_call *c)
{
	runs_call_free(c->call);
	g_free(c);
}

static void run_calls(struct model *m)
{
	guint i = 0;

	while (i < m->calls->len) {
		struct model_call *c = m->calls->pdata[i];

		if (!c->timed_out && !c->delivered &&
		    m->now_ms >= c->timeout_ms &&
		    (c->answer_lost || m->now_ms < c->arrival_ms)) {
			struct runs_answer lost = { .outcome = RUNS_NO_ANSWER };
			gboolean answer_lost = c->answer_lost;

			/* So that answer_call() passes the time-out on. */
			c->answer_lost = FALSE;
			answer_call(m, c, &lost);
			c->answer_lost = answer_lost;
			c->timed_out = TRUE;
		}
		if (!c->delivered && m->now_ms >= c->arrival_ms) {
			c->delivered = TRUE;
			deliver_call(m, c);
		}
		if (c->delivered && (!c->answer_lost || c->timed_out)) {
			g_ptr_array_remove_index(m->calls, i);
			free_call(c);
			continue;
		}
		if (c->delivered && c->answer_lost &&
		    m->now_ms >= c->timeout_ms) {
			struct runs_answer lost = { .outcome = RUNS_NO_ANSWER };

			c->answer_lost = FALSE;
			answer_call(m, c, &lost);
			c->timed_out = TRUE;
			continue;
		}
		i++;
	}
}

static void send_frame(struct model *m, guint leader, int vm, gboolean to_agent,
		       struct Rp__Frame *frame)
{
	struct model_frame *f = g_new0(struct model_frame, 1);

	f->frame = frame;
	f->vm = vm;
	f->leader = leader;
	f->to_agent = to_agent;
	f->link_epoch = m->leaders[leader].link_epoch[vm];
	f->arrival_ms = m->now_ms + TICK_MS;
	g_ptr_array_add(m->frames, f);
}

static void send_hello(struct model *m, guint leader, int vm,
		       guint64 fencing_token)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_LEADER_HELLO);

	frame->leader_hello->fence = fencing_token;
	send_frame(m, leader, vm, TRUE, frame);
}

static void agent_reduce(struct model *m, int vm, struct runs_event *ev)
{
	g_autoptr(GArray)
		effects = g_array_new(FALSE, FALSE, sizeof(struct runs_effect));
	guint i;

	ev->now_ms = m->now_ms;
	m->events++;
	runs_reduce(m->vms[vm].runs, ev, effects);
	for (i = 0; i < effects->len; i++) {
		struct runs_effect *e = &g_array_index(effects,
						       struct runs_effect, i);
		struct model_call *c;

		if (e->kind == RUNS_EFFECT_REPORT) {
			send_frame(m, m->vms[vm].leader, vm, FALSE, e->frame);
			continue;
		}
		c = g_new0(struct model_call, 1);
		c->call = e->call;
		c->vm = vm;
		c->agent_epoch = m->vms[vm].agent_epoch;
		c->worker_started_ms = m->vms[vm].worker.started_ms;
		c->arrival_ms = m->now_ms + TICK_MS + e->call->wait_ms / 5;
		c->timeout_ms = m->now_ms + e->call->timeout_ms;
		c->answer_lost = fault_occurs(
			m, m->now_ms < m->vms[vm].unresponsive_until_ms ? 0.97
									: 0.05);
		/* Some calls without an answer reach the worker late, after
		 * newer ones. */
		if (c->answer_lost && g_rand_boolean(m->rand))
			c->arrival_ms = m->now_ms +
					g_rand_int_range(m->rand, LATE_MIN_MS,
							 LATE_MAX_MS);
		g_ptr_array_add(m->calls, c);
	}
}

static void leader_reduce(struct model *m, guint leader, struct sch_event *ev)
{
	struct model_leader *l = &m->leaders[leader];
	g_autoptr(GArray)
		effects = g_array_new(FALSE, FALSE, sizeof(struct sch_effect));
	guint i;

	ev->now_ms = m->now_ms;
	ev->unix_ms = m->now_ms + 1000000;
	m->events++;
	sch_reduce(l->sch, ev, effects);
	for (i = 0; i < effects->len; i++) {
		struct sch_effect *e = &g_array_index(effects,
						      struct sch_effect, i);
		GHashTableIter iter;
		gpointer value;

		switch (e->kind) {
		case SCH_EFFECT_SESSION:
			send_hello(m, leader, atoi(e->vm + 2),
				   e->fencing_token);
			break;
		case SCH_EFFECT_ORDERS:
			send_frame(m, leader, atoi(e->vm + 2), TRUE,
				   g_steal_pointer(&e->frame));
			break;
		case SCH_EFFECT_COMMIT:
			ck_assert_uint_le(e->txn->ops->len, MAX_TXN_OPS);
			l->txn = g_steal_pointer(&e->txn);
			l->txn_end_ms =
				m->now_ms +
				(fault_occurs(m, 0.05)
					 ? g_rand_int_range(m->rand, 100, 1500)
					 : TICK_MS);
			break;
		case SCH_EFFECT_REPLY:
			g_hash_table_iter_init(&iter, m->jobs);
			while (g_hash_table_iter_next(&iter, NULL, &value)) {
				struct model_job *job = value;

				if (job->call_ref != e->call_ref)
					continue;
				if (e->reply.status == 200)
					job->accepted = TRUE;
				if (e->reply.status == 503 && !job->accepted)
					job->refused = TRUE;
			}
			break;
		}
		sch_effect_clear(e);
	}
}

/* Ends the leader's transaction; it takes effect if the leader is current. */
static void run_txn(struct model *m, guint leader)
{
	struct model_leader *l = &m->leaders[leader];
	struct sch_event ev = { .kind = SCH_EVENT_COMMITTED };
	guint i;

	if (!l->txn || m->now_ms < l->txn_end_ms)
		return;
	if (leader != m->current) {
		kv_txn_free(l->txn);
		l->txn = NULL;
		l->elected = FALSE;
		return;
	}
	for (i = 0; i < l->txn->ops->len; i++) {
		const struct kv_op *op = &g_array_index(l->txn->ops,
							struct kv_op, i);

		if (op->kind == KV_OP_PUT)
			g_hash_table_insert(m->store, g_strdup(op->key),
					    g_bytes_ref(op->value));
		else
			g_hash_table_remove(m->store, op->key);
	}
	kv_txn_free(l->txn);
	l->txn = NULL;
	ev.revision = ++m->revision;
	/* The leader is replaced before it receives the answer. */
	if (fault_occurs(m, 0.02)) {
		m->next_leader_ms = m->now_ms;
		return;
	}
	leader_reduce(m, leader, &ev);
}

static GPtrArray *queues_new(void)
{
	GPtrArray *queues = g_ptr_array_new();
	struct sch_queue *queue = sch_queue_new();

	queue->name = g_strdup("batch");
	queue->host = g_strdup("h");
	queue->path_prefix = g_strdup("/b/");
	queue->pool = g_strdup("pool");
	queue->max_attempts = MAX_ATTEMPTS;
	queue->slack_factor = 2;
	queue->objective_base_ms = 1000;
	g_ptr_array_add(queues, queue);
	return queues;
}

static void load(struct model *m, struct sch *sch)
{
	g_autoptr(GList) keys = g_list_sort(g_hash_table_get_keys(m->store),
					    (GCompareFunc)strcmp);
	GList *k;

	for (k = keys; k; k = k->next) {
		const char *key = k->data;
		gsize len;
		const void *data = g_bytes_get_data(
			g_hash_table_lookup(m->store, key), &len);
		int result;

		if (g_str_has_prefix(key, SCH_JOB_PREFIX))
			result = sch_load_job(sch, key + strlen(SCH_JOB_PREFIX),
					      data, len);
		else
			result = sch_load_progress(
				sch, key + strlen(SCH_PROGRESS_PREFIX), data,
				len, m->now_ms + 1000000);
		ck_assert_int_eq(result, 0);
	}
}

static void drop_leader(struct model *m, guint leader)
{
	struct model_leader *l = &m->leaders[leader];
	int v;

	if (!l->sch)
		return;
	for (v = 0; v < VMS; v++) {
		l->connected[v] = FALSE;
		l->link_epoch[v]++;
	}
	if (l->txn)
		kv_txn_free(l->txn);
	l->txn = NULL;
	sch_free(l->sch);
	l->sch = NULL;
}

/* Elects another leader; the earlier one may run for 4 s more without noticing.
 */
static void elect(struct model *m)
{
	struct sch_options options = {
		.lease_ms = LEASE_MS,
		.leadership_valid_ms = LEADERSHIP_VALID_MS,
		.max_ops = MAX_TXN_OPS,
		.retention_ms = 10000000,
	};
	struct sch_event ev = { .kind = SCH_EVENT_TABLES };
	guint old = m->current;
	guint next = (m->current + 1) % G_N_ELEMENTS(m->leaders);
	struct model_leader *l = &m->leaders[next];

	drop_leader(m, next);
	if (m->leaders[old].sch && g_rand_boolean(m->rand))
		drop_leader(m, old);
	else
		m->leaders[old].end_ms = m->now_ms + 4000;
	m->current = next;
	l->fencing_token = ++m->revision;
	l->elected = TRUE;
	l->end_ms = G_MAXINT64;
	l->next_confirm_ms = 0;
	options.fencing_token = l->fencing_token;
	options.confirmed_ms = m->now_ms;
	l->sch = sch_new(&options, m->now_ms);
	load(m, l->sch);
	ev.queues = queues_new();
	leader_reduce(m, next, &ev);
	m->next_leader_ms =
		m->faults_off
			? G_MAXINT64
			: m->now_ms + g_rand_int_range(m->rand, 3000,
						       m->load.max_term_ms);
}

static void submit(struct model *m)
{
	struct model_job *job = g_new0(struct model_job, 1);
	g_autofree char *id = g_strdup_printf("%016x",
					      g_hash_table_size(m->jobs) + 1);
	g_autofree char *path = g_strconcat("/b/", id, NULL);
	struct Rp__StepCall call;
	struct sch_event ev = { .kind = SCH_EVENT_CALL, .call = &call };
	guint i;

	job->spec = g_malloc(sizeof(*job->spec));
	rp__step_job__init(job->spec);
	job->spec->n_steps = (size_t)g_rand_int_range(m->rand, 1, 4);
	job->spec->steps = g_new0(struct Rp__StepSpec *, job->spec->n_steps);
	for (i = 0; i < job->spec->n_steps; i++) {
		struct Rp__StepSpec *step = g_malloc(sizeof(*step));
		struct Rp__Resources *need = g_malloc(sizeof(*need));

		rp__step_spec__init(step);
		rp__resources__init(need);
		need->cpu_milli = g_rand_int_range(m->rand, 500,
						   m->load.max_cpu_milli);
		step->need = need;
		step->replicas = (guint32)g_rand_int_range(
			m->rand, 1, m->load.max_replicas + 1);
		step->estimate_ms = 1000;
		step->gang = g_rand_double(m->rand) < 0.1;
		if (i) {
			step->n_after = 1;
			step->after = g_new0(guint32, 1);
			step->after[0] = i - 1;
		}
		job->spec->steps[i] = step;
	}
	job->call_ref = ++m->next_ref;
	g_hash_table_insert(m->jobs, g_strdup(id), job);
	rp__step_call__init(&call);
	call.verb = RP__STEP_VERB__STEP_VERB_SUBMIT;
	call.host = (char *)"h";
	call.path = path;
	call.job = job->spec;
	ev.call_ref = job->call_ref;
	if (m->leaders[m->current].sch)
		leader_reduce(m, m->current, &ev);
}

static void agent_start(struct model *m, int vm)
{
	m->vms[vm].runs = runs_new();
	m->vms[vm].agent_epoch++;
	m->vms[vm].elected_revision = 0;
}

static void agent_stop(struct model *m, int vm)
{
	guint i;

	runs_free(m->vms[vm].runs);
	m->vms[vm].runs = NULL;
	for (i = 0; i < G_N_ELEMENTS(m->leaders); i++) {
		struct sch_event ev = { .kind = SCH_EVENT_AGENT_DISCONNECTED };
		g_autofree char *name = g_strdup_printf("vm%d", vm);

		if (!m->leaders[i].sch || !m->leaders[i].connected[vm])
			continue;
		m->leaders[i].connected[vm] = FALSE;
		m->leaders[i].link_epoch[vm]++;
		ev.vm = name;
		leader_reduce(m, i, &ev);
	}
}

static void heartbeat(struct model *m, int vm)
{
	struct Rp__WorkerInfo info;
	struct Rp__Resources capacity;
	struct runs_event ev = { .kind = RUNS_EVENT_WORKER_INFO,
				 .worker = &info };
	g_autofree char *id = g_strdup_printf("w%d", vm);

	if (!m->vms[vm].runs || !m->vms[vm].worker.up)
		return;
	rp__worker_info__init(&info);
	rp__resources__init(&capacity);
	capacity.cpu_milli = CAPACITY_MILLI;
	info.capacity = &capacity;
	info.worker_id = id;
	info.born_ms = m->vms[vm].worker.started_ms;
	info.pool = (char *)"pool";
	info.sequence = (guint64)m->now_ms;
	agent_reduce(m, vm, &ev);
}

static void connect_vm(struct model *m, guint leader, int vm)
{
	struct model_leader *l = &m->leaders[leader];
	struct model_vm *v = &m->vms[vm];
	struct sch_event ev = { .kind = SCH_EVENT_AGENT_CONNECTED };
	g_autofree char *name = g_strdup_printf("vm%d", vm);
	guint old = v->leader;

	l->reconnect_ms[vm] = m->now_ms + 300;
	if (!v->runs || l->fencing_token < v->elected_revision ||
	    fault_occurs(m, 0.2))
		return;
	if (old != leader && m->leaders[old].sch &&
	    m->leaders[old].connected[vm]) {
		struct sch_event down = { .kind = SCH_EVENT_AGENT_DISCONNECTED,
					  .vm = name };

		m->leaders[old].connected[vm] = FALSE;
		m->leaders[old].link_epoch[vm]++;
		leader_reduce(m, old, &down);
	}
	l->connected[vm] = TRUE;
	l->link_epoch[vm]++;
	v->leader = leader;
	v->elected_revision = l->fencing_token;
	ev.vm = name;
	leader_reduce(m, leader, &ev);
}

static void deliver_to_agent(struct model *m, int vm,
			     const struct Rp__Frame *frame)
{
	struct runs_event ev = { .kind = RUNS_EVENT_ORDERS };

	if (frame->body_case == RP__FRAME__BODY_LEADER_HELLO) {
		ev.kind = RUNS_EVENT_LEADER_CONNECTED;
		ev.fencing_token = frame->leader_hello->fence;
		if (!runs_accepts_leader(m->vms[vm].runs, ev.fencing_token))
			return;
	} else {
		ev.orders = frame->vm_orders;
	}
	agent_reduce(m, vm, &ev);
}

static void run_frames(struct model *m)
{
	guint i = 0;

	while (i < m->frames->len) {
		struct model_frame *f = m->frames->pdata[i];
		struct model_leader *l = &m->leaders[f->leader];
		gboolean live = l->sch && l->connected[f->vm] &&
				l->link_epoch[f->vm] == f->link_epoch;
		g_autofree char *name = g_strdup_printf("vm%d", f->vm);

		if (m->now_ms < f->arrival_ms) {
			i++;
			continue;
		}
		g_ptr_array_remove_index(m->frames, i);
		if (live && f->to_agent && m->vms[f->vm].runs) {
			deliver_to_agent(m, f->vm, f->frame);
		} else if (live && !f->to_agent) {
			struct sch_event ev = {
				.kind = SCH_EVENT_REPORT,
				.vm = name,
				.report = f->frame->vm_report,
			};

			leader_reduce(m, f->leader, &ev);
		}
		wire_frame_free(f->frame);
		g_free(f);
	}
}

static void inject_faults(struct model *m)
{
	int vm = g_rand_int_range(m->rand, 0, VMS);
	struct model_vm *v = &m->vms[vm];
	guint i;

	if (fault_occurs(m, m->load.unresponsive_probability))
		v->unresponsive_until_ms =
			m->now_ms + g_rand_int_range(m->rand, 4000, 14000);
	if (fault_occurs(m, 0.002) && v->worker.up) {
		v->worker.up = FALSE;
		v->worker.restart_ms = m->now_ms +
				       g_rand_int_range(m->rand, 200, 6000);
	}
	if (fault_occurs(m, 0.002) && v->runs) {
		agent_stop(m, vm);
		v->agent_restart_ms = m->now_ms +
				      g_rand_int_range(m->rand, 200, 5000);
	}
	if (fault_occurs(m, 0.003)) {
		for (i = 0; i < G_N_ELEMENTS(m->leaders); i++) {
			struct sch_event ev = {
				.kind = SCH_EVENT_AGENT_DISCONNECTED
			};
			g_autofree char *name = g_strdup_printf("vm%d", vm);
			struct model_leader *l = &m->leaders[i];

			if (!l->sch || !l->connected[vm])
				continue;
			l->connected[vm] = FALSE;
			l->link_epoch[vm]++;
			l->reconnect_ms[vm] =
				m->now_ms + g_rand_int_range(m->rand, 0, 9000);
			ev.vm = name;
			leader_reduce(m, i, &ev);
		}
	}
	/* All VMs lose power. */
	if (fault_occurs(m, 0.0002)) {
		for (vm = 0; vm < VMS; vm++) {
			m->vms[vm].worker.up = FALSE;
			m->vms[vm].worker.restart_ms = m->now_ms + 1500;
			if (m->vms[vm].runs)
				agent_stop(m, vm);
			m->vms[vm].agent_restart_ms = m->now_ms + 1500;
		}
		m->next_leader_ms = m->now_ms + 1500;
	}
}

static void step(struct model *m)
{
	guint i;
	int vm;

	m->now_ms += TICK_MS;
	if (m->now_ms >= m->next_leader_ms)
		elect(m);
	for (vm = 0; vm < VMS; vm++) {
		struct runs_event ev = { .kind = RUNS_EVENT_TICK };

		worker_tick(m, &m->vms[vm].worker);
		if (!m->vms[vm].runs &&
		    m->now_ms >= m->vms[vm].agent_restart_ms)
			agent_start(m, vm);
		if (m->now_ms % 1500 == vm * 100)
			heartbeat(m, vm);
		if (m->vms[vm].runs)
			agent_reduce(m, vm, &ev);
	}
	run_calls(m);
	run_frames(m);
	for (i = 0; i < G_N_ELEMENTS(m->leaders); i++) {
		struct model_leader *l = &m->leaders[i];
		struct sch_event ev = { .kind = SCH_EVENT_TICK };
		struct sch_event confirmed = {
			.kind = SCH_EVENT_LEADERSHIP_CONFIRMED,
			.confirmed_ms = m->now_ms
		};

		if (l->sch && m->now_ms >= l->end_ms)
			drop_leader(m, i);
		if (!l->sch)
			continue;
		run_txn(m, i);
		for (vm = 0; vm < VMS; vm++)
			if (!l->connected[vm] &&
			    m->now_ms >= l->reconnect_ms[vm])
				connect_vm(m, i, vm);
		if (i == m->current && m->now_ms >= l->next_confirm_ms) {
			l->next_confirm_ms = m->now_ms + 500;
			leader_reduce(m, i, &confirmed);
		}
		if (m->now_ms % 20 == 0)
			leader_reduce(m, i, &ev);
	}
	inject_faults(m);
}

static void free_model_job(gpointer data)
{
	struct model_job *job = data;

	rp__step_job__free_unpacked(job->spec, NULL);
	g_free(job);
}

static void unref_bytes(gpointer bytes)
{
	g_bytes_unref(bytes);
}

static void model_init(struct model *m, guint32 seed)
{
	int vm;

	memset(m, 0, sizeof(*m));
	m->seed = seed;
	m->rand = g_rand_new_with_seed(seed);
	m->store = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 unref_bytes);
	m->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					free_model_job);
	m->done_acked = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      NULL);
	m->failures_acked = g_hash_table_new_full(g_str_hash, g_str_equal,
						  g_free, NULL);
	m->done_anywhere = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, NULL);
	m->calls = g_ptr_array_new();
	m->frames = g_ptr_array_new();
	for (vm = 0; vm < VMS; vm++) {
		worker_init(m, &m->vms[vm].worker);
		agent_start(m, vm);
	}
}

static void model_clear(struct model *m)
{
	guint i;
	int vm;

	for (i = 0; i < G_N_ELEMENTS(m->leaders); i++)
		drop_leader(m, i);
	for (vm = 0; vm < VMS; vm++) {
		if (m->vms[vm].runs)
			runs_free(m->vms[vm].runs);
		worker_clear(&m->vms[vm].worker);
	}
	for (i = 0; i < m->calls->len; i++)
		free_call(m->calls->pdata[i]);
	for (i = 0; i < m->frames->len; i++) {
		struct model_frame *f = m->frames->pdata[i];

		wire_frame_free(f->frame);
		g_free(f);
	}
	g_ptr_array_unref(m->calls);
	g_ptr_array_unref(m->frames);
	g_hash_table_unref(m->store);
	g_hash_table_unref(m->jobs);
	g_hash_table_unref(m->done_acked);
	g_hash_table_unref(m->failures_acked);
	g_hash_table_unref(m->done_anywhere);
	g_rand_free(m->rand);
}

/* Checks that accepted jobs have ended, and that done ones ran their steps in
 * order. */
static void check_jobs(struct model *m, guint32 seed)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	guint accepted = 0;

	g_hash_table_iter_init(&iter, m->jobs);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct model_job *job = value;
		const struct sch_job *known = g_hash_table_lookup(
			m->leaders[m->current].sch->jobs, key);

		if (!job->accepted)
			continue;
		accepted++;
		ck_assert_msg(known != NULL, "seed %u: job %s is lost", seed,
			      (char *)key);
		ck_assert_msg(sch_job_has_ended(known),
			      "seed %u: job %s has not ended", seed,
			      (char *)key);
		if (known->state == RP__JOB_STATE__JOB_STATE_DONE)
			check_step_order(m, key, job->spec,
					 (guint)job->spec->n_steps - 1);
	}
	ck_assert_uint_gt(accepted, 5);
	ck_assert_uint_gt(m->starts, 20);
}

/* Runs the seeds that RP_FIRST_SEED and RP_SEEDS name. */
static void run_seeds(const struct model_load *load)
{
	const char *text = g_getenv("RP_SEEDS");
	const char *first_text = g_getenv("RP_FIRST_SEED");
	guint first = first_text ? (guint)atoi(first_text) : 1;
	guint seeds = text ? (guint)atoi(text) : DEFAULT_SEEDS;
	guint64 events = 0;
	guint seed;

	for (seed = first; seed < first + seeds; seed++) {
		struct model m;

		model_init(&m, seed);
		m.load = *load;
		elect(&m);
		while (m.now_ms < FAULT_PHASE_MS) {
			step(&m);
			if (m.now_ms < FAULT_PHASE_MS - 10000 &&
			    m.now_ms % load->submit_interval_ms == 0)
				submit(&m);
		}
		m.faults_off = TRUE;
		/* A new leader is elected, since the answer to the last
		 * transaction may have been lost. */
		m.next_leader_ms = m.now_ms;
		while (m.now_ms < FAULT_PHASE_MS + RECOVERY_MS)
			step(&m);
		check_jobs(&m, seed);
		events += m.events;
		model_clear(&m);
	}
	ck_assert_uint_gt(events, seeds * 10000);
}

/*
 * Guards against a task that runs twice at a time or after it was done, a VM
 * whose capacity is exceeded, a step that starts before its predecessors are
 * done, a start of a refused job, and a job that is lost or never ends. Causes
 * are killed processes, cut connections, lost answers, late calls and two
 * leaders at a time.
 */
START_TEST(test_random_faults)
{
	static const struct model_load load = {
		.submit_interval_ms = 1000,
		.max_replicas = 4,
		.max_cpu_milli = 4000,
		.max_term_ms = 15000,
	};

	run_seeds(&load);
}
END_TEST

/* Guards against a start that takes effect after its run was given up, because
 * the worker had left it unanswered. */
START_TEST(test_abandoned_starts_never_run)
{
	static const struct model_load load = {
		.submit_interval_ms = 500,
		.max_replicas = 30,
		.max_cpu_milli = 1000,
		.max_term_ms = 80000,
		.unresponsive_probability = 0.004,
	};

	run_seeds(&load);
}
END_TEST

static void drop_log(const char *domain G_GNUC_UNUSED,
		     GLogLevelFlags level G_GNUC_UNUSED,
		     const char *message G_GNUC_UNUSED,
		     gpointer data G_GNUC_UNUSED)
{
}

int main(void)
{
	Suite *suite = suite_create("sched_model");
	TCase *tcase = tcase_create("model");

	fixture_drop_logs();
	g_log_set_default_handler(drop_log, NULL);
	/* Seconds; the seeds take longer than the default of check. */
	tcase_set_timeout(tcase, 180);
	tcase_add_test(tcase, test_random_faults);
	tcase_add_test(tcase, test_abandoned_starts_never_run);
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
