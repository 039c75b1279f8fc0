package router

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/comfreybend/comfreybend/internal/announcer"
	"github.com/comfreybend/comfreybend/internal/configurer"
	"github.com/comfreybend/comfreybend/internal/counter"
	"github.com/comfreybend/comfreybend/internal/digester"
	"github.com/comfreybend/comfreybend/internal/ingester"
	"github.com/comfreybend/comfreybend/internal/interpreter"
	"github.com/comfreybend/comfreybend/internal/relayer"
	"github.com/comfreybend/comfreybend/internal/scrubber"
	"github.com/comfreybend/comfreybend/internal/translator"
	"github.com/comfreybend/comfreybend/pkg/isolator"
	"github.com/comfreybend/comfreybend/pkg/picker"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// bytesPerToken is the assumed size of a token where the number of prompt tokens is not reported.
const bytesPerToken = 4

type (
	// bodyKey is the context key of the request's *ingester.Body.
	bodyKey struct{}

	// call is one client request, with its whole body.
	call struct {
		method string
		path   string
		// escapedPath is the path in its original percent-encoding.
		escapedPath string
		rawQuery    string
		header      http.Header
		body        []byte
		// host is the lower-case Host header without its port; hostHeader is the header as received.
		host       string
		hostHeader string
		// requestURI is the path and query as received.
		requestURI string
		translator.RequestInfo
		// relay is what the call was passed on with by another entry process; nil if it came from
		// the client.
		relay *wire.Relay
		// client and the following fields are set by resolve.
		client identity
		route  *state.Route
		class  *state.Class
		pool   poolKey
		// format is what the body of a response means.
		format interpreter.Format
		// stream reports that the response is expected to be an event stream: of a model
		// whose request asks for one, or of a service on a route with eventStream set.
		stream bool
		// tier is the organisation's tier, or the class's if the organisation has none.
		tier int32
		// rank is the call's place in the order by the tiers of organisation and class;
		// 1 is the most urgent of ranks places.
		rank, ranks int32
		// arrived and deadline are monotonic times.
		arrived  time.Duration
		deadline time.Duration
		// retryable reports that the call may run more than once.
		retryable bool
		// probe reports that the call shows whether a held prompt part still crashes engines.
		probe bool
		// identity is set by Router.identityOf.
		identity atomic.Pointer[isolator.PartID]
	}

	// modelRequest has the fields of a model request's body that the router needs.
	modelRequest struct {
		Model  string `json:"model"`
		Stream bool   `json:"stream"`
	}
)

// decodeCall decodes a client request whose body has been read.
func (r *Router) decodeCall(ctx context.Context, request *http.Request) (any, error) {
	body, _ := ctx.Value(bodyKey{}).(*ingester.Body)
	d, err := r.dialect.ParseRequest(request)
	if err != nil {
		return nil, translator.Refuse(http.StatusBadRequest, translator.CodeMalformed, err.Error())
	}
	return &call{
		method:      request.Method,
		path:        cmp.Or(request.URL.Path, "/"),
		escapedPath: request.URL.EscapedPath(),
		rawQuery:    request.URL.RawQuery,
		header:      request.Header,
		body:        body.Bytes(),
		host:        scrubber.HostWithoutPort(request.Host),
		hostHeader:  request.Host,
		requestURI:  scrubber.Target(request),
		RequestInfo: d,
		relay:       relayer.From(ctx),
		arrived:     body.ArrivedAt() - announcer.Stated(relayer.From(ctx).GetAgeMillis()),
	}, nil
}

// resolve authenticates a call and sets its route, class, tier, pool and deadline.
func (r *Router) resolve(c *call) *translator.RefusalError {
	catalog := r.controlPlane.catalog.Load()
	if catalog == nil {
		return translator.RefuseWithRetryAfter(http.StatusServiceUnavailable, translator.CodeNotFresh, "no configuration yet", r.retryAfter())
	}
	if !scrubber.IsCleanPath(c.path) {
		return translator.Refuse(http.StatusBadRequest, translator.CodeMalformed, "the path has empty, \".\" or \"..\" segments")
	}
	c.route = catalog.Route(c.host, cmp.Or(c.escapedPath, c.path))
	if refusal := r.authenticate(c); refusal != nil {
		return refusal
	}
	if c.route == nil {
		return r.controlPlane.refuseUnknown(translator.Refuse(http.StatusNotFound, translator.CodeNoRoute, "no route for "+c.path))
	}
	if refusal := c.chooseClass(catalog); refusal != nil {
		return refusal
	}
	c.chooseTier(catalog)
	if refusal := c.choosePool(r.random); refusal != nil {
		return refusal
	}
	if scrubber.Exposes(c.Key, c.path, c.escapedPath, c.rawQuery, c.body) {
		return translator.Refuse(http.StatusBadRequest, translator.CodeMalformed,
			"the key stands in the path, query or body, which go to the upstream")
	}
	r.setDeadline(c)
	return nil
}

