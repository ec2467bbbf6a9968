/* Parses arbitrary heads: an accepted one is unchanged when written, parsed and
 * written again. */
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "process/alloc.h"
#include "version/head.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	CLEANUP(buffer_free) struct buffer first = {0};
	CLEANUP(buffer_free) struct buffer second = {0};
	struct ibis_status status = {0};
	struct head *head = head_parse((const char *)data, size, &status);
	struct head *copy;

	if (head == NULL)
		return 0;
	head_write(head, &first);
	copy = head_parse(first.data, first.length, &status);
	if (copy == NULL)
		abort();
	head_write(copy, &second);
	if (strcmp(first.data, second.data) != 0)
		abort();
	head_free(copy);
	head_free(head);
	return 0;
}
