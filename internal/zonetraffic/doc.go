// Package zonetraffic decides which requests leave their availability zone: what leaving costs one
// request, and which part of a flow of like requests may leave for each other zone. The decisions
// are pure; package placement applies them.
package zonetraffic
