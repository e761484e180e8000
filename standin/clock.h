#ifndef STANDIN_CLOCK_H
#define STANDIN_CLOCK_H

#include <glib.h>
#include <time.h>

/** Returns CLOCK_BOOTTIME in milliseconds, the clock of the workers' leases. */
static inline gint64 clock_now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_BOOTTIME, &now);
	return (gint64)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

/** Returns CLOCK_BOOTTIME in microseconds. */
static inline gint64 clock_now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_BOOTTIME, &now);
	return (gint64)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

#endif
