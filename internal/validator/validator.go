// Package validator reads settings files, sets defaults and reports all faults of
// a file at once.
package validator

import (
	"os"

	"github.com/pkg/errors"

	"github.com/comfreybend/comfreybend/schema/settings"
)

// collector collects the faults of all sections of a file.
type collector struct {
	faults []Fault
}

// Load reads and checks the settings file at path. It returns a *FaultsError if the
// file was read but has faults.
func Load(path string) (*settings.Settings, error) {
	document, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "reading settings")
	}
	s, faults := Parse(document)
	if len(faults) > 0 {
		return nil, &FaultsError{File: path, Faults: faults}
	}
	return s, nil
}

// Parse decodes a settings document, sets defaults and checks every section.
func Parse(document []byte) (*settings.Settings, []Fault) {
	s := &settings.Settings{}
	if faults := Decode(document, s); len(faults) > 0 {
		return nil, faults
	}
	FillDefaults(s)
	c := &collector{}
	checkHost(c, s.GetHost())
	checkLogging(c, s.GetLogging())
	checkTLS(c, s.GetTls())
	if s.GetEntry() == nil && s.GetControl() == nil {
		c.add("$", "has neither an entry nor a control section", "an entry section, a control section or both")
	}
	checkEntry(c, s.GetEntry())
	checkControl(c, s)
	if len(c.faults) > 0 {
		return nil, c.faults
	}
	return s, nil
}

// FillDefaults sets absent values to their defaults.
func FillDefaults(s *settings.Settings) {
	if s.Host == nil {
		s.Host = &settings.Host{}
	}
	if s.Logging == nil {
		s.Logging = &settings.Logging{}
	}
	if s.Logging.Level == "" {
		s.Logging.Level = defaultLogLevel
	}
	if s.Entry != nil {
		setEntryDefaults(s.Entry, s.GetResources().GetMemoryBytes())
	}
	if s.Control != nil {
		setControlDefaults(s.Control, s.GetResources().GetMemoryBytes())
	}
}

func (c *collector) add(path, problem, allowed string) {
	c.faults = append(c.faults, Fault{Path: path, Problem: problem, Allowed: allowed})
}
