#include "internal.h"

void ent_heap_init(struct heap *heap, unsigned kind)
{
	heap->items = g_ptr_array_new();
	heap->kind = kind;
}

void ent_heap_clear(struct heap *heap)
{
	g_ptr_array_unref(heap->items);
	heap->items = NULL;
}

unsigned ent_heap_size(const struct heap *heap)
{
	return heap->items->len;
}

struct request *ent_heap_top(const struct heap *heap)
{
	return heap->items->len ? heap->items->pdata[0] : NULL;
}

static void place(struct heap *heap, unsigned i, struct request *request)
{
	heap->items->pdata[i] = request;
	request->heap_pos[heap->kind] = i;
}

static gint64 deadline_at(const struct heap *heap, unsigned i)
{
	const struct request *request = heap->items->pdata[i];

	return request->deadline_ms;
}

static void sift_up(struct heap *heap, unsigned i, struct request *request)
{
	while (i > 0) {
		unsigned parent = (i - 1) / 2;

		if (deadline_at(heap, parent) <= request->deadline_ms)
			break;
		place(heap, i, heap->items->pdata[parent]);
		i = parent;
	}
	place(heap, i, request);
}

static void sift_down(struct heap *heap, unsigned i, struct request *request)
{
	unsigned n = heap->items->len;

	for (;;) {
		unsigned child = 2 * i + 1;

		if (child >= n)
			break;
		if (child + 1 < n &&
		    deadline_at(heap, child + 1) < deadline_at(heap, child))
			child++;
		if (deadline_at(heap, child) >= request->deadline_ms)
			break;
		place(heap, i, heap->items->pdata[child]);
		i = child;
	}
	place(heap, i, request);
}

void ent_heap_push(struct heap *heap, struct request *request)
{
	g_assert(request->heap_pos[heap->kind] == ENT_NOT_IN_HEAP);
	g_ptr_array_add(heap->items, request);
	sift_up(heap, heap->items->len - 1, request);
}

void ent_heap_remove(struct heap *heap, struct request *request)
{
	unsigned i = request->heap_pos[heap->kind];
	struct request *last;

	if (i == ENT_NOT_IN_HEAP)
		return;
	last = heap->items->pdata[heap->items->len - 1];
	g_ptr_array_set_size(heap->items, (int)heap->items->len - 1);
	request->heap_pos[heap->kind] = ENT_NOT_IN_HEAP;
	if (last == request)
		return;
	if (i > 0 && deadline_at(heap, (i - 1) / 2) > last->deadline_ms)
		sift_up(heap, i, last);
	else
		sift_down(heap, i, last);
}
