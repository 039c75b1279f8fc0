// Package configurer validates operators' changes and applies them to the
// configuration. Control processes and entry processes share it, so that the same
// changes lead both to the same configuration.
package configurer

import (
	"crypto/sha256"
	"sort"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/comfreybend/comfreybend/pkg/normalizer"
	"github.com/comfreybend/comfreybend/schema/state"
)

type (
	// Revision is the number of an accepted configuration change. A catalog has the
	// revision of its latest change.
	Revision uint64
	// OrganisationID identifies an organisation.
	OrganisationID string
	// ClassName names a class of work.
	ClassName string
	// Tier is the level of a class or organisation; 1 is the highest.
	Tier int32
	// KeyHash is the SHA-256 hash of a key.
	KeyHash [sha256.Size]byte

	// Catalog is the configuration with all keys at one revision. It is immutable
	// once published, so readers may share it: Apply returns a changed copy.
	Catalog struct {
		revision Revision
		classes  map[ClassName]*state.Class
		routes   []*state.Route
		// routesByHost holds the routes of each host, longest prefix first. Routes
		// for any host are under the empty name.
		routesByHost map[string][]prefixedRoute
		// pools holds the declared pools by name.
		pools map[string]*state.Pool
		// priorities holds all possible priorities of requests, the highest first.
		priorities    []priority
		organisations map[OrganisationID]*state.Organisation
		// keys holds all keys by id, withdrawn ones included.
		keys       map[string]*state.Key
		keysByHash map[KeyHash]*state.Key
	}
)

// prefixedRoute is a route with its path prefix in normal form.
type prefixedRoute struct {
	prefix string
	route  *state.Route
}

// New returns an empty catalog at revision 0.
func New() *Catalog {
	return &Catalog{
		classes:       map[ClassName]*state.Class{},
		organisations: map[OrganisationID]*state.Organisation{},
		keys:          map[string]*state.Key{},
		keysByHash:    map[KeyHash]*state.Key{},
	}
}

// Restore returns the catalog with the configuration and keys of a revision. It
// does not validate them.
func Restore(revision Revision, c *state.Configuration, keys []*state.Key) *Catalog {
	out := New()
	out.revision = revision
	out.setConfiguration(c)
	for _, k := range keys {
		out.setKey(k)
	}
	return out
}

// HashKey returns the hash under which a key is stored.
func HashKey(key string) KeyHash {
	return sha256.Sum256([]byte(key))
}

// Apply returns a copy of the catalog with an operation applied, at the next
// revision. The error is a *ValidationError or an *InvalidConfigurationError.
func (c *Catalog) Apply(op *state.Operation) (*Catalog, error) {
	next := c.clone()
	next.revision++
	if err := next.applyOperation(op); err != nil {
		return nil, err
	}
	return next, nil
}

// Revision returns the number of the latest accepted change.
func (c *Catalog) Revision() Revision { return c.revision }

// Configuration returns the configuration without keys. Its pools, classes and
// routes are sorted by name, its organisations by id.
func (c *Catalog) Configuration() *state.Configuration {
	out := &state.Configuration{Routes: append([]*state.Route(nil), c.routes...)}
	for _, p := range c.pools {
		out.Pools = append(out.Pools, p)
	}
	sort.Slice(out.Pools, func(i, j int) bool { return out.Pools[i].GetName() < out.Pools[j].GetName() })
	for _, class := range c.classes {
		out.Classes = append(out.Classes, class)
	}
	for _, o := range c.organisations {
		out.Organisations = append(out.Organisations, o)
	}
	sort.Slice(out.Classes, func(i, j int) bool { return out.Classes[i].GetName() < out.Classes[j].GetName() })
	sort.Slice(out.Routes, func(i, j int) bool { return out.Routes[i].GetName() < out.Routes[j].GetName() })
	sort.Slice(out.Organisations, func(i, j int) bool {
		return out.Organisations[i].GetId() < out.Organisations[j].GetId()
	})
	return out
}

// Keys returns all keys, withdrawn ones included, sorted by id.
func (c *Catalog) Keys() []*state.Key {
	out := make([]*state.Key, 0, len(c.keys))
	for _, k := range c.keys {
		out = append(out, k)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetId() < out[j].GetId() })
	return out
}

