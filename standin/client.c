#include "standin/client.h"

#include <curl/curl.h>
#include <stdio.h>
#include <string.h>

#include "standin/clock.h"

static size_t on_body(char *data, size_t size, size_t n, void *ctx)
{
	g_string_append_len(ctx, data, (gssize)(size * n));
	return size * n;
}

/* Copies the value if the header line has this name. */
static void copy_header(const char *line, size_t len, const char *name,
			char *to, size_t to_len)
{
	size_t name_len = strlen(name);
	g_autofree char *value = NULL;

	if (len <= name_len || g_ascii_strncasecmp(line, name, name_len) ||
	    line[name_len] != ':')
		return;
	value = g_strndup(line + name_len + 1, len - name_len - 1);
	g_strlcpy(to, g_strstrip(value), to_len);
}

static size_t on_header(char *data, size_t size, size_t n, void *ctx)
{
	struct call_result *result = ctx;
	size_t len = size * n;

	copy_header(data, len, "Radishpier-Outcome", result->outcome,
		    sizeof(result->outcome));
	copy_header(data, len, "Radishpier-Request-Id", result->request_id,
		    sizeof(result->request_id));
	copy_header(data, len, "X-Upstream", result->upstream,
		    sizeof(result->upstream));
	copy_header(data, len, "X-Tag", result->tag, sizeof(result->tag));
	copy_header(data, len, "Retry-After", result->retry_after,
		    sizeof(result->retry_after));
	return len;
}

/* As call_http(), on an open curl handle. */
static int perform(CURL *curl, const struct call_options *options,
		   struct call_result *result)
{
	g_autofree char *url = g_strdup_printf("http://%s%s", options->address,
					       options->target);
	struct curl_slist *headers = curl_slist_append(NULL, "Expect:");
	gint64 start = clock_now_us();
	CURLcode code;
	size_t i;

	memset(result, 0, sizeof(*result));
	result->body = g_string_new(NULL);
	for (i = 0; options->headers && options->headers[i]; i++)
		headers = curl_slist_append(headers, options->headers[i]);
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS,
			 options->timeout_ms ? options->timeout_ms : 30000L);
	if (options->body_len) {
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, options->body);
		curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE,
				 (long)options->body_len);
	}
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, options->method);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, result->body);
	curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(curl, CURLOPT_HEADERDATA, result);
	code = curl_easy_perform(curl);
	result->elapsed_us = clock_now_us() - start;
	curl_slist_free_all(headers);
	if (code != CURLE_OK)
		return -1;
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &result->status);
	return 0;
}

int call_http(const struct call_options *options, struct call_result *result)
{
	CURL *curl = curl_easy_init();
	int ret = perform(curl, options, result);

	curl_easy_cleanup(curl);
	return ret;
}

void call_result_clear(struct call_result *result)
{
	if (result->body)
		g_string_free(result->body, TRUE);
	memset(result, 0, sizeof(*result));
}

struct load {
	struct load_options options;
	char **addresses;
	char **headers;
	char *method;
	char *target;
	char *tag;
	GThread **threads;
	GMutex lock;
	GArray *answers;
	gint stopping;
	gint next_caller;
};

/*
 * Returns a body of len bytes that begins with the tag, so that an answer that
 * echoes it can be matched to its request.
 */
static char *new_body(const char *tag, size_t len)
{
	char *body = g_malloc(len + 1);
	size_t tag_len = strlen(tag);

	memset(body, 'b', len);
	memcpy(body, tag, MIN(tag_len, len));
	body[len] = '\0';
	return body;
}

