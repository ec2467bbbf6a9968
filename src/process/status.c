/* The status group of ibistrestle.h: code names and error details. */
#include <stdarg.h>
#include <stdio.h>

#include "ibistrestle.h"
#include "process/alloc.h"

const char *
ibis_code_name(enum ibis_code code)
{
	switch (code) {
	case IBIS_OK:
		return "ok";
	case IBIS_INVALID:
		return "invalid";
	case IBIS_CONFLICT:
		return "conflict";
	case IBIS_NOT_FOUND:
		return "not_found";
	case IBIS_LIMIT:
		return "limit";
	case IBIS_UNAVAILABLE:
		return "unavailable";
	case IBIS_UNKNOWN:
		return "unknown";
	case IBIS_NO_MEMORY:
		return "no_memory";
	case IBIS_INTERNAL:
		return "internal";
	}
	return "internal";
}

enum ibis_code
ibis_status_set(struct ibis_status *status, enum ibis_code code,
    const char *step, const char *peer, const char *format, ...)
{
	va_list arguments;

	if (status == NULL)
		return code;
	status->code = code;
	STRING_SHORTEN(status->step, step);
	STRING_SHORTEN(status->peer, peer);
	va_start(arguments, format);
	(void)vsnprintf(
	    status->message, sizeof(status->message), format, arguments);
	va_end(arguments);
	return code;
}
