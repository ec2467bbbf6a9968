/*
 * Properties of the replication of versions and holds among several instances,
 * with a model of the store that loses answers and has outages, and a network
 * that drops, delays and reorders frames.
 */
#include <cstdint>
#include <cstring>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include "common_head.h"
#include "process/proto_memory.h"
#include "version/replication.h"

namespace
{

const size_t INSTANCES = 3;
const int64_t HEARTBEAT_MS = 250;
const int64_t STARTUP_MS = 500;
const int64_t RECOVERY_MS = 15000;
const std::vector<std::string> ZONES = {"north", "south"};
const std::vector<std::string> SECTIONS = {"platform", "rounds", "records"};
const std::string HEAD_KEY = "document/head";
const std::string PLATFORM =
    R"({"availability_zones": {"north": {}, "south": {}}})";

enum class Fault {
	NONE,
	DOWN,
	LOST_AFTER, /* a swap is done, but its answer is lost */
	LOST_BEFORE /* a swap is lost before it is done */
};

struct Value {
	uint64_t revision;
	std::string text;
};

/* Model of the key-value store. */
struct Store {
	std::map<std::string, Value> keys;
	std::vector<std::string> heads; /* all accepted ones, oldest first */
	/* zones and their orders that an accepted head has cleared */
	std::set<std::pair<std::string, std::string>> cleared;
	uint64_t last_revision = 0;
	Fault fault = Fault::NONE;

	bool
	put(const std::string &key, uint64_t expected, const std::string &text)
	{
		auto found = keys.find(key);
		uint64_t current =
		    found == keys.end() ? 0 : found->second.revision;

		if (current != expected)
			return false;
		keys[key] = {++last_revision, text};
		if (key == HEAD_KEY)
			record_head(text);
		return true;
	}

	void
	record_head(const std::string &text)
	{
		Head head = read_head(text);

		heads.push_back(text);
		for (size_t i = 0; i < head->zones_count; i++) {
			const struct head_zone &zone = head->zones[i];

			for (size_t j = 0;
			     j < HEAD_MAX_CLEARED_ORDERS && !zone.out; j++)
				cleared.insert({zone.name, zone.cleared[j]});
		}
	}

	void
	read_current(const std::string &key, struct store_result &result)
	{
		auto found = keys.find(key);

		if (found == keys.end()) {
			if (result.op != STORE_SWAP)
				result.code = IBIS_NOT_FOUND;
			return;
		}
		result.revision = found->second.revision;
		buffer_puts(&result.value, found->second.text.c_str());
	}

	void
	execute(const struct store_call &call, struct store_result &result)
	{
		std::string key = call.key;

		result.code = IBIS_OK;
		if (fault == Fault::DOWN) {
			result.code = IBIS_UNAVAILABLE;
			return;
		}
		if (call.op != STORE_SWAP) {
			read_current(key, result);
			return;
		}
		if (fault == Fault::LOST_BEFORE) {
			result.code = IBIS_UNKNOWN;
			return;
		}
		if (!put(key, call.expected_revision,
			buffer_string(&call.value))) {
			result.code = IBIS_CONFLICT;
			read_current(key, result);
		} else {
			result.revision = last_revision;
		}
		if (fault == Fault::LOST_AFTER) {
			buffer_clear(&result.value);
			result.code = IBIS_UNKNOWN;
		}
	}
};

struct Message {
	size_t from;
	size_t to;
	std::string packed;
};

struct Answer {
	enum ibis_code code;
	std::string json;
	uint64_t revision;
};

struct Edit {
	std::string section;
	std::string text;
	bool answered;
	Answer answer;
};

struct Instance {
	struct replication *replication = nullptr;
	uint64_t incarnation = 0;
	uint64_t version = 0;
	std::deque<struct store_call> calls;
	/* zones and orders of the holds that it has created or received */
	std::set<std::pair<std::string, std::string>> known_holds;
};

std::string
name_of(size_t index)
{
	return "e" + std::to_string(index);
}

/* The store, the network and the instances, in one thread with simulated time.
 */
struct Simulation {
	Store store;
	std::vector<Instance> instances{INSTANCES};
	std::vector<Message> messages;
	std::map<uint64_t, Edit> edits;
	int64_t now_ms = 1000;
	int64_t next_heartbeat_ms = 1000;
	uint64_t last_incarnation = 0;
	uint64_t last_call = 0;

	Simulation()
	{
		store.put("document/sections/platform/1", 0, PLATFORM);
		store.put(HEAD_KEY, 0,
		    R"({"version": 1, "sections_version": 1, )"
		    R"("sections": {"platform": 1}, "zones": {}})");
		for (size_t i = 0; i < INSTANCES; i++)
			start(i);
	}
	Simulation(const Simulation &) = delete;
	Simulation &operator=(const Simulation &) = delete;
	~Simulation()
	{
		for (size_t i = 0; i < INSTANCES; i++)
			stop(i);
	}

