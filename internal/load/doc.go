// Package load offers open-loop load from a workload file, or replays a trace,
// to entry addresses, checks every answer against the one the engine stand-in
// must give, and reports attainment by class, goodput, wasted work and broken
// promises.
//
// Planning (Plan) is pure and seeded. A Runner holds one result for each
// request of its run, bounded by the workload's max_requests; it never talks to
// the platform.
package load
