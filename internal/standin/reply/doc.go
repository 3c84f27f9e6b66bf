// Package reply writes the JSON answers of all stand-ins. It holds no state.
package reply