	void
	stop(size_t index)
	{
		Instance &instance = instances[index];

		for (auto &call : instance.calls)
			buffer_free(&call.value);
		replication_free(instance.replication);
		instance = Instance();
	}

	void
	start(size_t index)
	{
		Instance &instance = instances[index];
		std::string name = name_of(index);
		struct replication_config config = {};
		std::vector<std::string> names;
		std::vector<const char *> peers;

		config.name = name.c_str();
		config.incarnation = ++last_incarnation;
		config.watch_timeout_ms = 400;
		instance.incarnation = last_incarnation;
		instance.replication = replication_new(&config, now_ms);
		for (size_t i = 0; i < INSTANCES; i++) {
			if (i != index)
				names.push_back(name_of(i));
		}
		for (const auto &peer : names)
			peers.push_back(peer.c_str());
		replication_set_peers(
		    instance.replication, peers.data(), peers.size());
		replication_set_watching(instance.replication, index == 0);
		replication_tick(instance.replication, now_ms);
		take_actions(index);
	}

	void
	record_answer(const struct replication_action &action)
	{
		auto found = edits.find(action.answer.call);

		if (found == edits.end())
			return;
		RC_ASSERT(!found->second.answered);
		found->second.answered = true;
		found->second.answer = {action.answer.status.code,
		    buffer_string(&action.answer.json), action.answer.revision};
	}

	void
	send(size_t from, const std::string &peer, const Ibis__Frame *frame)
	{
		struct buffer packed = {};

		proto_pack(&frame->base, &packed);
		for (size_t i = 0; i < INSTANCES; i++) {
			if (name_of(i) == peer)
				messages.push_back({from, i,
				    std::string(packed.data, packed.length)});
		}
		buffer_free(&packed);
	}

	void
	take_actions(size_t index)
	{
		Instance &instance = instances[index];
		struct replication_action action;

		while (replication_next_action(instance.replication, &action)) {
			if (action.kind == REPLICATION_STORE_CALL) {
				instance.calls.push_back(action.store);
				action.store.value = {};
			} else if (action.kind == REPLICATION_SEND_FRAME) {
				send(
				    index, action.send.peer, action.send.frame);
			} else if (action.kind == REPLICATION_ANSWER) {
				record_answer(action);
			}
			replication_action_free(&action);
		}
		check(instance);
	}

	/* Checks that an instance's version never decreases, and that a zone
	 * with a known hold is open only after an accepted head has cleared it.
	 */
	void
	check(Instance &instance) const
	{
		uint64_t version = replication_version(instance.replication);

		RC_ASSERT(version >= instance.version);
		instance.version = version;
		for (const auto &hold : instance.known_holds) {
			if (replication_zone_open(
				instance.replication, hold.first.c_str()))
				RC_ASSERT(store.cleared.count(hold) > 0);
		}
	}

	/* Executes a pending store call of an instance, by default the oldest.
	 */
	void
	serve_store(size_t index, size_t pick = 0)
	{
		Instance &instance = instances[index];
		struct store_result result = {};
		struct store_call call;

		if (instance.calls.empty())
			return;
		pick %= instance.calls.size();
		call = instance.calls[pick];
		instance.calls.erase(instance.calls.begin() + (long)pick);
		result.op = call.op;
		memcpy(result.key, call.key, sizeof(result.key));
		result.token = call.token;
		result.sent_ms = now_ms;
		result.received_ms = now_ms;
		store.execute(call, result);
		replication_handle_store_result(
		    instance.replication, &result, now_ms);
		buffer_free(&result.value);
		buffer_free(&call.value);
		take_actions(index);
	}

	static void
	record_holds(Instance &instance, const Ibis__Frame *frame)
	{
		if (frame->body_case == IBIS__FRAME__BODY_HOLD)
			instance.known_holds.insert({frame->hold->hold->zone,
			    frame->hold->hold->order});
		if (frame->body_case != IBIS__FRAME__BODY_HEARTBEAT)
			return;
		for (size_t i = 0; i < frame->heartbeat->n_holds; i++)
			instance.known_holds.insert(
			    {frame->heartbeat->holds[i]->zone,
				frame->heartbeat->holds[i]->order});
	}

	void
	deliver(size_t at)
	{
		Message message = messages[at];
		Ibis__Frame *frame =
		    (Ibis__Frame *)proto_unpack(&ibis__frame__descriptor,
			message.packed.data(), message.packed.size());
		Instance &instance = instances[message.to];

		messages.erase(messages.begin() + (long)at);
		record_holds(instance, frame);
		replication_handle_frame(instance.replication,
		    name_of(message.from).c_str(), frame, now_ms);
		proto_free(&frame->base);
		take_actions(message.to);
	}

