#include "internal.h"

#include <math.h>

/*
 * Admission: which submitted jobs are refused since too many are accepted.
 * Addresses callers that submit more than is ever done, for longer than the
 * leader's memory lasts: without a bound the leader's process ends, and then no
 * caller is served.
 *
 * A job is refused if the memory of accepted jobs reaches its bound, or if
 * their number does and some of them wait for capacity. Nothing is refused for
 * its size or for what it needs: a VM that can run it may still be added, and
 * declared durations are estimates, so that it is never certain that a job
 * cannot end while it has a value.
 *
 * A job counts with what it costs at most: its specification, and the tasks of
 * one occurrence with their runs. Those of further open occurrences have bounds
 * of their own in schedule.c.
 */

/** Time over which ends of jobs are averaged. */
#define DRAIN_PERIOD_MS 10000.0

/** A caller that is refused is to return when this part of the bound is used:
 * sooner, the next callers would be refused again. */
#define RETURN_FILL 0.9

/** Bounds of Retry-After. The upper one is for a pool that drains nothing. */
#define RETRY_MIN_S 1
#define RETRY_MAX_S 30

/** Memory for the bound on bytes: of a task and its run, of a step and of a job
 * besides what their structures have, of an ended job whose state is kept. */
#define TASK_BYTES 400
#define STEP_BYTES 160
#define JOB_BYTES 400
#define ENDED_JOB_BYTES 400

void sch_drain_add(struct sch_drain *drain, gint64 now_ms)
{
	drain->per_s = sch_drain_per_s(drain, now_ms) + 1000 / DRAIN_PERIOD_MS;
	drain->updated_ms = now_ms;
}

double sch_drain_per_s(const struct sch_drain *drain, gint64 now_ms)
{
	return drain->per_s *
	       exp((double)(drain->updated_ms - now_ms) / DRAIN_PERIOD_MS);
}

guint sch_admission_retry_after_s(guint64 used, guint64 bound, double per_s,
				  guint spread)
{
	double excess = (double)used - RETURN_FILL * (double)bound;
	double s = per_s > 0 ? MAX(excess, 1) / per_s : RETRY_MAX_S;
	guint least = (guint)CLAMP(ceil(s), RETRY_MIN_S, RETRY_MAX_S);

	/* Callers that are refused together return over the same time again. */
	return least + spread % (least + 1);
}

static guint64 job_bytes(const struct Rp__StepJob *spec)
{
	guint64 bytes = JOB_BYTES + sizeof(struct sch_job) +
			sizeof(struct sch_occurrence) +
			rp__step_job__get_packed_size(spec);
	size_t i;

	for (i = 0; i < spec->n_steps; i++) {
		const struct Rp__StepSpec *step = spec->steps[i];

		bytes += STEP_BYTES + sizeof(*step) + sizeof(*step->need) +
			 sizeof(struct sch_step_instance) +
			 step->n_after * sizeof(*step->after) +
			 (guint64)step->replicas * TASK_BYTES;
	}
	return bytes;
}

void sch_admission_add(struct sch *s, struct sch_job *job)
{
	job->admitted_bytes = job_bytes(job->spec);
	s->admitted_bytes += job->admitted_bytes;
}

void sch_admission_remove(struct sch *s, struct sch_job *job)
{
	s->admitted_bytes -= job->admitted_bytes;
	job->admitted_bytes = 0;
}

static gboolean some_job_waits(const struct sch *s)
{
	guint i;

	for (i = 0; i < s->active->len; i++)
		if (!((const struct sch_job *)s->active->pdata[i])->started)
			return TRUE;
	return FALSE;
}

guint sch_admission_check(struct sch *s, const char *id,
			  const struct Rp__StepJob *spec)
{
	const struct sch_options *options = &s->options;
	gboolean too_many = options->max_jobs &&
			    s->active->len >= options->max_jobs;
	guint64 bytes = s->admitted_bytes + s->parked_bytes + job_bytes(spec) +
			(guint64)s->ended.length * ENDED_JOB_BYTES;
	gboolean too_large = options->max_job_bytes &&
			     bytes > options->max_job_bytes;
	double per_s;
	guint retry_after_s;

	if (!too_large && (!too_many || !some_job_waits(s)))
		return 0;
	per_s = sch_drain_per_s(&s->drain, s->now_ms);
	/* As to bytes, jobs are taken as equally large. */
	if (!too_large)
		retry_after_s = sch_admission_retry_after_s(
			s->active->len, options->max_jobs, per_s,
			g_str_hash(id));
	else
		retry_after_s = sch_admission_retry_after_s(
			s->active->len, s->active->len, per_s, g_str_hash(id));
	if (!too_large)
		s->stats.refused_jobs++;
	else
		s->stats.refused_bytes++;
	g_log_structured(
		G_LOG_DOMAIN, G_LOG_LEVEL_INFO, "JOB_ID", id, "MESSAGE",
		"job refused for %u s: %u jobs are accepted, with this "
		"one %" G_GUINT64_FORMAT
		" bytes, bounds %u and %" G_GUINT64_FORMAT
		"; %.2f jobs end in a second",
		retry_after_s, s->active->len, bytes, options->max_jobs,
		options->max_job_bytes, per_s);
	return retry_after_s;
}