// KeyByHash returns the key with the given hash, or nil if there is none or it is
// withdrawn.
func (c *Catalog) KeyByHash(hash KeyHash) *state.Key {
	k := c.keysByHash[hash]
	if k == nil || k.GetWithdrawn() {
		return nil
	}
	return k
}

// Class returns a class, or nil.
func (c *Catalog) Class(name ClassName) *state.Class {
	return c.classes[name]
}

// ClassCount returns the number of classes.
func (c *Catalog) ClassCount() int { return len(c.classes) }

// Route returns the route with the longest matching path prefix, or nil. The path is the one of the request
// as received: an encoded slash does not separate segments. Routes that name the host take precedence over those for
// any host.
func (c *Catalog) Route(host, path string) *state.Route {
	path = normalizer.Path(path)
	for _, name := range []string{host, ""} {
		for _, r := range c.routesByHost[name] {
			if strings.HasPrefix(path, r.prefix) {
				return r.route
			}
		}
	}
	return nil
}

// Pool returns the declaration of a pool, or nil.
func (c *Catalog) Pool(name string) *state.Pool {
	return c.pools[name]
}

// DeclaresPools reports whether the pools are declared. Otherwise any service may be used.
func (c *Catalog) DeclaresPools() bool { return len(c.pools) > 0 }

// Organisation returns an organisation, or nil.
func (c *Catalog) Organisation(id OrganisationID) *state.Organisation {
	return c.organisations[id]
}

// ResponseTarget returns the latency target for complete responses of a class, or
// zero if the class has none.
func ResponseTarget(class *state.Class) time.Duration {
	return class.GetTarget().GetWholeAnswer().AsDuration()
}

func (c *Catalog) applyOperation(op *state.Operation) error {
	switch kind := op.GetKind().(type) {
	case *state.Operation_ApplyConfiguration:
		return c.applyConfiguration(kind.ApplyConfiguration)
	case *state.Operation_PutOrganisation:
		return c.putOrganisation(kind.PutOrganisation)
	case *state.Operation_RemoveOrganisation:
		return c.removeOrganisation(OrganisationID(kind.RemoveOrganisation))
	case *state.Operation_GrantKey:
		return c.grantKey(kind.GrantKey)
	case *state.Operation_WithdrawKey:
		return c.withdrawKey(kind.WithdrawKey)
	case *state.Operation_Replace:
		return c.replaceByDocument(kind.Replace)
	default:
		return &ValidationError{Path: "$", Problem: "no operation"}
	}
}

// applyConfiguration replaces everything but the keys, and withdraws the keys of
// organisations that the new configuration does not contain.
func (c *Catalog) applyConfiguration(configuration *state.Configuration) error {
	if err := Check(configuration); err != nil {
		return err
	}
	c.setConfiguration(configuration)
	for _, k := range c.keys {
		if c.organisations[OrganisationID(k.GetOrganisation())] == nil {
			c.markWithdrawn(k)
		}
	}
	return nil
}

// replaceByDocument replaces the configuration and all keys by those of a document.
func (c *Catalog) replaceByDocument(d *state.Document) error {
	if err := Check(d.GetConfiguration()); err != nil {
		return err
	}
	c.setConfiguration(d.GetConfiguration())
	c.keys = map[string]*state.Key{}
	c.keysByHash = map[KeyHash]*state.Key{}
	for _, k := range d.GetKeys() {
		if len(k.GetHash()) != sha256.Size || c.keysByHash[KeyHash(k.GetHash())] != nil {
			return &ValidationError{Path: "$.keys", Problem: "two keys are the same, or one is not hashed"}
		}
		c.setKey(k)
	}
	return nil
}

// setConfiguration replaces everything but the keys and rebuilds the indexes.
func (c *Catalog) setConfiguration(configuration *state.Configuration) {
	c.classes = map[ClassName]*state.Class{}
	c.organisations = map[OrganisationID]*state.Organisation{}
	for _, class := range configuration.GetClasses() {
		c.classes[ClassName(class.GetName())] = class
	}
	for _, o := range configuration.GetOrganisations() {
		c.organisations[OrganisationID(o.GetId())] = o
	}
	c.setRoutes(append([]*state.Route(nil), configuration.GetRoutes()...))
	c.priorities = c.allPriorities()
	c.pools = map[string]*state.Pool{}
	for _, p := range configuration.GetPools() {
		c.pools[p.GetName()] = p
	}
}

