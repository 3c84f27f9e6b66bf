// Command trestle-load offers load to entry addresses and reports what became
// of it, or replays a trace against its stated outcomes.
package main

import "galenatrestle/internal/command/trestleload"

func main() { trestleload.Main() }
