/* Properties of the head under racing editors, and of zone holds. */
#include <cstdint>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include "common_head.h"
#include "version/holds.h"

namespace
{

const std::vector<std::string> SECTIONS = {"platform", "records", "rounds"};
const std::vector<std::string> ZONES = {"north", "south"};

std::string
write_text(const struct head *head)
{
	struct buffer text = {};
	std::string copy;

	head_write(head, &text);
	copy = buffer_string(&text);
	buffer_free(&text);
	return copy;
}

/* The value of a store key with compare-and-swap. */
struct Store {
	uint64_t revision = 1;
	std::string value =
	    R"({"version": 1, "sections_version": 0, "sections": {}, "zones": {}})";

	bool
	swap(uint64_t expected, const std::string &next)
	{
		if (expected != revision)
			return false;
		revision++;
		value = next;
		return true;
	}
};

struct Editor {
	uint64_t store_revision = 0; /* read last */
	std::string text;
	std::string section;
	uint64_t edited = 0; /* the section's revision that is edited */
};

void
refresh(const Store &store, Editor &editor)
{
	editor.store_revision = store.revision;
	editor.text = store.value;
}

/* Tries an edit until it succeeds or conflicts for the section. */
bool
commit(Store &store, Editor &editor, uint64_t new_revision)
{
	for (;;) {
		Head head = read_head(editor.text);

		RC_ASSERT(head != nullptr);
		if (head_set_section(head.get(), editor.section.c_str(),
			editor.edited, new_revision, nullptr) != IBIS_OK)
			return false;
		head->version++;
		if (store.swap(editor.store_revision, write_text(head.get())))
			return true;
		refresh(store, editor);
	}
}

void
begin_edit(const Store &store, Editor &editor, const std::string &section)
{
	refresh(store, editor);
	Head head = read_head(editor.text);

	editor.section = section;
	editor.edited = head_section_revision(head.get(), section.c_str());
}

uint64_t
version_of(const Store &store)
{
	Head head = read_head(store.value);

	RC_ASSERT(head != nullptr);
	return head->version;
}

bool
versions_never_fall()
{
	return rc::check("versions never fall under racing edits", [] {
		Store store;
		std::vector<Editor> editors(3);
		uint64_t version = version_of(store);
		uint64_t next_revision = 1;
		auto steps = *rc::gen::container<std::vector<int>>(
		    rc::gen::inRange(0, 18));

		for (int step : steps) {
			Editor &editor = editors[(size_t)step % 3];
			const std::string &section = SECTIONS[(size_t)step / 6];

			if (step % 2 == 0 || editor.section.empty())
				begin_edit(store, editor, section);
			else
				(void)commit(store, editor, ++next_revision);
			RC_ASSERT(version_of(store) >= version);
			version = version_of(store);
		}
	});
}

bool
two_editors()
{
	return rc::check("two editors of one section: one succeeds", [] {
		Store store;
		Editor one;
		Editor other;
		auto first = *rc::gen::elementOf(SECTIONS);
		auto second = *rc::gen::elementOf(SECTIONS);

		begin_edit(store, one, first);
		begin_edit(store, other, second);
		RC_ASSERT(commit(store, one, 11));
		RC_ASSERT(commit(store, other, 12) == (first != second));
		Head head = read_head(store.value);
		RC_ASSERT(
		    head_section_revision(head.get(), first.c_str()) == 11U);
		RC_ASSERT(head->version == (first != second ? 3U : 2U));
	});
}

struct Order {
	std::string zone;
	std::string name;
	bool out;
};

/* Zone orders in the sequence they were given, each a version. */
std::vector<Order>
any_orders()
{
	auto kinds = *rc::gen::resize(12,
	    rc::gen::container<std::vector<std::pair<size_t, bool>>>(
		rc::gen::pair(rc::gen::inRange<size_t>(0, ZONES.size()),
		    rc::gen::arbitrary<bool>())));
	std::vector<Order> orders;

	for (size_t i = 0; i < kinds.size(); i++)
		orders.push_back({ZONES[kinds[i].first],
		    "o" + std::to_string(i), kinds[i].second});
	return orders;
}

/* The heads after each order: the first one is without any. */
std::vector<std::string>
heads_of(const std::vector<Order> &orders)
{
	Store store;
	std::vector<std::string> heads = {store.value};

	for (const Order &order : orders) {
		Head head = read_head(heads.back());

		if (order.out)
			head_zone_out(
			    head.get(), order.zone.c_str(), order.name.c_str());
		else
			head_zone_in(head.get(), order.zone.c_str(),
			    order.name.c_str(), nullptr, 0);
		head->version++;
		heads.push_back(write_text(head.get()));
	}
	return heads;
}

/* A message to an instance: a hold, or a head that it reads. */
struct Message {
	bool is_hold;
	size_t index; /* of the order, or of the head */
};

std::vector<Message>
any_messages(size_t orders)
{
	std::vector<Message> messages;
	auto picks = *rc::gen::container<std::vector<std::pair<bool, size_t>>>(
	    rc::gen::pair(
		rc::gen::arbitrary<bool>(), rc::gen::inRange<size_t>(0, 64)));

	for (const auto &pick : picks) {
		if (pick.first && orders > 0)
			messages.push_back({true, pick.second % orders});
		else
			messages.push_back({false, pick.second % (orders + 1)});
	}
	return messages;
}

bool
holds_are_kept()
{
	return rc::check("a hold is kept until a head accounts for it", [] {
		auto orders = any_orders();
		auto heads = heads_of(orders);
		auto messages = any_messages(orders.size());
		std::vector<bool> held(orders.size(), false);
		struct holds holds = {};
		size_t version = 0; /* index of the newest head seen */

		for (const Message &message : messages) {
			if (message.is_hold && orders[message.index].out) {
				const Order &order = orders[message.index];

				(void)holds_add(&holds, order.zone.c_str(),
				    order.name.c_str(), 0, 0);
				held[message.index] = true;
			} else if (!message.is_hold) {
				/* An older head is kept out. */
				version = std::max(version, message.index);
			}
			Head head = read_head(heads[version]);
			holds_apply_head(&holds, head.get());
			for (size_t i = 0; i < orders.size(); i++) {
				/* The order is part of head i + 1. */
				if (held[i] && version < i + 1)
					RC_ASSERT(holds_forbid(
					    &holds, orders[i].zone.c_str()));
			}
		}
		Head last = read_head(heads.back());
		holds_apply_head(&holds, last.get());
		size_t left = holds.count;
		holds_free(&holds);
		RC_ASSERT(left == 0U);
	});
}

bool
last_order_stands()
{
	return rc::check("a zone is out exactly when its last order is", [] {
		auto orders = any_orders();
		Head head = read_head(heads_of(orders).back());

		for (const std::string &zone : ZONES) {
			bool out = false;

			for (const Order &order : orders) {
				if (order.zone == zone)
					out = order.out;
				RC_ASSERT(order.zone != zone ||
				    head_knows_order(head.get(), zone.c_str(),
					order.name.c_str()));
			}
			RC_ASSERT(
			    head_zone_is_out(head.get(), zone.c_str()) == out);
		}
	});
}

} // namespace

int
main()
{
	bool good = versions_never_fall();

	good = two_editors() && good;
	good = holds_are_kept() && good;
	good = last_order_stands() && good;
	return good ? 0 : 1;
}
