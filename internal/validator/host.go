package validator

import "github.com/comfreybend/comfreybend/schema/settings"

const defaultLevel = "info"

func checkHost(c *collector, h *settings.Host) {
	c.present("$.host.id", h.GetId())
	c.present("$.host.failureDomain", h.GetFailureDomain())
}

func checkLogging(c *collector, l *settings.Logging) {
	c.oneOf("$.logging.level", l.GetLevel(), "debug", "info", "warn", "error")
}

func checkTLS(c *collector, t *settings.Tls) {
	if t == nil {
		return
	}
	peer := t.GetPeerCertificateFile() != "" || t.GetPeerKeyFile() != "" || t.GetPeerAuthorityFile() != ""
	if peer {
		c.present("$.tls.peerCertificateFile", t.GetPeerCertificateFile())
		c.present("$.tls.peerKeyFile", t.GetPeerKeyFile())
		c.present("$.tls.peerAuthorityFile", t.GetPeerAuthorityFile())
	}
	if t.GetPublicCertificateFile() != "" || t.GetPublicKeyFile() != "" {
		c.present("$.tls.publicCertificateFile", t.GetPublicCertificateFile())
		c.present("$.tls.publicKeyFile", t.GetPublicKeyFile())
	}
}
