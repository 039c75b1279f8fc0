package announcer

import (
	"net/url"
	"slices"

	"github.com/pkg/errors"

	"github.com/comfreybend/comfreybend/internal/configurer"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// Validate checks an announcement that a process has sent.
func Validate(u *wire.Upstream) error {
	address, err := url.Parse(u.GetUrl())
	switch {
	case u.GetId() == "":
		return errors.New("id is missing")
	case err != nil || address.Host == "":
		return errors.New("url is missing or malformed")
	case u.GetKind() != string(registrar.KindModel) && u.GetKind() != string(registrar.KindService):
		return errors.New("kind must be model or service")
	case u.GetState() != string(registrar.Serving) && u.GetState() != string(registrar.Leaving):
		return errors.New("state must be serving or leaving")
	case len(u.GetVersion()) > registrar.MaxVersionBytes:
		return errors.Errorf("version has more than %d bytes", registrar.MaxVersionBytes)
	case len(u.GetServes()) == 0:
		return errors.New("serves is empty")
	default:
		return nil
	}
}

// IsForeign reports whether an announcement names only services that a configuration does not declare. It may come
// from another program, and name the URL of an upstream that is in use, so it must not have any effect.
func IsForeign(u *registrar.Upstream, catalog *configurer.Catalog) bool {
	if u.Kind != registrar.KindService || !catalog.DeclaresPools() {
		return false
	}
	return !slices.ContainsFunc(u.Serves, func(name string) bool { return catalog.Pool(name) != nil })
}
