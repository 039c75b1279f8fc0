package validator

import "github.com/comfreybend/comfreybend/schema/settings"

const defaultLogLevel = "info"

func checkHost(c *collector, h *settings.Host) {
	c.required("$.host.id", h.GetId())
	c.required("$.host.failureDomain", h.GetFailureDomain())
}

func checkLogging(c *collector, l *settings.Logging) {
	c.oneOf("$.logging.level", l.GetLevel(), "debug", "info", "warn", "error")
}

func checkTLS(c *collector, t *settings.Tls) {
	if t == nil {
		return
	}
	peerTLS := t.GetPeerCertificateFile() != "" || t.GetPeerKeyFile() != "" || t.GetPeerAuthorityFile() != ""
	if peerTLS {
		c.required("$.tls.peerCertificateFile", t.GetPeerCertificateFile())
		c.required("$.tls.peerKeyFile", t.GetPeerKeyFile())
		c.required("$.tls.peerAuthorityFile", t.GetPeerAuthorityFile())
	}
	if t.GetPublicCertificateFile() != "" || t.GetPublicKeyFile() != "" {
		c.required("$.tls.publicCertificateFile", t.GetPublicCertificateFile())
		c.required("$.tls.publicKeyFile", t.GetPublicKeyFile())
	}
}
