package configurer

import (
	"fmt"
	"strings"
	"time"

	"github.com/comfreybend/comfreybend/schema/state"
)

const (
	// KindModel marks routes and upstreams of model engines.
	KindModel = "model"
	// KindService marks routes and upstreams of plain services.
	KindService = "service"

	maximumTier   = 100
	maximumTarget = 24 * time.Hour
)

type (
	// InvalidError says why an operation cannot be applied.
	InvalidError struct {
		// Path is the JSON path of the fault.
		Path    string
		Problem string
	}

	// InvalidConfigurationError holds every fault of a configuration.
	InvalidConfigurationError struct {
		Faults []InvalidError
	}
)

// Error implements error.
func (e *InvalidError) Error() string {
	return e.Path + ": " + e.Problem
}

// Error implements error.
func (e *InvalidConfigurationError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, f.Error())
	}
	return strings.Join(lines, "; ")
}

// Check returns an *InvalidConfigurationError with every fault, or nil.
func Check(c *state.Configuration) error {
	e := &InvalidConfigurationError{}
	classes := e.checkClasses(c)
	e.checkRoutes(c, classes)
	e.checkPools(c)
	e.checkOrganisations(c)
	if len(e.Faults) > 0 {
		return e
	}
	return nil
}

func (e *InvalidConfigurationError) add(path, format string, args ...any) {
	e.Faults = append(e.Faults, InvalidError{Path: path, Problem: fmt.Sprintf(format, args...)})
}

func (e *InvalidConfigurationError) checkClasses(c *state.Configuration) map[string]bool {
	seen := map[string]bool{}
	for i, class := range c.GetClasses() {
		path := fmt.Sprintf("$.classes[%d]", i)
		e.checkName(path+".name", class.GetName(), seen)
		if class.GetTier() < 1 || class.GetTier() > maximumTier {
			e.add(path+".tier", "%d is out of range; allowed: 1 to %d", class.GetTier(), maximumTier)
		}
		t := class.GetTarget()
		for name, d := range map[string]time.Duration{
			"firstToken":    t.GetFirstToken().AsDuration(),
			"betweenTokens": t.GetBetweenTokens().AsDuration(),
			"wholeAnswer":   t.GetWholeAnswer().AsDuration(),
		} {
			if d < 0 || d > maximumTarget {
				e.add(path+".target."+name, "%v is out of range; allowed: 0s to %v", d, maximumTarget)
			}
		}
	}
	return seen
}

func (e *InvalidConfigurationError) checkRoutes(c *state.Configuration, classes map[string]bool) {
	seen := map[string]bool{}
	prefixes := map[string]bool{}
	for i, r := range c.GetRoutes() {
		path := fmt.Sprintf("$.routes[%d]", i)
		e.checkName(path+".name", r.GetName(), seen)
		if r.GetPathPrefix() == "" {
			e.add(path+".pathPrefix", "missing")
		}
		if place := r.GetHost() + r.GetPathPrefix(); prefixes[place] {
			e.add(path+".pathPrefix", "%q stands twice", place)
		} else {
			prefixes[place] = true
		}
		if !strings.HasPrefix(r.GetPathPrefix(), "/") {
			e.add(path+".pathPrefix", "%q does not begin with /", r.GetPathPrefix())
		}
		switch r.GetKind() {
		case KindModel:
		case KindService:
			e.checkServices(path, r)
		default:
			e.add(path+".kind", "found %q; allowed: model, service", r.GetKind())
		}
		if len(r.GetClasses()) == 0 {
			e.add(path+".classes", "empty; a route needs at least one class")
		}
		for j, name := range r.GetClasses() {
			if !classes[name] {
				e.add(fmt.Sprintf("%s.classes[%d]", path, j), "no class %q", name)
			}
		}
	}
}

// checkServices checks that a route has one service, or shares of several.
func (e *InvalidConfigurationError) checkServices(path string, r *state.Route) {
	if len(r.GetSplits()) == 0 {
		if r.GetService() == "" {
			e.add(path+".service", "missing; a service route names the service")
		}
		return
	}
	total := 0
	for i, s := range r.GetSplits() {
		at := fmt.Sprintf("%s.splits[%d]", path, i)
		if s.GetService() == "" {
			e.add(at+".service", "missing")
		}
		if s.GetWeight() < 0 {
			e.add(at+".weight", "%d is negative", s.GetWeight())
		}
		total += int(s.GetWeight())
	}
	if total == 0 {
		e.add(path+".splits", "the weights add up to 0")
	}
}

// checkPools checks that routes name declared pools, if any are declared.
func (e *InvalidConfigurationError) checkPools(c *state.Configuration) {
	if len(c.GetPools()) == 0 {
		return
	}
	seen := map[string]bool{}
	for i, p := range c.GetPools() {
		e.checkName(fmt.Sprintf("$.pools[%d].name", i), p.GetName(), seen)
	}
	for i, r := range c.GetRoutes() {
		for _, name := range Services(r) {
			if name != "" && !seen[name] {
				e.add(fmt.Sprintf("$.routes[%d].service", i), "no pool %q", name)
			}
		}
	}
}

// Services returns the names that a service route may go to.
func Services(r *state.Route) []string {
	if len(r.GetSplits()) == 0 {
		return []string{r.GetService()}
	}
	var names []string
	for _, s := range r.GetSplits() {
		names = append(names, s.GetService())
	}
	return names
}

func (e *InvalidConfigurationError) checkOrganisations(c *state.Configuration) {
	seen := map[string]bool{}
	for i, o := range c.GetOrganisations() {
		e.checkName(fmt.Sprintf("$.organisations[%d].id", i), o.GetId(), seen)
	}
}

func (e *InvalidConfigurationError) checkName(path, name string, seen map[string]bool) {
	if name == "" {
		e.add(path, "missing")
		return
	}
	if seen[name] {
		e.add(path, "%q stands twice", name)
	}
	seen[name] = true
}
