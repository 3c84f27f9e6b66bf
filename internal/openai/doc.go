// Package openai holds the wire shapes shared by the callers' side, the engine
// client and the engine stand-in. Only the fields the system acts on are
// named; all others pass through unread. It holds no state.
package openai
