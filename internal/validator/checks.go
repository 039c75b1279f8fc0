package validator

import (
	"fmt"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
)

// setDefaultDuration sets an absent duration to its default.
func setDefaultDuration(field **durationpb.Duration, value time.Duration) {
	if *field == nil {
		*field = durationpb.New(value)
	}
}

// setDefaultNumber sets an absent number to its default. Zero counts as absent.
func setDefaultNumber[N int32 | int64](field *N, value N) {
	if *field == 0 {
		*field = value
	}
}

func (c *collector) checkDuration(path string, value *durationpb.Duration, low, high time.Duration) {
	d := value.AsDuration()
	if d < low || d > high {
		c.add(path, fmt.Sprintf("%v is out of range", d), fmt.Sprintf("%v to %v", low, high))
	}
}

func (c *collector) checkNumber(path string, value, low, high int64) {
	if value < low || value > high {
		c.add(path, fmt.Sprintf("%d is out of range", value), fmt.Sprintf("%d to %d", low, high))
	}
}

func (c *collector) checkAddress(path, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add(path, fmt.Sprintf("%q is not an IP address and port", value), `an IP address and port such as "10.0.0.1:7000"`)
	}
}

func (c *collector) checkOptionalIP(path, value string) {
	if value == "" {
		return
	}
	if _, err := netip.ParseAddr(value); err != nil {
		c.add(path, fmt.Sprintf("%q is not an IP address", value), `an IP address such as "10.0.0.1"`)
	}
}

func (c *collector) checkAddresses(path string, values []string) {
	for i, v := range values {
		c.checkAddress(fmt.Sprintf("%s[%d]", path, i), v)
	}
}

func (c *collector) checkOneOf(path, value string, allowed ...string) {
	for _, a := range allowed {
		if a == value {
			return
		}
	}
	c.add(path, fmt.Sprintf("found %q", value), "one of "+strings.Join(allowed, ", "))
}

func (c *collector) checkRequired(path, value string) {
	if value == "" {
		c.add(path, "missing", "a non-empty string")
	}
}

func (c *collector) checkOptionalURL(path, value string) {
	if value == "" {
		return
	}
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.add(path, fmt.Sprintf("%q is not an HTTP URL", value), `an HTTP URL such as "http://10.0.0.1:9000"`)
	}
}
