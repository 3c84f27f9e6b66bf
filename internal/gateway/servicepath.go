package gateway

import (
	"net/url"
	"path"

	"galenatrestle/internal/config"
	"galenatrestle/internal/refusal"
)

// checkServicePath refuses paths that a service may read as another one than
// the rules are matched with.
func checkServicePath(servicePath string) error {
	clean := path.Clean(servicePath)
	if servicePath == clean || servicePath == clean+"/" {
		return nil
	}
	return refusal.BadField("path", servicePath, "has an empty segment or one of dots alone; send "+clean)
}

// withQuery is the request target. The path is encoded again, so that nothing
// in it can become a query or be decoded twice.
func withQuery(servicePath, query string) string {
	target := url.URL{Path: servicePath, RawQuery: query}
	return target.RequestURI()
}

// ruleFor returns the first rule that matches, or nil. A closing slash makes no
// difference, as many services ignore it.
func ruleFor(target *config.Upstream, method, servicePath string) *config.Rule {
	for i := range target.Unrepeatable {
		rule := &target.Unrepeatable[i]
		if rule.Method == method && matches(rule.Path, servicePath) {
			return rule
		}
	}
	return nil
}

// matches takes the path as it is and, on both sides, without a closing slash.
func matches(pattern, servicePath string) bool {
	return match(pattern, servicePath) || match(path.Clean(pattern), path.Clean(servicePath))
}

// match is false for a bad pattern, which no configuration has.
func match(pattern, servicePath string) bool {
	matched, err := path.Match(pattern, servicePath)
	return err == nil && matched
}
