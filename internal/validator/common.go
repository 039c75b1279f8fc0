package validator

import "github.com/comfreybend/comfreybend/schema/settings"

const defaultLogLevel = "info"

func checkHost(c *collector, h *settings.Host) {
	c.checkRequired("$.host.id", h.GetId())
	c.checkRequired("$.host.failureDomain", h.GetFailureDomain())
}

func checkLogging(c *collector, l *settings.Logging) {
	c.checkOneOf("$.logging.level", l.GetLevel(), "debug", "info", "warn", "error")
}

func checkTLS(c *collector, t *settings.Tls) {
	if t == nil {
		return
	}
	peerTLS := t.GetPeerCertificateFile() != "" || t.GetPeerKeyFile() != "" || t.GetPeerAuthorityFile() != ""
	if peerTLS {
		c.checkRequired("$.tls.peerCertificateFile", t.GetPeerCertificateFile())
		c.checkRequired("$.tls.peerKeyFile", t.GetPeerKeyFile())
		c.checkRequired("$.tls.peerAuthorityFile", t.GetPeerAuthorityFile())
	}
	if t.GetPublicCertificateFile() != "" || t.GetPublicKeyFile() != "" {
		c.checkRequired("$.tls.publicCertificateFile", t.GetPublicCertificateFile())
		c.checkRequired("$.tls.publicKeyFile", t.GetPublicKeyFile())
	}
}
