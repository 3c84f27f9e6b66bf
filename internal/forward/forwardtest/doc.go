// Package forwardtest provides test doubles for package forward: a codec with
// short header names, and replicas whose responses a test writes byte by byte.
package forwardtest
