package config

import (
	"fmt"
	"path"

	"galenatrestle/internal/yamldoc"
)

// MaxShareSum is the most that the classes' min_share may add up to: the rest
// of the slots goes by tier alone.
const MaxShareSum = 0.5

// shareTolerance forgives the rounding of a sum of decimal fractions.
const shareTolerance = 1e-9

// checkReferences notes the problems that span fields.
func checkReferences(source *yamldoc.Source, document *Document) {
	checkWorkspaces(source, document)
	checkKeys(source, document.Workspaces)
	checkShares(source, document.Classes)
	checkModels(source, document.Upstreams)
	for i := range document.Upstreams {
		checkRules(source, i, &document.Upstreams[i])
	}
}

func checkWorkspaces(source *yamldoc.Source, document *Document) {
	classes := make(map[string]bool, len(document.Classes))
	for i := range document.Classes {
		classes[document.Classes[i].Name] = true
	}
	upstreams := make(map[string]bool, len(document.Upstreams))
	for i := range document.Upstreams {
		upstreams[document.Upstreams[i].Name] = true
	}
	for i := range document.Workspaces {
		workspace := &document.Workspaces[i]
		at := fmt.Sprintf("workspaces[%d]", i)
		checkNames(source, at+".classes", workspace.Classes, classes, "class")
		checkNames(source, at+".upstreams", workspace.Upstreams, upstreams, "upstream")
	}
}

func checkNames(source *yamldoc.Source, at string, names []string, known map[string]bool, what string) {
	seen := make(map[string]bool, len(names))
	for i, name := range names {
		field := fmt.Sprintf("%s[%d]", at, i)
		if !known[name] {
			source.Add(field, name, "there is no "+what+" of this name")
		}
		if seen[name] {
			source.Add(field, name, "is listed twice")
		}
		seen[name] = true
	}
}

func checkKeys(source *yamldoc.Source, workspaces []Workspace) {
	owners := make(map[keySum]string)
	for i := range workspaces {
		for j, text := range workspaces[i].KeySHA256 {
			sum, err := parseKeySum(text)
			if err != nil {
				// The tags' check names it.
				continue
			}
			owner, taken := owners[sum]
			if taken {
				field := fmt.Sprintf("workspaces[%d].key_sha256[%d]", i, j)
				source.Add(field, text, fmt.Sprintf("workspace %s has this key already", owner))
			}
			owners[sum] = workspaces[i].Name
		}
	}
}

func checkShares(source *yamldoc.Source, classes []Class) {
	sum := 0.0
	for i := range classes {
		sum += classes[i].MinShare
		if sum > MaxShareSum+shareTolerance {
			field := fmt.Sprintf("classes[%d].min_share", i)
			message := fmt.Sprintf("the shares up to this class add up to %.3g, more than %.3g", sum, MaxShareSum)
			source.Add(field, "", message)
			return
		}
	}
}

// checkModels notes model and adapter names that two engine upstreams serve.
func checkModels(source *yamldoc.Source, upstreams []Upstream) {
	owners := make(map[string]string)
	claim := func(field, model, upstream string) {
		if owner, taken := owners[model]; taken {
			source.Add(field, model, fmt.Sprintf("upstream %s serves this model already", owner))
			return
		}
		owners[model] = upstream
	}
	for i := range upstreams {
		upstream := &upstreams[i]
		at := fmt.Sprintf("upstreams[%d]", i)
		if upstream.Kind != KindEngine {
			checkNoModels(source, at, upstream)
			continue
		}
		claim(at+".model", upstream.model(), upstream.Name)
		for j, adapter := range upstream.Adapters {
			claim(fmt.Sprintf("%s.adapters[%d]", at, j), adapter, upstream.Name)
		}
	}
}

func checkNoModels(source *yamldoc.Source, at string, upstream *Upstream) {
	if upstream.Model != "" {
		source.Add(at+".model", upstream.Model, "only upstreams of kind engine have a model")
	}
	if len(upstream.Adapters) > 0 {
		source.Add(at+".adapters", upstream.Adapters[0], "only upstreams of kind engine have adapters")
	}
}

func (u *Upstream) model() string {
	if u.Model != "" {
		return u.Model
	}
	return u.Name
}

func checkRules(source *yamldoc.Source, index int, upstream *Upstream) {
	at := fmt.Sprintf("upstreams[%d].unrepeatable", index)
	if len(upstream.Unrepeatable) > 0 && upstream.Kind != KindService {
		source.Add(at, string(upstream.Kind), "only upstreams of kind service have unrepeatable rules")
	}
	for i, rule := range upstream.Unrepeatable {
		if _, err := path.Match(rule.Path, ""); err != nil {
			source.Add(fmt.Sprintf("%s[%d].path", at, i), rule.Path, "is not a path pattern: "+err.Error())
		}
	}
}
