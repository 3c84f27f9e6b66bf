// Package route holds the operator's routing configuration as one immutable
// table: which host and path prefix leads to which upstreams, under which
// rules, and which key belongs to which workspace.
//
// It is pure and holds no state: a table is built once from a decoded document
// and only read afterwards. Its size is bounded by the document's. A platform
// outage does not touch it.
package route
