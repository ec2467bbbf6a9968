// Whatever is cut, late, lost or taken over: no task runs twice, none starts
// early or over capacity, and once all is well again every job ends.
#include <rapidcheck.h>

#include "common_world.h"

namespace
{

enum class Kind {
	submit,
	run,
	cut,
	heal,
	late,
	lose,
	reborn,
	takeOver,
	cancel,
	down,
	up
};

struct Move {
	Kind kind;
	uint32_t a;
	uint32_t b;
};

std::ostream &
operator<<(std::ostream &out, const Move &move)
{
	return out << "{" << static_cast<int>(move.kind) << "," << move.a << ","
		   << move.b << "}";
}

rc::Gen<Move>
genMove()
{
	return rc::gen::build<Move>(
	    rc::gen::set(&Move::kind,
		rc::gen::weightedElement<Kind>(
		    {{6, Kind::submit}, {10, Kind::run}, {2, Kind::cut},
			{3, Kind::heal}, {1, Kind::late}, {1, Kind::lose},
			{1, Kind::reborn}, {1, Kind::takeOver},
			{1, Kind::cancel}, {1, Kind::down}, {2, Kind::up}})),
	    rc::gen::set(&Move::a, rc::gen::inRange<uint32_t>(0, 64)),
	    rc::gen::set(&Move::b, rc::gen::inRange<uint32_t>(0, 64)));
}

void
submit(world &w, const Move &move)
{
	if (w.jobs_count == WORLD_JOBS)
		return;
	Ibis__StepJob *job = world_new_job(
	    move.a % 3, 1 + move.b % 2, 1 + move.a % 4, 1 + move.b % 4);
	for (size_t i = 0; i < job->n_steps; i++) {
		job->steps[i]->gang = move.a % 2 == 0;
		job->steps[i]->same_rack = move.b % 3 == 0;
	}
	world_submit(&w, job, 200 + move.b * 50);
}

void
healAll(world &w)
{
	w.store_down = false;
	for (size_t i = 0; i < w.workers_count; i++) {
		w.workers[i].cut = false;
		w.workers[i].late = false;
		w.workers[i].loses_answers = false;
	}
}

void
apply(world &w, const Move &move)
{
	world_worker &worker = w.workers[move.a % w.workers_count];

	switch (move.kind) {
	case Kind::submit:
		submit(w, move);
		break;
	case Kind::run:
		world_run(&w, 50 + move.a * 40);
		break;
	case Kind::cut:
		worker.cut = true;
		break;
	case Kind::heal:
		worker.cut = false;
		worker.late = false;
		worker.loses_answers = false;
		break;
	case Kind::late:
		worker.late = true;
		break;
	case Kind::lose:
		worker.loses_answers = true;
		break;
	case Kind::reborn:
		world_reborn(&w, move.a % w.workers_count);
		break;
	case Kind::takeOver:
		world_take_over(&w);
		break;
	case Kind::cancel:
		if (w.jobs_count > 0)
			world_cancel(&w, move.a % w.jobs_count);
		break;
	case Kind::down:
		w.store_down = true;
		break;
	case Kind::up:
		w.store_down = false;
		break;
	}
}

bool
ended(const world &w, size_t job)
{
	Ibis__StepJobPhase phase = world_phase(&w, job);

	return phase == IBIS__STEP_JOB_PHASE__PHASE_COMPLETED ||
	    phase == IBIS__STEP_JOB_PHASE__PHASE_FAILED ||
	    phase == IBIS__STEP_JOB_PHASE__PHASE_CANCELLED;
}

} // namespace

int
main()
{
	bool good =
	    rc::check("rules hold whatever happens, and all jobs end", [] {
		    auto w = std::make_unique<world>();
		    const auto moves =
			*rc::gen::container<std::vector<Move>>(genMove());

		    world_open(w.get(), 4, 2);
		    for (const Move &move : moves)
			    apply(*w, move);
		    healAll(*w);
		    world_run(w.get(), 120000);
		    std::string broken = w->broken;
		    bool all = true;
		    for (size_t i = 0; i < w->jobs_count; i++)
			    all = all && ended(*w, i);
		    world_close(w.get());
		    if (!broken.empty())
			    RC_FAIL(broken);
		    RC_ASSERT(all);
	    });

	return good ? 0 : 1;
}
