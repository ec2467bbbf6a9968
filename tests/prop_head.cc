/* Properties of the head under concurrent edits, and of zone holds. */
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

/* A store key with compare-and-swap; its value is a head. */
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

/* An operator's edit of one section. */
struct Editor {
	uint64_t store_revision = 0; /* of the text below */
	std::string text;
	std::string section;
	uint64_t base_revision = 0; /* of the section when the edit began */
};

/* Reads the store's value again. */
void
refresh(const Store &store, Editor &editor)
{
	editor.store_revision = store.revision;
	editor.text = store.value;
}

/* Retries the swap until the edit succeeds or the section conflicts; returns
 * whether it succeeded. */
bool
commit(Store &store, Editor &editor, uint64_t new_revision)
{
	for (;;) {
		Head head = read_head(editor.text);

		RC_ASSERT(head != nullptr);
		if (head_set_section(head.get(), editor.section.c_str(),
			editor.base_revision, new_revision, nullptr) != IBIS_OK)
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
	editor.base_revision =
	    head_section_revision(head.get(), section.c_str());
}

uint64_t
head_version(const Store &store)
{
	Head head = read_head(store.value);

	RC_ASSERT(head != nullptr);
	return head->version;
}

bool
versions_never_fall()
{
	return rc::check("versions never fall under concurrent edits", [] {
		Store store;
		std::vector<Editor> editors(3);
		uint64_t version = head_version(store);
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
			RC_ASSERT(head_version(store) >= version);
			version = head_version(store);
		}
	});
}

bool
one_of_two_editors_succeeds()
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

/* An order to take a zone out or to put it back into service. */
struct Order {
	std::string zone;
	std::string name;
	bool out;
};

/* Arbitrary zone orders, in the sequence they are applied. */
std::vector<Order>
arbitrary_orders()
{
	auto picks = *rc::gen::resize(12,
	    rc::gen::container<std::vector<std::pair<size_t, bool>>>(
		rc::gen::pair(rc::gen::inRange<size_t>(0, ZONES.size()),
		    rc::gen::arbitrary<bool>())));
	std::vector<Order> orders;

	for (size_t i = 0; i < picks.size(); i++)
		orders.push_back({ZONES[picks[i].first],
		    "o" + std::to_string(i), picks[i].second});
	return orders;
}

/* Returns a head without orders, then the head after each order; each order
 * makes a new version. */
std::vector<std::string>
heads_after(const std::vector<Order> &orders)
{
	Store store;
	std::vector<std::string> heads = {store.value};

	for (const Order &order : orders) {
		Head head = read_head(heads.back());

		if (order.out)
			head_take_zone_out(
			    head.get(), order.zone.c_str(), order.name.c_str());
		else
			head_put_zone_in_service(head.get(), order.zone.c_str(),
			    order.name.c_str(), nullptr, 0);
		head->version++;
		heads.push_back(write_text(head.get()));
	}
	return heads;
}

/* What an instance receives: a hold from a peer, or a head from the store. */
struct Message {
	bool is_hold;
	size_t index; /* of the order or the head */
};

std::vector<Message>
arbitrary_messages(size_t orders)
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
	return rc::check("a hold is kept until a head replaces it", [] {
		auto orders = arbitrary_orders();
		auto heads = heads_after(orders);
		auto messages = arbitrary_messages(orders.size());
		std::vector<bool> hold_added(orders.size(), false);
		struct holds holds = {};
		size_t version = 0; /* index of the newest head seen */

		for (const Message &message : messages) {
			if (message.is_hold && orders[message.index].out) {
				const Order &order = orders[message.index];

				(void)holds_add(&holds, order.zone.c_str(),
				    order.name.c_str(), 0, 0);
				hold_added[message.index] = true;
			} else if (!message.is_hold) {
				/* An older head is ignored. */
				version = std::max(version, message.index);
			}
			Head head = read_head(heads[version]);
			holds_apply_head(&holds, head.get());
			for (size_t i = 0; i < orders.size(); i++) {
				/* Heads from i + 1 on contain the order. */
				if (hold_added[i] && version < i + 1)
					RC_ASSERT(holds_forbid(
					    &holds, orders[i].zone.c_str()));
			}
		}
		Head last = read_head(heads.back());
		holds_apply_head(&holds, last.get());
		size_t remaining = holds.count;
		holds_free(&holds);
		RC_ASSERT(remaining == 0U);
	});
}

bool
zone_follows_last_order()
{
	return rc::check("a zone is out exactly when its last order is", [] {
		auto orders = arbitrary_orders();
		Head head = read_head(heads_after(orders).back());

		for (const std::string &zone : ZONES) {
			bool out = false;

			for (const Order &order : orders) {
				if (order.zone == zone)
					out = order.out;
				RC_ASSERT(order.zone != zone ||
				    head_contains_order(head.get(),
					zone.c_str(), order.name.c_str()));
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

	good = one_of_two_editors_succeeds() && good;
	good = holds_are_kept() && good;
	good = zone_follows_last_order() && good;
	return good ? 0 : 1;
}
