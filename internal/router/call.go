package router

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"path"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreybend/comfreybend/internal/configurer"
	"github.com/comfreybend/comfreybend/pkg/picker"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/schema/state"
)

const (
	bearerPrefix = "Bearer "
	headerAPIKey = "X-Api-Key"
	// prefixBytes is the length of the beginning of a request body that prefix affinity looks at.
	prefixBytes = 512
	// bytesPerToken estimates the tokens of a prompt that the engine does not count.
	bytesPerToken = 4
	hexadecimal   = 16
)

type (
	// call is one request of a caller, read whole.
	call struct {
		method string
		path   string
		// escaped is the path as it was sent.
		escaped     string
		query       string
		header      http.Header
		body        []byte
		key         string
		who         identity
		route       *state.Route
		class       *state.Class
		pool        poolKey
		stream      bool
		idempotency string
		arrived     time.Duration
		deadline    time.Duration
		// repeatable calls may be sent more than once.
		repeatable bool
	}

	// modelRequest holds the fields of a model request that the router needs.
	modelRequest struct {
		Model  string `json:"model"`
		Stream bool   `json:"stream"`
	}
)

// decodeCall reads a caller's request whole, within the limits.
func (r *Router) decodeCall(_ context.Context, request *http.Request) (any, error) {
	limit := r.settings.GetEntry().GetCallerLimits().GetBodyBytes()
	body, err := io.ReadAll(io.LimitReader(request.Body, limit+1))
	if err != nil {
		return nil, refuse(http.StatusRequestTimeout, CodeMalformed, "reading the body failed: "+err.Error())
	}
	if int64(len(body)) > limit {
		return nil, refuse(http.StatusRequestEntityTooLarge, CodeTooLarge,
			"the body has more than "+strconv.FormatInt(limit, 10)+" bytes")
	}
	return &call{
		method:      request.Method,
		path:        request.URL.Path,
		escaped:     request.URL.EscapedPath(),
		query:       request.URL.RawQuery,
		header:      request.Header,
		body:        body,
		key:         keyOf(request.Header),
		idempotency: request.Header.Get(HeaderIdempotencyKey),
		arrived:     r.dispatcher.now(),
	}, nil
}

func keyOf(h http.Header) string {
	if key, found := strings.CutPrefix(h.Get("Authorization"), bearerPrefix); found {
		return strings.TrimSpace(key)
	}
	return h.Get(headerAPIKey)
}

// resolve finds out for whom, where and how a call runs.
func (r *Router) resolve(c *call) *RefusalError {
	catalog := r.authority.catalog.Load()
	if catalog == nil {
		return refuseUntil(http.StatusServiceUnavailable, CodeNotFresh, "no configuration yet", time.Second)
	}
	if !plainPath(c.path) {
		return refuse(http.StatusBadRequest, CodeMalformed, "the path has empty, \".\" or \"..\" segments")
	}
	c.route = catalog.Route(c.path)
	if refusal := r.admitIdentity(c); refusal != nil {
		return refusal
	}
	if c.route == nil {
		return refuse(http.StatusNotFound, CodeNoRoute, "no route for "+c.path)
	}
	if refusal := c.chooseClass(catalog); refusal != nil {
		return refusal
	}
	if refusal := c.choosePool(); refusal != nil {
		return refusal
	}
	if carriesKey(c) {
		return refuse(http.StatusBadRequest, CodeMalformed,
			"the key stands in the path, query or body, which go to the upstream")
	}
	return r.setDeadline(c)
}

// plainPath reports a path that no upstream can read as another one, which
// could belong to a route with other rules.
func plainPath(p string) bool {
	cleaned := path.Clean(p)
	return p == cleaned || p == cleaned+"/"
}

// admitIdentity checks the key; only routes open to all run without one.
func (r *Router) admitIdentity(c *call) *RefusalError {
	open := c.route.GetOpenToAll()
	if c.key == "" && !open {
		return refuse(http.StatusUnauthorized, CodeUnauthorized, "a key is needed")
	}
	who, refusal := r.authority.identify(c.key)
	if refusal != nil && open {
		// An open route needs no key, so one that cannot be relied on does no harm.
		return nil
	}
	c.who = who
	return refusal
}

func (c *call) chooseClass(catalog *configurer.Catalog) *RefusalError {
	wanted := c.header.Get(HeaderClass)
	if wanted == "" {
		wanted = c.route.GetClasses()[0]
	}
	for _, allowed := range c.route.GetClasses() {
		if allowed == wanted {
			c.class = catalog.Class(configurer.ClassName(wanted))
			return nil
		}
	}
	return refuse(http.StatusBadRequest, CodeClassNotAllowed,
		"class must be one of "+strings.Join(c.route.GetClasses(), ", "))
}

