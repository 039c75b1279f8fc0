package main

import (
	"os"
	"runtime/debug"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/comfreybend/comfreybend/internal/controller"
	"github.com/comfreybend/comfreybend/internal/translator"
	"github.com/comfreybend/comfreybend/internal/validator"
	"github.com/comfreybend/comfreybend/platform"
	"github.com/comfreybend/comfreybend/schema/settings"
)

// daemonFlags holds the flags that the entry and control commands share.
type daemonFlags struct {
	file     string
	platform bool
}

func (f *daemonFlags) addTo(c *kingpin.CmdClause) {
	c.Flag("settings", "Settings file.").StringVar(&f.file)
	c.Flag("platform", "Run on the users' platform: the settings file is the one that "+
		platform.SettingsVariable+" names, in the platform's form.").BoolVar(&f.platform)
}

// load reads the settings and applies their memory limit to the Go runtime.
func (f *daemonFlags) load() (*settings.Settings, error) {
	s, err := f.read()
	if err != nil {
		return nil, err
	}
	if limit := s.GetResources().GetMemoryBytes(); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	return s, nil
}

// path returns the path of the settings file.
func (f *daemonFlags) path() string {
	if f.platform {
		return os.Getenv(platform.SettingsVariable)
	}
	return f.file
}

// read reads the settings from the platform's file or the product's own.
func (f *daemonFlags) read() (*settings.Settings, error) {
	switch {
	case f.platform && f.file != "":
		return nil, errors.New("--settings and --platform exclude each other")
	case f.platform:
		return platform.LoadSettings()
	case f.file == "":
		return nil, errors.New("--settings is missing")
	default:
		return validator.Load(f.file)
	}
}

func (f *daemonFlags) routerDialect() translator.Dialect {
	if f.platform {
		return platform.RouterDialect()
	}
	return translator.NativeDialect()
}

func (f *daemonFlags) controllerDialect() controller.Dialect {
	if f.platform {
		return platform.ControllerDialect()
	}
	return controller.Dialect{}
}
