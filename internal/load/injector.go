package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"path"
	"time"

	"galenatrestle/internal/standin"
)

// Injector throws the fault switches of stand-ins.
type Injector struct {
	client *http.Client
	// bases holds the base URL of each stand-in by name.
	bases map[string]string
}

// NewInjector asks the base URLs which stand-ins they serve.
func NewInjector(ctx context.Context, client *http.Client, bases []string) (*Injector, error) {
	injector := &Injector{client: client, bases: make(map[string]string)}
	for _, base := range bases {
		var names standin.Names
		if err := fetchJSON(ctx, client, base+"/standin", &names); err != nil {
			return nil, err
		}
		for _, name := range names.Standins {
			injector.bases[name] = base
		}
	}
	return injector, nil
}

// Run throws the switches at their times; it returns the first error.
func (i *Injector) Run(ctx context.Context, faults []Fault) error {
	start := time.Now()
	for _, f := range faults {
		if !sleepUntil(ctx, start.Add(f.At.Std())) {
			return nil
		}
		for _, pattern := range f.Standins {
			if err := i.throwAll(ctx, pattern, f); err != nil {
				return err
			}
		}
	}
	return nil
}

// throwAll throws the switch of each stand-in whose name matches.
func (i *Injector) throwAll(ctx context.Context, pattern string, f Fault) error {
	found := false
	for name, base := range i.bases {
		matches, err := path.Match(pattern, name)
		if err != nil {
			return fmt.Errorf("fault %s: stand-ins %q: %w", f.Kind, pattern, err)
		}
		if !matches {
			continue
		}
		found = true
		if err := i.throw(ctx, name, base, f); err != nil {
			return err
		}
	}
	if !found {
		return fmt.Errorf("fault %s: no stand-in is named %q", f.Kind, pattern)
	}
	return nil
}

func (i *Injector) throw(ctx context.Context, name, base string, f Fault) error {
	body, err := json.Marshal(f.spec())
	if err != nil {
		return err
	}
	url := base + "/standin/" + name + "/fault"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := i.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("POST %s: %s", url, response.Status)
	}
	return nil
}
