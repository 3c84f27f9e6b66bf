// Package promises holds one test for each line of what must always hold, run
// against a whole deployment in one process while faults are switched on. The
// ground truth is the stand-ins' own list of what they ran.
package promises
