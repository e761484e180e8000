#include "internal.h"

#include <math.h>

/*
 * Admission: which submitted jobs are refused since too many are accepted.
 * Addresses callers that submit more than is ever done, for longer than the
 * leader's memory lasts: without a bound the leader's process ends, and then no
 * caller is served.
 *
 * A job is refused only if a bound is reached and accepted jobs wait for
 * capacity. Nothing is refused for its size or for what it needs: a VM that can
 * run it may still be added, and declared durations are estimates, so that it
 * is never certain that a job cannot end while it has a value.
 */

/** Time over which ends of jobs are averaged. */
#define DRAIN_PERIOD_MS 10000.0

/** A caller that is refused is to return when this part of the bound is used:
 * sooner, the next callers would be refused again. */
#define RETURN_FILL 0.9

/** Bounds of Retry-After. The upper one is for a pool that drains nothing. */
#define RETRY_MIN_S 1
#define RETRY_MAX_S 30

/** Memory of a task, its run and their records, for the bound on bytes. */
#define TASK_BYTES 400

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
	guint64 bytes = rp__step_job__get_packed_size(spec);
	size_t i;

	for (i = 0; i < spec->n_steps; i++)
		bytes += (guint64)spec->steps[i]->replicas * TASK_BYTES;
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
	gboolean too_large = options->max_job_bytes &&
			     s->admitted_bytes + job_bytes(spec) >
				     options->max_job_bytes;
	double per_s;
	guint retry_after_s;

	if ((!too_many && !too_large) || !some_job_waits(s))
		return 0;
	per_s = sch_drain_per_s(&s->drain, s->now_ms);
	/* As to bytes, jobs are taken as equally large. */
	if (too_many)
		retry_after_s = sch_admission_retry_after_s(
			s->active->len, options->max_jobs, per_s,
			g_str_hash(id));
	else
		retry_after_s = sch_admission_retry_after_s(
			s->active->len, s->active->len, per_s, g_str_hash(id));
	if (too_many)
		s->stats.refused_jobs++;
	else
		s->stats.refused_bytes++;
	g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_INFO, "JOB_ID", id,
			 "MESSAGE",
			 "job refused for %u s: %u jobs and %" G_GUINT64_FORMAT
			 " bytes are accepted, bounds %u and %" G_GUINT64_FORMAT
			 "; %.2f jobs end in a second",
			 retry_after_s, s->active->len, s->admitted_bytes,
			 options->max_jobs, options->max_job_bytes, per_s);
	return retry_after_s;
}
