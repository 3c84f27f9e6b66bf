// Package pathfault cuts a process under test off from all replicas. It wraps the dial function
// of replica connections and follows a file in which the test names the fault, since a proxy on
// loopback can't drop the packets of one process and not those of another.
//
// It is not part of a deployment.
package pathfault
