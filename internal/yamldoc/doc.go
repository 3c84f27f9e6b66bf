// Package yamldoc reads operators' YAML strictly: an unknown field, a wrong
// type or a broken rule is a Problem that names the line, the field and the
// value. Packages config and settings read their documents through it.
//
// It holds no state. Its input is bounded by MaxBytes and MaxDepth, and the
// problems it lists by MaxProblems.
package yamldoc
