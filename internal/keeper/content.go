package keeper

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/comfreybend/comfreybend/internal/configurer"
	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	// maxCachedContents is the number of encoded changes that are kept.
	maxCachedContents = 16
	// maxCachedBytes bounds their total size; the latest ones are kept in any case.
	maxCachedBytes = 16 << 20
	// wholeComparedBytes is the size of changes above which the whole configuration is sent
	// if it is smaller.
	wholeComparedBytes = 64 << 10
	// maxEarlierCatalogs is the number of earlier catalogs that are kept, so that a whole configuration
	// stays the same while it is fetched. The changes that they differ by are bounded by maxEarlierBytes.
	maxEarlierCatalogs = 16
	maxEarlierBytes    = 4 << 20
)

type (
	// Content is an encoded wire.SyncReply with the changes of the configuration between two
	// revisions, or with the whole configuration. It must not be modified.
	Content struct {
		// Revision is the one that the changes lead to.
		Revision configurer.Revision
		Data     []byte
		// Digest is a hash of the data.
		Digest uint64
	}

	// contentRequest identifies a content.
	contentRequest struct {
		from, to configurer.Revision
		patches  bool
	}

	// cachedContent is a content that was encoded for a request.
	cachedContent struct {
		request contentRequest
		content *Content
	}
)

// ContentBetween returns the changes between two revisions; to may be zero for the latest
// one. Without patches there are only operations among the changes, for entry processes that
// do not know patches. If the changes are not kept any more, or are larger than the whole
// configuration, the result is the whole configuration, at the latest revision if that at to is not
// kept either. It has no data if from is the latest revision or a later one. Many entry processes ask
// for the same changes at a time, so the latest results are kept.
func (m *StateMachine) ContentBetween(from, to configurer.Revision, patches bool) (*Content, error) {
	m.contentMu.Lock()
	defer m.contentMu.Unlock()
	latest := m.Revision()
	if to == 0 || to > latest {
		to = latest
	}
	if from >= to {
		return &Content{Revision: latest}, nil
	}
	request := contentRequest{from: from, to: to, patches: patches}
	for _, cached := range m.contents {
		if cached.request == request {
			return cached.content, nil
		}
	}
	content, err := m.encodeContent(request)
	if err != nil {
		return nil, err
	}
	m.cacheContent(cachedContent{request: request, content: content})
	return content, nil
}

func (m *StateMachine) encodeContent(r contentRequest) (*Content, error) {
	reply := m.changesBetween(r.from, r.to, r.patches)
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(reply)
	if err != nil {
		return nil, errors.Wrap(err, "encoding the configuration")
	}
	return &Content{Revision: configurer.Revision(reply.GetRevision()), Data: data, Digest: xxhash.Sum64(data)}, nil
}

// cacheContent adds a content and removes the oldest ones beyond the limits.
func (m *StateMachine) cacheContent(c cachedContent) {
	m.contents = append(m.contents, c)
	size := 0
	for i := len(m.contents) - 1; i >= 0; i-- {
		size += len(m.contents[i].content.Data)
		if len(m.contents)-i > maxCachedContents || size > maxCachedBytes && i < len(m.contents)-1 {
			m.contents = append([]cachedContent(nil), m.contents[i+1:]...)
			return
		}
	}
}

// changesBetween returns the changes between two revisions, or the whole configuration.
func (m *StateMachine) changesBetween(from, to configurer.Revision, patches bool) *wire.SyncReply {
	m.mu.RLock()
	defer m.mu.RUnlock()
	latest := m.catalog.Revision()
	kept := configurer.Revision(len(m.recentChanges))
	oldest := latest - min(kept, latest)
	if from >= oldest && from <= to && to <= latest {
		first := len(m.recentChanges) - int(latest-from)
		changes := m.recentChanges[first : first+int(to-from)]
		if m.areUsable(changes, patches) {
			return &wire.SyncReply{Revision: uint64(to), Changes: append([]*state.Revised(nil), changes...)}
		}
	}
	return m.wholeConfiguration(to)
}

// areUsable reports whether changes may be sent in place of the whole configuration.
func (m *StateMachine) areUsable(changes []*state.Revised, patches bool) bool {
	size := 0
	for _, change := range changes {
		if change.GetPatch() != nil && !patches {
			return false
		}
		size += proto.Size(change)
	}
	last := configurer.Revision(changes[len(changes)-1].GetRevision())
	return size < wholeComparedBytes || size < proto.Size(m.wholeConfiguration(last))
}

// wholeConfiguration returns the configuration at a revision, or at the latest one if that is not kept.
func (m *StateMachine) wholeConfiguration(at configurer.Revision) *wire.SyncReply {
	c := m.catalog
	if i := slices.IndexFunc(m.earlierCatalogs, func(c *configurer.Catalog) bool { return c.Revision() == at }); i >= 0 {
		c = m.earlierCatalogs[i]
	}
	return &wire.SyncReply{Revision: uint64(c.Revision()), Whole: true, Configuration: c.Configuration(), Keys: c.Keys()}
}

// keepCatalog keeps a catalog that the latest change has replaced, and drops the oldest ones beyond the limits.
func (m *StateMachine) keepCatalog(c *configurer.Catalog) {
	m.earlierCatalogs = append(m.earlierCatalogs, c)
	kept, size := 0, 0
	for kept < min(len(m.earlierCatalogs), maxEarlierCatalogs, len(m.recentChanges)) {
		if size += proto.Size(m.recentChanges[len(m.recentChanges)-1-kept]); size > maxEarlierBytes {
			break
		}
		kept++
	}
	m.earlierCatalogs = slices.Clone(m.earlierCatalogs[len(m.earlierCatalogs)-kept:])
}