	void
	send_heartbeats()
	{
		for (size_t i = 0; i < INSTANCES; i++) {
			Ibis__Heartbeat heartbeat = IBIS__HEARTBEAT__INIT;
			Ibis__Frame frame = IBIS__FRAME__INIT;

			replication_fill_heartbeat(
			    instances[i].replication, &heartbeat);
			frame.body_case = IBIS__FRAME__BODY_HEARTBEAT;
			frame.heartbeat = &heartbeat;
			for (size_t j = 0; j < INSTANCES; j++) {
				if (j != i)
					send(i, name_of(j), &frame);
			}
			replication_clear_heartbeat(&heartbeat);
		}
	}

	void
	advance_time(int64_t elapsed_ms)
	{
		now_ms += elapsed_ms;
		if (now_ms >= next_heartbeat_ms) {
			send_heartbeats();
			next_heartbeat_ms = now_ms + HEARTBEAT_MS;
		}
		for (size_t i = 0; i < INSTANCES; i++) {
			replication_tick(instances[i].replication, now_ms);
			take_actions(i);
		}
	}

	void
	request(size_t index, Ibis__RequestKind kind, const std::string &name,
	    const std::string &body, uint64_t if_match)
	{
		Ibis__Request message = IBIS__REQUEST__INIT;

		message.kind = kind;
		message.name = (char *)name.c_str();
		message.body = (char *)body.c_str();
		message.if_match = if_match;
		RC_ASSERT(
		    replication_handle_request(instances[index].replication,
			++last_call, &message, now_ms));
		for (size_t i = 0;
		     i < replication_holds(instances[index].replication)->count;
		     i++) {
			const struct hold &hold =
			    replication_holds(instances[index].replication)
				->items[i];

			instances[index].known_holds.insert(
			    {hold.zone, hold.order});
		}
		take_actions(index);
	}

	/* Edits a section at the revision in force on an instance, with a text
	 * that is unique among all edits. */
	void
	edit(size_t index, const std::string &section)
	{
		const struct head *head =
		    replication_head(instances[index].replication);
		uint64_t revision = head == nullptr
		    ? 0
		    : head_section_revision(head, section.c_str());
		std::string text = "{\"workspaces\": {\"w" +
		    std::to_string(last_call + 1) + "\": {}}}";

		if (section == "platform")
			text = PLATFORM + "// " + std::to_string(last_call + 1);
		edits[last_call + 1] = {section, text, false, {}};
		request(index, IBIS__REQUEST_KIND__REQUEST_PUT_SECTION, section,
		    text, revision);
	}

	/* Ends all faults, then delivers all frames and executes all store
	 * calls for a while. */
	void
	recover(int64_t recovery_ms)
	{
		int64_t end_ms = now_ms + recovery_ms;

		store.fault = Fault::NONE;
		while (now_ms < end_ms) {
			advance_time(50);
			while (!messages.empty())
				deliver(0);
			for (size_t i = 0; i < INSTANCES; i++)
				serve_store(i);
		}
	}

	/* Tells whether an accepted head has named a section with the edit's
	 * text. */
	bool
	was_accepted(const Edit &edit) const
	{
		std::set<std::string> keys;

		for (const auto &key : store.keys) {
			if (key.second.text == edit.text)
				keys.insert(key.first);
		}
		for (const auto &text : store.heads) {
			auto head = read_head(text);
			std::string key = "document/sections/" + edit.section +
			    "/" +
			    std::to_string(head_section_revision(
				head.get(), edit.section.c_str()));

			if (keys.count(key) > 0)
				return true;
		}
		return false;
	}

	/* Checks that exactly the edits answered with IBIS_OK were accepted;
	 * those answered with IBIS_UNKNOWN may have been. */
	void
	check_edits() const
	{
		for (const auto &each : edits) {
			const Edit &edit = each.second;
			bool accepted = was_accepted(edit);

			if (!edit.answered || edit.answer.code == IBIS_UNKNOWN)
				continue;
			RC_ASSERT(accepted == (edit.answer.code == IBIS_OK));
		}
	}

