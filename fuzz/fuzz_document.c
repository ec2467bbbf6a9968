/* Splits and parses arbitrary documents: a rejected one gives IBIS_INVALID, and
 * the diff of an accepted one with itself is empty. */
#include <stdint.h>
#include <stdlib.h>

#include "process/alloc.h"
#include "version/document.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
parse(const struct document_source *sections, size_t count)
{
	CLEANUP(buffer_free) struct buffer warnings = {0};
	CLEANUP(buffer_free) struct buffer lines = {0};
	struct ibis_status status = {0};
	struct document *document =
	    document_parse(sections, count, &warnings, &status);

	if (document == NULL && status.code != IBIS_INVALID)
		abort();
	if (document == NULL)
		return;
	document_diff(document, document, &lines);
	if (lines.length != 0)
		abort();
	document_layout_json(document, &lines);
	document_free(document);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	CLEANUP(mem_free_string)
	char *text = mem_strndup((const char *)data, size);
	struct document_source whole = {.name = "fuzz", .text = text};
	struct document_source *sections;
	struct ibis_status status = {0};
	int count = document_split(text, &sections, &status);

	if (count >= 0) {
		parse(sections, (size_t)count);
		document_sources_free(sections, (size_t)count);
	}
	parse(&whole, 1);
	return 0;
}
