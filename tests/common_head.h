/* An owning pointer to a head, for property tests in C++. */
#ifndef IBIS_COMMON_HEAD_H
#define IBIS_COMMON_HEAD_H

#include <memory>
#include <string>

#include "version/head.h"

struct HeadFree {
	void
	operator()(struct head *head) const
	{
		head_free(head);
	}
};

using Head = std::unique_ptr<struct head, HeadFree>;

/* Parses a head; null if the text is malformed. */
inline Head
read_head(const std::string &text)
{
	return Head(head_parse(text.data(), text.size(), nullptr));
}

#endif
