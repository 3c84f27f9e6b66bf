// Package leaving combines signals from several sources that a replica of an upstream
// or a VM is leaving, and distributes them as membership notes, so that all nodes stop
// sending it new work within seconds of the first signal.
//
// The state is soft, and each Set has at most MaxSignals signals. A false signal only costs
// efficiency: the replica stays idle until its own report corrects the signal or SignalTTL
// expires. The package does not need the platform: in a platform outage, the replicas' own
// reports and the notes of other nodes are still available.
package leaving