static void send_request(struct load *load, CURL *curl, unsigned caller,
			 unsigned number)
{
	struct load_answer answer = { 0 };
	struct call_options options = { 0 };
	struct call_result result;
	g_autofree char *tag_header = NULL;
	g_autofree char *body = NULL;
	GPtrArray *headers = g_ptr_array_new();
	size_t i;

	g_snprintf(answer.tag, sizeof(answer.tag), "%s-%u-%u", load->tag,
		   caller, number);
	tag_header = g_strdup_printf("X-Tag: %s", answer.tag);
	g_ptr_array_add(headers, tag_header);
	for (i = 0; load->headers && load->headers[i]; i++)
		g_ptr_array_add(headers, load->headers[i]);
	g_ptr_array_add(headers, NULL);
	body = new_body(answer.tag, load->options.body_len);
	options.method = load->method;
	options.address =
		load->addresses[(caller + number) % load->options.n_addresses];
	options.target = load->target;
	options.headers = (const char *const *)headers->pdata;
	options.body = body;
	options.body_len = load->options.body_len;
	answer.sent_ms = clock_now_ms();
	curl_easy_reset(curl);
	if (!perform(curl, &options, &result)) {
		answer.status = result.status;
		answer.matches_request = strcmp(result.outcome, "ran") ||
					 (!strcmp(result.tag, answer.tag) &&
					  result.body->len ==
						  load->options.body_len &&
					  !memcmp(result.body->str, body,
						  load->options.body_len));
		g_strlcpy(answer.outcome, result.outcome,
			  sizeof(answer.outcome));
		g_strlcpy(answer.upstream, result.upstream,
			  sizeof(answer.upstream));
	}
	answer.elapsed_us = result.elapsed_us;
	call_result_clear(&result);
	g_ptr_array_free(headers, TRUE);
	g_mutex_lock(&load->lock);
	g_array_append_val(load->answers, answer);
	g_mutex_unlock(&load->lock);
}

static gpointer run_caller(gpointer data)
{
	struct load *load = data;
	unsigned caller = (unsigned)g_atomic_int_add(&load->next_caller, 1);
	CURL *curl = curl_easy_init();
	unsigned number = 0;

	while (!g_atomic_int_get(&load->stopping)) {
		send_request(load, curl, caller, number++);
		if (load->options.pause_ms)
			g_usleep(load->options.pause_ms * 1000UL);
	}
	curl_easy_cleanup(curl);
	return NULL;
}

struct load *load_start(const struct load_options *options)
{
	struct load *load = g_new0(struct load, 1);
	unsigned i;

	load->options = *options;
	load->method = g_strdup(options->method);
	load->target = g_strdup(options->target);
	load->tag = g_strdup(options->tag);
	load->headers = g_strdupv((char **)options->headers);
	load->addresses = g_new0(char *, options->n_addresses + 1);
	for (i = 0; i < options->n_addresses; i++)
		load->addresses[i] = g_strdup(options->addresses[i]);
	load->answers = g_array_new(FALSE, TRUE, sizeof(struct load_answer));
	g_mutex_init(&load->lock);
	load->threads = g_new0(GThread *, options->callers);
	for (i = 0; i < options->callers; i++)
		load->threads[i] = g_thread_new("caller", run_caller, load);
	return load;
}

GArray *load_stop(struct load *load)
{
	GArray *answers = load->answers;
	unsigned i;

	g_atomic_int_set(&load->stopping, 1);
	for (i = 0; i < load->options.callers; i++)
		g_thread_join(load->threads[i]);
	g_free(load->threads);
	g_strfreev(load->addresses);
	g_strfreev(load->headers);
	g_free(load->method);
	g_free(load->target);
	g_free(load->tag);
	g_mutex_clear(&load->lock);
	g_free(load);
	return answers;
}

static int compare_times(const void *a, const void *b)
{
	gint64 left = *(const gint64 *)a;
	gint64 right = *(const gint64 *)b;

	return (left > right) - (left < right);
}

void load_summarise(const GArray *answers, struct load_summary *summary)
{
	g_autofree gint64 *times = g_new(gint64, answers->len + 1);
	guint i;

	memset(summary, 0, sizeof(*summary));
	for (i = 0; i < answers->len; i++) {
		struct load_answer *answer =
			&g_array_index(answers, struct load_answer, i);

		times[i] = answer->elapsed_us;
		if (!answer->status || !answer->matches_request)
			summary->invalid++;
		else if (!strcmp(answer->outcome, "ran"))
			summary->ran++;
		else if (!strcmp(answer->outcome, "not-run"))
			summary->not_run++;
		else
			summary->unknown++;
	}
	summary->sent = answers->len;
	if (!answers->len)
		return;
	qsort(times, answers->len, sizeof(*times), compare_times);
	summary->p50_us = times[answers->len / 2];
	summary->p99_us = times[(guint64)answers->len * 99 / 100];
	summary->max_us = times[answers->len - 1];
}
