// Command trestle-standin runs one outside system as a process of its own: the
// platform, a model engine or a plain service, with fault switches.
package main

import "galenatrestle/internal/command/standin"

func main() { standin.Main() }
