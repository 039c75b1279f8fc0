package router

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"io"
	"net"
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
	hexBase   = 16
)

type (
	// call is one request of a caller, read whole.
	call struct {
		method string
		path   string
		// escapedPath is the path as it was sent.
		escapedPath string
		rawQuery   string
		header  http.Header
		body    []byte
		// host is the name in the Host header, hostHeader the header as it was sent.
		host       string
		hostHeader string
		// requestURI is the path and query as they were sent.
		requestURI string
		RequestInfo
		identity    identity
		route  *state.Route
		class  *state.Class
		pool   poolKey
		stream bool
		// tier is the class's or the organisation's.
		tier int32
		// rank, from 1, orders calls by the organisation's tier and then the class's; there are so many ranks.
		rank, ranks int32
		arrived     time.Duration
		deadline    time.Duration
		// retryable calls may be sent more than once.
		retryable bool
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
	d, err := r.dialect.ParseRequest(request)
	if err != nil {
		return nil, refuse(http.StatusBadRequest, CodeMalformed, err.Error())
	}
	return &call{
		method:      request.Method,
		path:        request.URL.Path,
		escapedPath:     request.URL.EscapedPath(),
		rawQuery:       request.URL.RawQuery,
		header:      request.Header,
		body:        body,
		host:        hostWithoutPort(request.Host),
		hostHeader:  request.Host,
		requestURI:      request.RequestURI,
		RequestInfo: d,
		arrived:     r.dispatcher.now(),
	}, nil
}

// hostWithoutPort returns the name in a Host header, without its port.
func hostWithoutPort(header string) string {
	if name, _, err := net.SplitHostPort(header); err == nil {
		header = name
	}
	return strings.ToLower(header)
}

func requestKey(h http.Header) string {
	if key, found := strings.CutPrefix(h.Get("Authorization"), bearerPrefix); found {
		return strings.TrimSpace(key)
	}
	return h.Get(headerAPIKey)
}

// resolve finds out for whom, where and how a call runs.
func (r *Router) resolve(c *call) *RefusalError {
	catalog := r.authority.catalog.Load()
	if catalog == nil {
		return refuseWithRetryAfter(http.StatusServiceUnavailable, CodeNotFresh, "no configuration yet", r.returnAfter())
	}
	if !isCleanPath(c.path) {
		return refuse(http.StatusBadRequest, CodeMalformed, "the path has empty, \".\" or \"..\" segments")
	}
	c.route = catalog.Route(c.host, c.path)
	if refusal := r.authenticate(c); refusal != nil {
		return refusal
	}
	if c.route == nil {
		return refuse(http.StatusNotFound, CodeNoRoute, "no route for "+c.path)
	}
	if refusal := c.chooseClass(catalog); refusal != nil {
		return refusal
	}
	c.chooseTier(catalog)
	if refusal := c.choosePool(r.random); refusal != nil {
		return refusal
	}
	if exposesKey(c) {
		return refuse(http.StatusBadRequest, CodeMalformed,
			"the key stands in the path, query or body, which go to the upstream")
	}
	r.setDeadline(c)
	return nil
}

// isCleanPath reports a path that no upstream can read as another one, which
// could belong to a route with other rules.
func isCleanPath(p string) bool {
	cleaned := path.Clean(p)
	return p == cleaned || p == cleaned+"/"
}

// authenticate checks the key; only routes open to all run without one.
func (r *Router) authenticate(c *call) *RefusalError {
	open := c.route.GetOpenToAll()
	if c.Key == "" && !open {
		return refuse(http.StatusUnauthorized, CodeUnauthorized, "a key is needed")
	}
	who, refusal := r.authority.identify(c.Key)
	if refusal != nil && open {
		// An open route needs no key, so one that cannot be relied on does no harm.
		return nil
	}
	c.identity = who
	return refusal
}

func (c *call) chooseClass(catalog *configurer.Catalog) *RefusalError {
	wanted := c.Class
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

// chooseTier takes the organisation's tier before the class's, and ranks by both.
func (c *call) chooseTier(catalog *configurer.Catalog) {
	c.tier = c.class.GetTier()
	if own := catalog.Organisation(c.identity.organisation).GetTier(); own > 0 {
		c.tier = own
	}
	c.rank, c.ranks = catalog.RankOf(c.identity.organisation, c.class)
}

// chooseService draws one of the services that share a route.
func (c *call) chooseService(random func(n int) int) string {
	splits := c.route.GetSplits()
	if len(splits) == 0 {
		return c.route.GetService()
	}
	total := 0
	for _, s := range splits {
		total += int(s.GetWeight())
	}
	drawn := random(total)
	for _, s := range splits {
		drawn -= int(s.GetWeight())
		if drawn < 0 {
			return s.GetService()
		}
	}
	return splits[len(splits)-1].GetService()
}

func (c *call) choosePool(random func(n int) int) *RefusalError {
	c.retryable = !c.route.GetNonIdempotent()
	if c.route.GetEventStream() {
		c.retryable = c.route.GetResumable()
		c.stream = true
	}
	for _, m := range c.route.GetNonIdempotentMethods() {
		if m == c.method {
			c.retryable = false
		}
	}
	if c.route.GetKind() == configurer.KindService {
		c.pool = poolKey{kind: registrar.KindService, name: c.chooseService(random)}
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

func (r *Router) setDeadline(c *call) {
	allowed := r.settings.GetEntry().GetCallerLimits().GetDefaultDeadline().AsDuration()
	if target := configurer.Deadline(c.class); target > 0 {
		allowed = target
	}
	if c.Timeout > 0 {
		allowed = c.Timeout
	}
	if timeout := c.route.GetTimeout().AsDuration(); timeout > 0 {
		allowed = min(allowed, timeout)
	}
	c.deadline = c.arrived + allowed
}

// exposesKey reports whether the key stands in a part that goes to the upstream.
func exposesKey(c *call) bool {
	if c.Key == "" {
		return false
	}
	unescaped, err := url.QueryUnescape(c.rawQuery)
	if err != nil {
		unescaped = c.rawQuery
	}
	return strings.Contains(c.path, c.Key) || strings.Contains(c.escapedPath, c.Key) || strings.Contains(c.rawQuery, c.Key) ||
		strings.Contains(unescaped, c.Key) || bytes.Contains(c.body, []byte(c.Key))
}

// upstreamHeader returns the caller's headers that go to the upstream: all
// but keys, cookies, connection headers and those that the dialect withholds.
func (c *call) upstreamHeader(withholds func(string) bool) http.Header {
	out := make(http.Header, len(c.header))
	for name, values := range c.header {
		if isDroppedRequestHeader(name) || withholds(name) {
			continue
		}
		for _, v := range values {
			if c.Key == "" || !strings.Contains(v, c.Key) {
				out.Add(name, v)
			}
		}
	}
	for _, name := range strings.Split(c.header.Get("Connection"), ",") {
		out.Del(strings.TrimSpace(name))
	}
	if _, found := out["User-Agent"]; !found {
		// An empty value keeps net/http from adding its own.
		out["User-Agent"] = []string{""}
	}
	return out
}

// isDroppedRequestHeader reports headers that are not passed on. The idempotency key is one
// of them: net/http would send a request that carries it twice.
func isDroppedRequestHeader(name string) bool {
	switch name {
	case "Authorization", "Proxy-Authorization", "Cookie", HeaderIdempotencyKey, "X-Idempotency-Key",
		"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
		"Content-Length", "Expect", "Accept-Encoding", HeaderLastEventID, headerLastEventIDCanonical:
		return true
	default:
		return false
	}
}

// prefixID identifies the beginning of the prompt, by its last part that other
// requests share if the request says; it is empty for services.
func (c *call) prefixID() picker.PrefixID {
	if n := len(c.Prompt.Parts); n > 0 {
		return c.Prompt.Parts[max(0, n-2)].ID
	}
	if c.pool.kind != registrar.KindModel {
		return ""
	}
	digest := xxhash.New()
	_, _ = digest.WriteString(c.pool.name + "\x00")
	_, _ = digest.Write(c.body[:min(len(c.body), prefixBytes)])
	return picker.PrefixID(strconv.FormatUint(digest.Sum64(), hexBase))
}

// fingerprint identifies the content of a call that must not run twice.
func (c *call) fingerprint() []byte {
	h := sha256.New()
	for _, part := range []string{c.method, c.path, c.rawQuery} {
		_, _ = io.WriteString(h, part+"\x00")
	}
	_, _ = h.Write(c.body)
	return h.Sum(nil)
}

// estimatedInputTokens estimates the tokens of the prompt.
func (c *call) estimatedInputTokens() TokenCount {
	if c.Prompt.InputTokens > 0 {
		return c.Prompt.InputTokens
	}
	if c.pool.kind != registrar.KindModel {
		return 0
	}
	return TokenCount(len(c.body) / bytesPerToken)
}
