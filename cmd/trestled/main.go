// Command trestled is one entry VM's process: callers' traffic, the operators'
// service, the link to the other nodes and the control duties.
package main

import "galenatrestle/internal/command/trestled"

func main() { trestled.Main() }