func (c *call) choosePool() *RefusalError {
	c.repeatable = true
	for _, m := range c.route.GetNonIdempotentMethods() {
		if m == c.method {
			c.repeatable = false
		}
	}
	if c.route.GetKind() == configurer.KindService {
		c.pool = poolKey{kind: registrar.KindService, name: c.route.GetService()}
		return nil
	}
	var m modelRequest
	if err := json.Unmarshal(c.body, &m); err != nil {
		return refuse(http.StatusBadRequest, CodeMalformed, "the body is no JSON object: "+err.Error())
	}
	if m.Model == "" {
		return refuse(http.StatusBadRequest, CodeMalformed, "model is missing")
	}
	c.stream = m.Stream
	c.pool = poolKey{kind: registrar.KindModel, name: m.Model}
	return nil
}

func (r *Router) setDeadline(c *call) *RefusalError {
	allowed := r.settings.GetEntry().GetCallerLimits().GetDefaultDeadline().AsDuration()
	if target := configurer.Deadline(c.class); target > 0 {
		allowed = target
	}
	if text := c.header.Get(HeaderDeadline); text != "" {
		millis, err := strconv.ParseInt(text, 10, 32)
		if err != nil || millis <= 0 {
			return refuse(http.StatusBadRequest, CodeMalformed, HeaderDeadline+" is no positive number of milliseconds")
		}
		allowed = time.Duration(millis) * time.Millisecond
	}
	c.deadline = c.arrived + allowed
	return nil
}

// carriesKey reports whether the key stands in a part that goes to the upstream.
func carriesKey(c *call) bool {
	if c.key == "" {
		return false
	}
	unescaped, err := url.QueryUnescape(c.query)
	if err != nil {
		unescaped = c.query
	}
	return strings.Contains(c.path, c.key) || strings.Contains(c.escaped, c.key) || strings.Contains(c.query, c.key) ||
		strings.Contains(unescaped, c.key) || bytes.Contains(c.body, []byte(c.key))
}

// upstreamHeader returns the headers that go to the upstream: the caller's,
// without keys, cookies, connection headers and the router's own.
func (c *call) upstreamHeader() http.Header {
	out := make(http.Header, len(c.header))
	for name, values := range c.header {
		if withheld(name) {
			continue
		}
		for _, v := range values {
			if c.key == "" || !strings.Contains(v, c.key) {
				out.Add(name, v)
			}
		}
	}
	for _, name := range strings.Split(c.header.Get("Connection"), ",") {
		out.Del(strings.TrimSpace(name))
	}
	out.Set(HeaderOrganisation, string(c.who.organisation))
	out.Set(HeaderClass, c.class.GetName())
	out.Set(HeaderPriority, strconv.Itoa(int(c.class.GetTier())))
	if prefix := c.prefix(); prefix != "" {
		out.Set(HeaderPrefix, string(prefix))
	}
	return out
}

// withheld reports headers that are not passed on. The idempotency key is one
// of them: net/http would send a request that carries it twice.
func withheld(name string) bool {
	switch name {
	case "Authorization", "Proxy-Authorization", headerAPIKey, "Cookie", HeaderIdempotencyKey, "X-Idempotency-Key",
		"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
		"Content-Length", "Expect", "Accept-Encoding", HeaderLastEventID:
		return true
	default:
		return strings.HasPrefix(name, "Comfreybend-")
	}
}

// prefix identifies the beginning of the prompt; it is empty for services.
func (c *call) prefix() picker.PrefixID {
	if c.pool.kind != registrar.KindModel {
		return ""
	}
	digest := xxhash.New()
	_, _ = digest.WriteString(c.pool.name + "\x00")
	_, _ = digest.Write(c.body[:min(len(c.body), prefixBytes)])
	return picker.PrefixID(strconv.FormatUint(digest.Sum64(), hexadecimal))
}

// fingerprint identifies the content of a call that must not run twice.
func (c *call) fingerprint() []byte {
	h := sha256.New()
	for _, part := range []string{c.method, c.path, c.query} {
		_, _ = io.WriteString(h, part+"\x00")
	}
	_, _ = h.Write(c.body)
	return h.Sum(nil)
}

// estimatedTokensIn estimates the tokens of the prompt.
func (c *call) estimatedTokensIn() TokenCount {
	if c.pool.kind != registrar.KindModel {
		return 0
	}
	return TokenCount(len(c.body) / bytesPerToken)
}
