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
		e.checkName(path+".pathPrefix", r.GetPathPrefix(), prefixes)
		if !strings.HasPrefix(r.GetPathPrefix(), "/") {
			e.add(path+".pathPrefix", "%q does not begin with /", r.GetPathPrefix())
		}
		switch r.GetKind() {
		case KindModel:
		case KindService:
			if r.GetService() == "" {
				e.add(path+".service", "missing; a service route names the service")
			}
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
