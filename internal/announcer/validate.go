package announcer

import (
	"net/url"

	"github.com/pkg/errors"

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
