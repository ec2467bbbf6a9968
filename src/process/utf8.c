#include <stddef.h>
#include <stdint.h>

#include "process/utf8.h"

#define MAX_CODE_POINT	0x10ffffU
#define FIRST_SURROGATE 0xd800U
#define LAST_SURROGATE	0xdfffU

/* Bytes of the character that a first byte starts, 0 when none does. */
static size_t
character_bytes(unsigned char first)
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

/* Length of the valid character at text, 0 when there is none. */
static size_t
valid_character(const unsigned char *text)
{
	static const uint32_t lowest[] = {0, 0, 0x80, 0x800, 0x10000};
	size_t length = character_bytes(text[0]);
	uint32_t point;

	if (length <= 1)
		return length;
	point = text[0] & (0x7fU >> length);
	for (size_t i = 1; i < length; i++) {
		if ((text[i] & 0xc0U) != 0x80U)
			return 0;
		point = point << 6 | (text[i] & 0x3fU);
	}
	if (point < lowest[length] || point > MAX_CODE_POINT ||
	    (point >= FIRST_SURROGATE && point <= LAST_SURROGATE))
		return 0;
	return length;
}

void
utf8_append(struct buffer *buffer, const char *text)
{
	while (*text != '\0') {
		size_t length = valid_character((const unsigned char *)text);

		if (length == 0)
			buffer_puts(buffer, "?");
		else
			buffer_append(buffer, text, length);
		text += length > 0 ? length : 1;
	}
}
