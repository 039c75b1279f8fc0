package configurer

import (
	"maps"
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// PatchTo returns the patch by which the catalog gets the content of another one.
func (c *Catalog) PatchTo(next *Catalog) *state.Patch {
	p := &state.Patch{}
	p.ChangedClasses, p.RemovedClasses = difference(c.classes, next.classes)
	p.ChangedRoutes, p.RemovedRoutes = difference(c.routesByName(), next.routesByName())
	p.ChangedOrganisations, p.RemovedOrganisations = difference(c.organisations, next.organisations)
	p.ChangedPools, p.RemovedPools = difference(c.pools, next.pools)
	p.ChangedKeys, p.RemovedKeys = difference(c.keys, next.keys)
	return p
}

// ApplyPatch returns a copy of the catalog with a patch applied, at the next revision.
func (c *Catalog) ApplyPatch(p *state.Patch) *Catalog {
	next := c.clone()
	next.revision++
	for _, class := range p.GetChangedClasses() {
		next.classes[ClassName(class.GetName())] = class
	}
	for _, name := range p.GetRemovedClasses() {
		delete(next.classes, ClassName(name))
	}
	for _, o := range p.GetChangedOrganisations() {
		next.organisations[OrganisationID(o.GetId())] = o
	}
	for _, id := range p.GetRemovedOrganisations() {
		delete(next.organisations, OrganisationID(id))
	}
	next.pools = cloneMap(next.pools)
	for _, pool := range p.GetChangedPools() {
		next.pools[pool.GetName()] = pool
	}
	for _, name := range p.GetRemovedPools() {
		delete(next.pools, name)
	}
	for _, id := range p.GetRemovedKeys() {
		next.deleteKey(id)
	}
	for _, k := range p.GetChangedKeys() {
		next.deleteKey(k.GetId())
	}
	for _, k := range p.GetChangedKeys() {
		next.setKey(k)
	}
	next.patchRoutes(p)
	next.priorities = next.allPriorities()
	return next
}

// After returns the catalog that a control process's reply leads to: the one that the reply holds if it is whole, or this
// one, with the changes applied. Those that it contains are skipped; it is an error if one is missing.
func (c *Catalog) After(reply *wire.SyncReply) (*Catalog, error) {
	revision := Revision(reply.GetRevision())
	if reply.GetWhole() {
		c = Restore(revision, reply.GetConfiguration(), reply.GetKeys())
	}
	for _, change := range reply.GetChanges() {
		next, err := c.afterChange(change)
		if err != nil {
			return nil, err
		}
		c = next
	}
	if c.revision != revision {
		return nil, errors.Errorf("changes end at revision %d, not %d", c.revision, revision)
	}
	return c, nil
}

func (c *Catalog) afterChange(change *state.Revised) (*Catalog, error) {
	switch revision := Revision(change.GetRevision()); {
	case revision <= c.revision:
		return c, nil
	case revision != c.revision+1:
		return nil, errors.Errorf("change to revision %d does not follow revision %d", revision, c.revision)
	case change.GetPatch() != nil:
		return c.ApplyPatch(change.GetPatch()), nil
	}
	next, err := c.Apply(change.GetOperation())
	return next, errors.Wrap(err, "applying a committed change")
}

func (c *Catalog) patchRoutes(p *state.Patch) {
	if len(p.GetChangedRoutes())+len(p.GetRemovedRoutes()) == 0 {
		return
	}
	byName := c.routesByName()
	for _, r := range p.GetChangedRoutes() {
		byName[r.GetName()] = r
	}
	for _, name := range p.GetRemovedRoutes() {
		delete(byName, name)
	}
	c.setRoutes(slices.Collect(maps.Values(byName)))
}

func (c *Catalog) routesByName() map[string]*state.Route {
	byName := make(map[string]*state.Route, len(c.routes))
	for _, r := range c.routes {
		byName[r.GetName()] = r
	}
	return byName
}

// deleteKey removes a key. Its hash may have been taken over by another one.
func (c *Catalog) deleteKey(id string) {
	k := c.keys[id]
	if k == nil {
		return
	}
	delete(c.keys, id)
	if c.keysByHash[KeyHash(k.GetHash())] == k {
		delete(c.keysByHash, KeyHash(k.GetHash()))
	}
}

// difference returns the values of after that are not in before or differ there, and the
// keys that are only in before, both ordered by key.
func difference[K ~string, V proto.Message](before, after map[K]V) (changed []V, removed []string) {
	for _, key := range slices.Sorted(maps.Keys(after)) {
		if old, found := before[key]; !found || !proto.Equal(old, after[key]) {
			changed = append(changed, after[key])
		}
	}
	for _, key := range slices.Sorted(maps.Keys(before)) {
		if _, found := after[key]; !found {
			removed = append(removed, string(key))
		}
	}
	return changed, removed
}
