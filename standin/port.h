#ifndef STANDIN_PORT_H
#define STANDIN_PORT_H

#include <stdint.h>

/**
 * Returns a free loopback port for a process that is started later. It stays
 * free until then: it is outside the kernel's range of ephemeral ports, and in
 * a block of ports that is reserved for the calling process.
 */
uint16_t port_new(void);

#endif
