/* Decoding of the paths and query arguments of requests. */
#ifndef IBIS_HTTP_UNESCAPE_H
#define IBIS_HTTP_UNESCAPE_H

#include <stddef.h>

struct MHD_Connection;

/*
 * Decodes a path, or a part of a query, in place and returns its length; for
 * MHD_OPTION_UNESCAPE_CALLBACK. A text with an escaped NUL stays as it is: it
 * would be taken for the shorter one before the NUL.
 */
size_t http_unescape(
    void *context, struct MHD_Connection *connection, char *text);

#endif
