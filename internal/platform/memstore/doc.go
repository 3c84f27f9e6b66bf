// Package memstore is the platform's service in memory: key-value store,
// leases, watches, instance list and weight store, with the platform's rates
// and with fault switches. It is the core of the platform stand-in and of
// tests; it runs under testing/synctest.
//
// It stands for hard state outside the system and lasts as long as its value
// does. Its bounds: platform.MaxValueBytes a value, Config.LogEvents and
// Config.LogBytes for the watch log. A platform outage is one of its switches.
package memstore
