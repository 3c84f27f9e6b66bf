// Package httphead checks heads of responses, of which the parser of net/http accepts some that are not HTTP.
// A head that breaks the protocol makes all that follows it doubtful: a field whose name is spoiled may have been
// the one that says where the body ends.
//
// It holds no state.
package httphead