	/* Checks that all instances agree with the newest head, and that it
	 * contains the order of every known hold. */
	void
	check_recovered() const
	{
		auto last = read_head(store.heads.back());

		for (const auto &instance : instances) {
			RC_ASSERT(replication_version(instance.replication) ==
			    last->version);
			RC_ASSERT(
			    replication_holds(instance.replication)->count ==
			    0U);
			for (const auto &hold : instance.known_holds)
				RC_ASSERT(head_contains_order(last.get(),
				    hold.first.c_str(), hold.second.c_str()));
			for (const auto &zone : ZONES)
				RC_ASSERT(
				    replication_zone_open(
					instance.replication, zone.c_str()) ==
				    !head_zone_is_out(
					last.get(), zone.c_str()));
		}
		RC_ASSERT(replication_confirmed_ms(instances[0].replication) >
		    now_ms - 1000);
	}

	/* Checks that each accepted head has the next version. */
	void
	check_history() const
	{
		for (size_t i = 0; i < store.heads.size(); i++)
			RC_ASSERT(read_head(store.heads[i])->version == i + 1);
	}
};

const std::vector<Fault> FAULTS = {Fault::NONE, Fault::NONE, Fault::DOWN,
    Fault::LOST_AFTER, Fault::LOST_BEFORE};

/* Performs one step of a random run. orders_left limits the zone orders to what
 * the head remembers (HEAD_MAX_CLEARED_ORDERS). */
void
step(Simulation &simulation, int kind, size_t pick, int &orders_left)
{
	size_t index = pick % INSTANCES;
	const std::string &zone = ZONES[pick / INSTANCES % ZONES.size()];

	if (kind < 30) {
		if (!simulation.messages.empty())
			simulation.deliver(pick % simulation.messages.size());
	} else if (kind < 60) {
		simulation.serve_store(index, pick / INSTANCES);
	} else if (kind < 75) {
		simulation.advance_time((int64_t)(pick % 5) * 100 + 10);
	} else if (kind < 80) {
		if (!simulation.messages.empty())
			simulation.messages.erase(simulation.messages.begin() +
			    (long)(pick % simulation.messages.size()));
	} else if (kind < 87) {
		simulation.edit(
		    index, SECTIONS[pick / INSTANCES % SECTIONS.size()]);
	} else if (kind < 94) {
		if (--orders_left >= 0)
			simulation.request(index,
			    pick % 2 == 0 ? IBIS__REQUEST_KIND__REQUEST_ZONE_OUT
					  : IBIS__REQUEST_KIND__REQUEST_ZONE_IN,
			    zone, "", 0);
	} else if (kind < 98) {
		simulation.store.fault = FAULTS[pick % FAULTS.size()];
	} else {
		simulation.stop(index);
		simulation.start(index);
	}
}

bool
instances_converge()
{
	return rc::check("all instances converge, and no hold is lost", [] {
		auto steps = *rc::gen::scale(4,
		    rc::gen::container<std::vector<std::pair<int, size_t>>>(
			rc::gen::pair(rc::gen::inRange(0, 100),
			    rc::gen::inRange<size_t>(0, 600))));
		int orders_left = 12;
		Simulation simulation;

		simulation.recover(STARTUP_MS);
		for (const auto &each : steps)
			step(simulation, each.first, each.second, orders_left);
		simulation.recover(RECOVERY_MS);
		simulation.check_recovered();
		simulation.check_edits();
		simulation.check_history();
		RC_TAG(simulation.store.heads.size() > 4 ? "many versions"
							 : "few versions");
	});
}

/* A zone taken out while the store is down stays out until the store is back,
 * even when the instance that received the order restarts meanwhile. */
bool
hold_survives_outage()
{
	return rc::check("a hold survives an outage and its creator", [] {
		size_t index = *rc::gen::inRange<size_t>(0, INSTANCES);
		int rounds = *rc::gen::inRange(1, 200);
		Simulation simulation;

		simulation.recover(STARTUP_MS);
		simulation.store.fault = Fault::DOWN;
		simulation.request(index, IBIS__REQUEST_KIND__REQUEST_ZONE_OUT,
		    "north", "", 0);
		while (!simulation.messages.empty())
			simulation.deliver(0);
		simulation.stop(index);
		simulation.start(index);
		for (int i = 0; i < rounds; i++) {
			simulation.advance_time(50);
			while (!simulation.messages.empty())
				simulation.deliver(0);
			for (size_t j = 0; j < INSTANCES; j++)
				simulation.serve_store(j);
		}
		for (const auto &instance : simulation.instances)
			RC_ASSERT(!replication_zone_open(
			    instance.replication, "north"));
		RC_ASSERT(simulation.store.heads.size() == 1U);
		simulation.recover(RECOVERY_MS);
		simulation.check_recovered();
		RC_ASSERT(head_zone_is_out(
		    read_head(simulation.store.heads.back()).get(), "north"));
	});
}

} // namespace

int
main()
{
	bool passed = instances_converge();

	passed = hold_survives_outage() && passed;
	return passed ? 0 : 1;
}
