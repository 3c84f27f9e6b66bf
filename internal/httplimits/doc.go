// Package httplimits has the sizes up to which the project reads HTTP from other processes. It
// holds no state.
package httplimits

// ResponseHeadBytes bounds in bytes the head of a response, together with the interim responses
// before it. It is the limit that the listeners have for heads of requests.
const ResponseHeadBytes = 64 << 10