// authenticate sets the call's client from its key. Only routes that are open
// to all accept calls without a valid key.
func (r *Router) authenticate(c *call) *translator.RefusalError {
	open := c.route.GetOpenToAll()
	if c.Key == "" && len(c.relay.GetKeyDigest()) == 0 && !open {
		refusal := translator.Refuse(http.StatusUnauthorized, translator.CodeUnauthorized, "a key is needed")
		if c.route == nil {
			return r.controlPlane.refuseUnknown(refusal)
		}
		return refusal
	}
	client, refusal := r.controlPlane.identify(c.Key, c.relay.GetKeyDigest())
	if refusal != nil && open {
		// An open route needs no key, so the call runs anonymously if its key is
		// invalid or cannot be verified.
		return nil
	}
	c.client = client
	return refusal
}

// chooseClass sets the class that the client asked for, by default the route's first one.
func (c *call) chooseClass(catalog *configurer.Catalog) *translator.RefusalError {
	name := c.Class
	if name == "" {
		name = c.route.GetClasses()[0]
	}
	for _, allowed := range c.route.GetClasses() {
		if allowed == name {
			c.class = catalog.Class(configurer.ClassName(name))
			return nil
		}
	}
	return translator.Refuse(http.StatusBadRequest, translator.CodeClassNotAllowed,
		"class must be one of "+strings.Join(c.route.GetClasses(), ", "))
}

// chooseTier sets the tier and the rank. The organisation's tier takes precedence over the class's.
func (c *call) chooseTier(catalog *configurer.Catalog) {
	c.tier = c.class.GetTier()
	if own := catalog.Organisation(c.client.organisation).GetTier(); own > 0 {
		c.tier = own
	}
	c.rank, c.ranks = catalog.RankOf(c.client.organisation, c.class)
}

// choosePool sets the pool, and whether the call is retryable and streamed.
func (c *call) choosePool(random func(n int) int) *translator.RefusalError {
	c.retryable = !c.route.GetNonIdempotent()
	c.format = interpreter.Of(c.route)
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
		c.pool = poolKey{kind: registrar.KindService, name: configurer.ServiceOf(c.route, random)}
		return nil
	}
	var m modelRequest
	if err := json.Unmarshal(c.body, &m); err != nil {
		return translator.Refuse(http.StatusBadRequest, translator.CodeMalformed, "the body is no JSON object: "+err.Error())
	}
	if m.Model == "" {
		return translator.Refuse(http.StatusBadRequest, translator.CodeMalformed, "model is missing")
	}
	c.stream = m.Stream
	c.pool = poolKey{kind: registrar.KindModel, name: m.Model}
	return nil
}

// setDeadline sets the deadline from the client's timeout, the class or the
// default, in this order. The route's timeout is an upper bound.
func (r *Router) setDeadline(c *call) {
	if c.relay != nil {
		c.deadline = r.dispatcher.now() + announcer.Stated(c.relay.GetDeadlineMillis())
		return
	}
	allowed := r.settings.GetEntry().GetCallerLimits().GetDefaultDeadline().AsDuration()
	if target := configurer.ResponseTarget(c.class); target > 0 {
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

// upstreamHeader returns the client's headers to forward to the upstream: all
// but those of scrubber.Request and isDroppedRequestHeader, and those that the dialect drops.
func (c *call) upstreamHeader(dropsHeader func(string) bool) http.Header {
	out := scrubber.Request(c.header, c.Key, func(name string) bool { return isDroppedRequestHeader(name) || dropsHeader(name) })
	if _, found := out["User-Agent"]; !found {
		// An empty value keeps net/http from adding its default User-Agent.
		out["User-Agent"] = []string{""}
	}
	return out
}

// isDroppedRequestHeader reports whether a client header is only for the router. The idempotency
// keys are dropped because net/http treats a request that has one as idempotent and may send it
// twice.
func isDroppedRequestHeader(name string) bool {
	switch name {
	case translator.HeaderIdempotencyKey, "X-Idempotency-Key", translator.HeaderLastEventID, translator.HeaderLastEventIDCanonical:
		return true
	default:
		return false
	}
}

// prefixID identifies the start of the prompt, for cache affinity. If the request
// lists the parts of its prompt, it is the id of the last part but one, which is
// the last shared one, or of the only part. Otherwise it is a hash of the model
// and the start of the body, or empty for services.
func (c *call) prefixID() picker.PrefixID {
	if n := len(c.Prompt.Parts); n > 0 {
		return c.Prompt.Parts[max(0, n-2)].ID
	}
	if c.pool.kind != registrar.KindModel {
		return ""
	}
	return picker.PrefixID(digester.Prefix(c.pool.name, c.body))
}

// sharedParts returns the parts of the prompt that other requests may share: all but the
// last one.
func (c *call) sharedParts() []picker.PromptPart {
	return c.Prompt.Parts[:max(0, len(c.Prompt.Parts)-1)]
}

// estimatedInputTokens returns the prompt's tokens as declared by the client, or
// an estimate from the body's size; zero for services.
func (c *call) estimatedInputTokens() counter.TokenCount {
	if c.Prompt.InputTokens > 0 {
		return c.Prompt.InputTokens
	}
	if c.pool.kind != registrar.KindModel {
		return 0
	}
	return counter.TokenCount(len(c.body) / bytesPerToken)
}
