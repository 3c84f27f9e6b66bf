// Package autoscale decides how many replicas of each upstream there should be, in which
// availability zones and of which kind, and orders them as the duty of one node.
//
// What is wanted is worked out anew again and again from what is registered and in use:
// an order that was lost, or carried out late, shows by its effect and is put right. The
// decisions are pure; Scaler makes the calls. The capacity that is wanted lives in the
// platform's store, so that the next holder goes on from there. In an outage of the store
// nothing is ordered, and old news take no replica away.
package autoscale
