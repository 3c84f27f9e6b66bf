// Command trestlectl is the operators' tool: it checks and applies
// configurations, proposes and confirms plans, and shows what the system does.
package main

import "galenatrestle/internal/command/trestlectl"

func main() { trestlectl.Main() }
