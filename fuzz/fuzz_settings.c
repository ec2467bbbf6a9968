/* Parses arbitrary settings and overrides: a rejected input gives IBIS_INVALID
 * and an error message. */
#include <stdint.h>
#include <stdlib.h>

#include "process/alloc.h"
#include "process/settings.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
parse(const char *text, const char *const *overrides, size_t count)
{
	struct ibis_status status = {0};
	struct ibis_settings *settings =
	    settings_parse(text, "fuzz", overrides, count, &status);

	if (settings == NULL &&
	    (status.code != IBIS_INVALID || status.message[0] == '\0'))
		abort();
	ibis_settings_free(settings);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	CLEANUP(mem_free_string)
	char *text = mem_strndup((const char *)data, size);
	const char *override = text;

	parse(text, NULL, 0);
	parse("{}", &override, 1);
	return 0;
}
