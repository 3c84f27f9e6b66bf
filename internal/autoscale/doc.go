// Package autoscale decides how many replicas of each kind every upstream needs in each
// availability zone, and orders them from the node that holds the duty lease.
//
// The wanted state is recomputed periodically from registrations and load, so a lost or
// delayed order is detected by its missing effect and repeated. Decisions are made without
// I/O; Scaler makes the calls. The wanted capacity is kept in the platform's store, from
// which the next holder resumes. Nothing is ordered until the stored capacity has been
// read, and no replica is removed on the basis of a stale observation.
package autoscale
