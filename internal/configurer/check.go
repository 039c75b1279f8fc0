package configurer

import (
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreybend/comfreybend/schema/state"
)

const (
	// KindModel is the kind of model engines and of the routes to them.
	KindModel = "model"
	// KindService is the kind of plain services and of the routes to them.
	KindService = "service"

	maxTier          = 100
	maxLatencyTarget = 24 * time.Hour
)

type (
	// ValidationError reports one invalid value of an operation or configuration.
	ValidationError struct {
		// Path is the JSON path of the invalid value.
		Path    string
		Problem string
	}

	// InvalidConfigurationError lists all invalid values of a configuration.
	InvalidConfigurationError struct {
		Errors []ValidationError
	}
)

// Error implements error.
func (e *ValidationError) Error() string {
	return e.Path + ": " + e.Problem
}

// Error implements error.
func (e *InvalidConfigurationError) Error() string {
	lines := make([]string, 0, len(e.Errors))
	for _, f := range e.Errors {
		lines = append(lines, f.Error())
	}
	return strings.Join(lines, "; ")
}

// Check validates a configuration. The error is an *InvalidConfigurationError
// that lists all invalid values. Replicas check committed commands with it, so what it accepts must
// not change: processes of two releases would decide differently about the same command.
func Check(c *state.Configuration) error {
	e := &InvalidConfigurationError{}
	classes := e.checkClasses(c)
	e.checkRoutes(c, classes)
	e.checkPools(c)
	e.checkOrganisations(c)
	if len(e.Errors) > 0 {
		return e
	}
	return nil
}

// CheckDocument validates the configuration of a document before it is proposed. Unlike Check it allows
// no service where no pools are declared, since a document declares all of them, and no unknown service that is not used
// because the route is split. The error is an *InvalidConfigurationError that lists all invalid values.
func CheckDocument(c *state.Configuration) error {
	e := &InvalidConfigurationError{}
	errors.As(Check(c), &e)
	if len(c.GetPools()) == 0 {
		e.checkServicesOfRoutes(c, nil)
	}
	e.checkUnusedServices(c)
	if len(e.Errors) > 0 {
		return e
	}
	return nil
}

// checkUnusedServices checks that the service of a route that is split is declared as well, if it names one.
func (e *InvalidConfigurationError) checkUnusedServices(c *state.Configuration) {
	declared := map[string]bool{}
	for _, p := range c.GetPools() {
		declared[p.GetName()] = true
	}
	for i, r := range c.GetRoutes() {
		if name := r.GetService(); len(r.GetSplits()) > 0 && name != "" && !declared[name] {
			e.addError(fmt.Sprintf("$.routes[%d].service", i), "no pool %q", name)
		}
	}
}

func (e *InvalidConfigurationError) addError(path, format string, args ...any) {
	e.Errors = append(e.Errors, ValidationError{Path: path, Problem: fmt.Sprintf(format, args...)})
}

// checkClasses checks the classes and returns the set of their names.
func (e *InvalidConfigurationError) checkClasses(c *state.Configuration) map[string]bool {
	seen := map[string]bool{}
	for i, class := range c.GetClasses() {
		path := fmt.Sprintf("$.classes[%d]", i)
		e.checkName(path+".name", class.GetName(), seen)
		if class.GetTier() < 1 || class.GetTier() > maxTier {
			e.addError(path+".tier", "%d is out of range; allowed: 1 to %d", class.GetTier(), maxTier)
		}
		t := class.GetTarget()
		for name, d := range map[string]time.Duration{
			"firstToken":    t.GetFirstToken().AsDuration(),
			"betweenTokens": t.GetBetweenTokens().AsDuration(),
			"wholeAnswer":   t.GetWholeAnswer().AsDuration(),
		} {
			if d < 0 || d > maxLatencyTarget {
				e.addError(path+".target."+name, "%v is out of range; allowed: 0s to %v", d, maxLatencyTarget)
			}
		}
	}
	return seen
}

func (e *InvalidConfigurationError) checkRoutes(c *state.Configuration, classes map[string]bool) {
	seen := map[string]bool{}
	seenPatterns := map[string]bool{}
	for i, r := range c.GetRoutes() {
		path := fmt.Sprintf("$.routes[%d]", i)
		e.checkName(path+".name", r.GetName(), seen)
		if r.GetPathPrefix() == "" {
			e.addError(path+".pathPrefix", "missing")
		}
		if pattern := r.GetHost() + r.GetPathPrefix(); seenPatterns[pattern] {
			e.addError(path+".pathPrefix", "%q stands twice", pattern)
		} else {
			seenPatterns[pattern] = true
		}
		if !strings.HasPrefix(r.GetPathPrefix(), "/") {
			e.addError(path+".pathPrefix", "%q does not begin with /", r.GetPathPrefix())
		}
		switch r.GetKind() {
		case KindModel:
		case KindService:
			e.checkServices(path, r)
		default:
			e.addError(path+".kind", "found %q; allowed: model, service", r.GetKind())
		}
		if len(r.GetClasses()) == 0 {
			e.addError(path+".classes", "empty; a route needs at least one class")
		}
		for j, name := range r.GetClasses() {
			if !classes[name] {
				e.addError(fmt.Sprintf("%s.classes[%d]", path, j), "no class %q", name)
			}
		}
	}
}

// checkServices checks that a service route names one service or splits its
// requests between several.
func (e *InvalidConfigurationError) checkServices(path string, r *state.Route) {
	if len(r.GetSplits()) == 0 {
		if r.GetService() == "" {
			e.addError(path+".service", "missing; a service route names the service")
		}
		return
	}
	total := 0
	for i, s := range r.GetSplits() {
		splitPath := fmt.Sprintf("%s.splits[%d]", path, i)
		if s.GetService() == "" {
			e.addError(splitPath+".service", "missing")
		}
		if s.GetWeight() < 0 {
			e.addError(splitPath+".weight", "%d is negative", s.GetWeight())
		}
		total += int(s.GetWeight())
	}
	if total == 0 {
		e.addError(path+".splits", "the weights add up to 0")
	}
}

// checkPools checks the names of the pools and that each service of a route is a
// declared pool. Without declared pools any service is allowed.
func (e *InvalidConfigurationError) checkPools(c *state.Configuration) {
	if len(c.GetPools()) == 0 {
		return
	}
	seen := map[string]bool{}
	for i, p := range c.GetPools() {
		e.checkName(fmt.Sprintf("$.pools[%d].name", i), p.GetName(), seen)
	}
	e.checkServicesOfRoutes(c, seen)
}

// checkServicesOfRoutes checks that each service of a route is one of the pools.
func (e *InvalidConfigurationError) checkServicesOfRoutes(c *state.Configuration, pools map[string]bool) {
	for i, r := range c.GetRoutes() {
		for _, name := range Services(r) {
			if name != "" && !pools[name] {
				e.addError(fmt.Sprintf("$.routes[%d].service", i), "no pool %q", name)
			}
		}
	}
}

// Services returns the names of the services that a route's requests may go to.
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

// checkName checks that a name is not empty and not in seen, and adds it to seen.
func (e *InvalidConfigurationError) checkName(path, name string, seen map[string]bool) {
	if name == "" {
		e.addError(path, "missing")
		return
	}
	if seen[name] {
		e.addError(path, "%q stands twice", name)
	}
	seen[name] = true
}
