#include <stddef.h>
#include <stdint.h>

#include "process/utf8.h"

#define MAX_CODE_POINT	0x10ffffU
#define FIRST_SURROGATE 0xd800U
#define LAST_SURROGATE	0xdfffU

/* Returns the length of the UTF-8 sequence that starts with this byte, 0 if no
 * sequence can. */
static size_t
sequence_bytes(unsigned char first)
{
	if (first < 0x80)
		return 1;
	if (first >= 0xc2 && first < 0xe0)
		return 2;
	if (first >= 0xe0 && first < 0xf0)
		return 3;
	if (first >= 0xf0 && first < 0xf5)
		return 4;
	return 0;
}

/* Returns the length of the UTF-8 sequence at text, 0 if it is invalid:
 * truncated, overlong, a surrogate or out of range. */
static size_t
valid_sequence_bytes(const unsigned char *text)
{
	static const uint32_t min_code_point[] = {0, 0, 0x80, 0x800, 0x10000};
	size_t length = sequence_bytes(text[0]);
	uint32_t code_point;

	if (length <= 1)
		return length;
	code_point = text[0] & (0x7fU >> length);
	for (size_t i = 1; i < length; i++) {
		if ((text[i] & 0xc0U) != 0x80U)
			return 0;
		code_point = code_point << 6 | (text[i] & 0x3fU);
	}
	if (code_point < min_code_point[length] ||
	    code_point > MAX_CODE_POINT ||
	    (code_point >= FIRST_SURROGATE && code_point <= LAST_SURROGATE))
		return 0;
	return length;
}

void
utf8_append(struct buffer *buffer, const char *text)
{
	while (*text != '\0') {
		size_t length =
		    valid_sequence_bytes((const unsigned char *)text);

		if (length == 0)
			buffer_puts(buffer, "?");
		else
			buffer_append(buffer, text, length);
		text += length > 0 ? length : 1;
	}
}
