// Package upstream holds the HTTP/1.1 clients for the systems that run the
// work: Engine for model engines and Service for plain services.
//
// The clients never repeat a call by themselves. Every failure is an *Error
// whose Kind tells what is known; NotRun is said only where it is proved.
//
// It holds soft state only: pooled connections, bounded per address. It makes
// no call to the platform and is unaffected by its outages.
package upstream
