// Package httplimits has the sizes up to which the project reads HTTP from other processes. It
// holds no state.
package httplimits

// HeadBytes bounds in bytes the head of a request, and that of a response together with the interim
// responses before it.
const HeadBytes = 64 << 10
