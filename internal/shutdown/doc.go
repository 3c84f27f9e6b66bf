// Package shutdown decides which calls a stopping node still takes: those whose answers will have
// come when its process ends.
//
// State is in memory: the longest answers of each upstream lately. It needs no platform.
package shutdown
