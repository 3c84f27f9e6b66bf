// Package intent turns an operator's intent into a plan of numbered steps,
// keeps plans and their progress, and executes them once confirmed.
//
// Plans are hard state: one key per plan and one head key in the platform's
// service, changed only by compare-and-swap. The head names the plans that run;
// confirming is one write of the head, so that of two racing operators one
// wins. A plan's key carries the executor's epoch, and each record of progress
// is conditional on that key's revision: a paused executor's write is refused
// by the write itself. Bound: MaxActive running plans, one value of at most
// platform.MaxValueBytes a plan.
//
// During a platform outage nothing is proposed, confirmed or abandoned, and
// running plans stand still after the step they are in.
package intent
