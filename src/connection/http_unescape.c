#include <string.h>

#include <microhttpd.h>

#include "connection/http_unescape.h"

#define ESCAPED_NUL "%00"

size_t
http_unescape(void *context, struct MHD_Connection *connection, char *text)
{
	(void)context;
	(void)connection;
	if (strstr(text, ESCAPED_NUL) != NULL)
		return strlen(text);
	return MHD_http_unescape(text);
}
