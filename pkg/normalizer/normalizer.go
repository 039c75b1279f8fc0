// Package normalizer brings paths of URLs into the form in which two equivalent ones are the same.
package normalizer

import "strings"

const hexDigits = "0123456789ABCDEF"

// Path returns a path, as it stands in a request or a configuration, with one form of each character
// (RFC 3986, 6.2.2): unreserved characters are not encoded, other bytes than ASCII are, and encodings are in
// upper case. Reserved characters stay as they are, since an encoded slash, for one, does not separate segments.
func Path(path string) string {
	if isNormal(path) {
		return path
	}
	var out strings.Builder
	for i := 0; i < len(path); i++ {
		c := path[i]
		encoded, ok := decode(path[i:])
		switch {
		case ok && isUnreserved(encoded):
			out.WriteByte(encoded)
		case ok:
			writeEncoded(&out, encoded)
		case c >= 0x80:
			writeEncoded(&out, c)
		default:
			out.WriteByte(c)
		}
		if ok {
			i += 2
		}
	}
	return out.String()
}

// isNormal reports whether a path has neither encodings nor other bytes than ASCII.
func isNormal(path string) bool {
	for i := range len(path) {
		if path[i] == '%' || path[i] >= 0x80 {
			return false
		}
	}
	return true
}

// decode returns the byte that the encoding at the start of a text stands for.
func decode(text string) (byte, bool) {
	if len(text) < 3 || text[0] != '%' {
		return 0, false
	}
	high, ok := digit(text[1])
	low, lowOK := digit(text[2])
	return high<<4 | low, ok && lowOK
}

func digit(c byte) (byte, bool) {
	switch {
	case '0' <= c && c <= '9':
		return c - '0', true
	case 'a' <= c && c <= 'f':
		return c - 'a' + 10, true
	case 'A' <= c && c <= 'F':
		return c - 'A' + 10, true
	default:
		return 0, false
	}
}

func isUnreserved(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte("-._~", c) >= 0
}

func writeEncoded(out *strings.Builder, c byte) {
	out.WriteByte('%')
	out.WriteByte(hexDigits[c>>4])
	out.WriteByte(hexDigits[c&15])
}
