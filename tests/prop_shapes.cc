/* Compares the placement of guaranteed shapes with an exhaustive search on
 * small documents. */
#include <cstdint>
#include <vector>

#include <rapidcheck.h>

#include "version/shapes.h"

namespace
{

const uint32_t ACCELERATORS = 4; /* per worker */

/* A document with zones, racks and workers only, and its arrays. */
struct Site {
	std::vector<struct document_zone> zones;
	std::vector<struct document_rack> racks;
	std::vector<struct document_worker> workers;
	struct document document = {};

	/* sizes: for each zone, the number of workers of each rack. */
	explicit Site(const std::vector<std::vector<uint32_t>> &sizes)
	{
		for (const auto &zone : sizes) {
			for (uint32_t size : zone)
				add_rack((uint32_t)zones.size(), size);
			zones.emplace_back();
		}
		document.zones = zones.data();
		document.zones_count = zones.size();
		document.racks = racks.data();
		document.racks_count = racks.size();
		document.workers = workers.data();
		document.workers_count = workers.size();
	}
	Site(const Site &) = delete;
	Site &operator=(const Site &) = delete;

	void
	add_rack(uint32_t zone, uint32_t size)
	{
		struct document_rack rack = {};
		struct document_worker worker = {};

		rack.zone = zone;
		rack.accelerators_per_worker = ACCELERATORS;
		rack.first_worker = (uint32_t)workers.size();
		rack.workers_count = size;
		worker.rack = (uint32_t)racks.size();
		racks.push_back(rack);
		workers.insert(workers.end(), size, worker);
	}
};

/* An exhaustive search: tries every placement. */
class Search
{
      public:
	Search(const Site &site, const std::vector<struct shape> &shapes)
	    : site_(site), shapes_(shapes),
	      free_(site.workers.size(), ACCELERATORS)
	{
	}

	bool
	fits(size_t index = 0)
	{
		if (index == shapes_.size())
			return true;
		for (uint32_t zone = 0; zone < site_.zones.size(); zone++) {
			if (shapes_[index].zone != zone &&
			    shapes_[index].zone != SHAPES_ANY_ZONE)
				continue;
			if (place_racks(index, zone, 0, shapes_[index].racks))
				return true;
		}
		return false;
	}

      private:
	bool
	place_racks(
	    size_t index, uint32_t zone, size_t first, uint32_t remaining)
	{
		if (remaining == 0)
			return fits(index + 1);
		for (size_t i = first; i < site_.racks.size(); i++) {
			if (site_.racks[i].zone == zone &&
			    place_workers(index, i, 0,
				shapes_[index].workers_per_rack, remaining))
				return true;
		}
		return false;
	}

	bool
	place_workers(size_t index, size_t rack, uint32_t first,
	    uint32_t remaining, uint32_t racks_remaining)
	{
		const struct document_rack &in = site_.racks[rack];
		uint32_t needed = shapes_[index].accelerators_per_worker;

		if (remaining == 0)
			return place_racks(
			    index, in.zone, rack + 1, racks_remaining - 1);
		for (uint32_t i = first; i < in.workers_count; i++) {
			uint32_t &available = free_[in.first_worker + i];

			if (available < needed)
				continue;
			available -= needed;
			if (place_workers(index, rack, i + 1, remaining - 1,
				racks_remaining))
				return true;
			available += needed;
		}
		return false;
	}

	const Site &site_;
	const std::vector<struct shape> &shapes_;
	std::vector<uint32_t> free_;
};

/* Arbitrary sizes of the racks of two zones. */
std::vector<std::vector<uint32_t>>
arbitrary_sizes()
{
	std::vector<std::vector<uint32_t>> sizes(2);

	for (auto &zone : sizes) {
		size_t racks = *rc::gen::inRange<size_t>(1, 4);

		zone = *rc::gen::container<std::vector<uint32_t>>(
		    racks, rc::gen::inRange<uint32_t>(2, 6));
	}
	return sizes;
}

/* Arbitrary shapes that need lowest_accelerators or more on each worker. */
std::vector<struct shape>
arbitrary_shapes(uint32_t lowest_accelerators)
{
	size_t count = *rc::gen::inRange<size_t>(1, 6);
	auto picks =
	    *rc::gen::container<std::vector<std::vector<uint32_t>>>(count,
		rc::gen::container<std::vector<uint32_t>>(
		    4, rc::gen::inRange<uint32_t>(0, 12)));
	std::vector<struct shape> shapes;

	for (const auto &pick : picks) {
		struct shape shape = {};

		shape.zone =
		    pick[0] % 3 == 2 ? (uint32_t)SHAPES_ANY_ZONE : pick[0] % 3;
		shape.racks = pick[1] % 4 == 0 ? 2 : 1;
		shape.workers_per_rack = pick[2] / 4 + 1;
		shape.accelerators_per_worker = lowest_accelerators +
		    pick[3] % (ACCELERATORS - lowest_accelerators + 1);
		shapes.push_back(shape);
	}
	return shapes;
}

bool
fits(const Site &site, std::vector<struct shape> shapes)
{
	size_t failed = 0;

	return shapes_fit(&site.document, shapes.data(), shapes.size(),
	    SHAPES_ANY_ZONE, &failed);
}

bool
whole_workers_match_exhaustive_search()
{
	return rc::check(
	    "whole workers: found exactly when a placement exists", [] {
		    Site site(arbitrary_sizes());
		    auto shapes = arbitrary_shapes(ACCELERATORS);
		    bool expected = Search(site, shapes).fits();

		    RC_CLASSIFY(expected, "fits");
		    RC_CLASSIFY(expected && shapes.size() > 2,
			"fits, more than two shapes");
		    RC_ASSERT(fits(site, shapes) == expected);
	    });
}

bool
found_placements_exist()
{
	return rc::check(
	    "parts of workers: a placement that is found exists", [] {
		    Site site(arbitrary_sizes());
		    auto shapes = arbitrary_shapes(1);
		    bool found = fits(site, shapes);
		    bool expected = Search(site, shapes).fits();

		    RC_CLASSIFY(found, "fits");
		    RC_CLASSIFY(found && shapes.size() > 2,
			"fits, more than two shapes");
		    RC_CLASSIFY(expected && !found, "not found");
		    RC_ASSERT(expected || !found);
	    });
}

} // namespace

int
main()
{
	bool good = whole_workers_match_exhaustive_search();

	good = found_placements_exist() && good;
	return good ? 0 : 1;
}
