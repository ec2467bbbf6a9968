#include "process/json_limits.h"

bool
json_limits_allow(const char *text, size_t length)
{
	size_t containers = 0;
	size_t values = 1;
	bool in_string = false;

	for (size_t i = 0; i < length; i++) {
		if (in_string && text[i] == '\\') {
			i++;
		} else if (text[i] == '"') {
			in_string = !in_string;
		} else if (!in_string) {
			if (text[i] == '\'' || text[i] == '/')
				return false;
			containers += text[i] == '{' || text[i] == '[';
			values += text[i] == ',';
		}
	}
	return containers <= JSON_MAX_CONTAINERS && values <= JSON_MAX_VALUES;
}