// setRoutes replaces the routes. No two of them have the same host and path prefix, but for equivalent ones.
func (c *Catalog) setRoutes(routes []*state.Route) {
	sort.Slice(routes, func(i, j int) bool { return routes[i].GetName() < routes[j].GetName() })
	c.routes = routes
	c.routesByHost = map[string][]prefixedRoute{}
	for _, r := range routes {
		c.routesByHost[r.GetHost()] = append(c.routesByHost[r.GetHost()], prefixedRoute{prefix: normalizer.Path(r.GetPathPrefix()), route: r})
	}
	for _, list := range c.routesByHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].prefix) > len(list[j].prefix) })
	}
}

func (c *Catalog) putOrganisation(o *state.Organisation) error {
	if o.GetId() == "" {
		return &ValidationError{Path: "$.id", Problem: "an organisation needs an id"}
	}
	c.organisations[OrganisationID(o.GetId())] = o
	c.priorities = c.allPriorities()
	return nil
}

func (c *Catalog) removeOrganisation(id OrganisationID) error {
	if c.organisations[id] == nil {
		return &ValidationError{Path: "$.id", Problem: "no organisation " + string(id)}
	}
	delete(c.organisations, id)
	c.priorities = c.allPriorities()
	for _, k := range c.keys {
		if OrganisationID(k.GetOrganisation()) == id {
			c.markWithdrawn(k)
		}
	}
	return nil
}

func (c *Catalog) grantKey(k *state.Key) error {
	if len(k.GetHash()) != sha256.Size {
		return &ValidationError{Path: "$.hash", Problem: "a key needs a SHA-256 hash"}
	}
	if c.organisations[OrganisationID(k.GetOrganisation())] == nil {
		return &ValidationError{Path: "$.organisation", Problem: "no organisation " + k.GetOrganisation()}
	}
	if k.GetId() == "" || c.keys[k.GetId()] != nil || c.keysByHash[KeyHash(k.GetHash())] != nil {
		return &ValidationError{Path: "$.id", Problem: "the key's id or hash is missing or used"}
	}
	granted := proto.Clone(k).(*state.Key)
	granted.Withdrawn = false
	granted.WithdrawnRevision = 0
	granted.GrantedRevision = uint64(c.revision)
	c.setKey(granted)
	return nil
}

func (c *Catalog) withdrawKey(id string) error {
	k := c.keys[id]
	if k == nil {
		return &ValidationError{Path: "$.key", Problem: "no key " + id}
	}
	c.markWithdrawn(k)
	return nil
}

// markWithdrawn replaces a key by a withdrawn copy, since catalogs share the keys.
func (c *Catalog) markWithdrawn(k *state.Key) {
	if k.GetWithdrawn() {
		return
	}
	withdrawn := proto.Clone(k).(*state.Key)
	withdrawn.Withdrawn = true
	withdrawn.WithdrawnRevision = uint64(c.revision)
	c.setKey(withdrawn)
}

func (c *Catalog) setKey(k *state.Key) {
	c.keys[k.GetId()] = k
	c.keysByHash[KeyHash(k.GetHash())] = k
}

// clone returns a copy whose maps may be modified. Maps that are only ever
// replaced as a whole are shared.
func (c *Catalog) clone() *Catalog {
	return &Catalog{
		revision:      c.revision,
		classes:       cloneMap(c.classes),
		routes:        append([]*state.Route(nil), c.routes...),
		routesByHost:  c.routesByHost,
		pools:         c.pools,
		priorities:    c.priorities,
		organisations: cloneMap(c.organisations),
		keys:          cloneMap(c.keys),
		keysByHash:    cloneMap(c.keysByHash),
	}
}

func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	out := make(map[K]V, len(m))
	for k, v := range m {
		out[k] = v
	}
	return out
}
