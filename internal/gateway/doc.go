// Package gateway is the callers' side of a node: the OpenAI shapes, the plain
// services, the entry addresses, and the checks and refusals around them.
//
// It holds soft state only: the requests in flight, bounded by the classes'
// queue bounds. In a platform outage it serves on with the last configuration;
// unrepeatable calls without a durable claim are refused as not run.
package gateway
