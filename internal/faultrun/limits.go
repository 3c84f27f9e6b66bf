package faultrun

import "time"

// Times of a run.
const (
	// keepAddresses is how long callers keep entries, and keepTime how long a
	// stopping node stays at its address, longer by the time that the news of
	// its leaving takes.
	keepAddresses = 500 * time.Millisecond
	keepTime      = 2 * time.Second
	askTimeout    = time.Second
	acceptTimeout = 5 * time.Second
	stopTimeout   = 30 * time.Second
	// hangMargin is what a caller waits past its class's give-up time.
	hangMargin = 10 * time.Second
	// inForceTimeout bounds the wait for the accepted revision once all
	// faults are over.
	inForceTimeout = 15 * time.Second
	// settleTimeout bounds the wait until the stand-ins have nothing open.
	settleTimeout = 5 * time.Second
	// samplePause is the time between two looks at the nodes.
	samplePause = 20 * time.Millisecond
	// onTheWay is how long a request that was sent before a node knew that a
	// replica is leaving may take to begin there.
	onTheWay = time.Second
	// ownWordLasts is how long an engine's own word that it is leaving may
	// stand for the platform's list, which nodes read every two seconds.
	ownWordLasts = 3 * time.Second
	// minOffered is the number of requests past which a class with no answer
	// counts as not served.
	minOffered = 20
	// callerGroups keep addresses apart.
	callerGroups = 6
	// engineSpeed divides the engines' times.
	engineSpeed = 10
	engineSlots = 4
	serviceTime = 5 * time.Millisecond
)
