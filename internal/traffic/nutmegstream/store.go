package nutmegstream

import (
	"context"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

// Store holds what all instances have to know.
type Store interface {
	// Versions reads the announced versions, and UpdateVersions changes them. The change
	// may be made several times; it returns false if there is nothing to change.
	Versions(ctx context.Context) (Versions, error)
	UpdateVersions(ctx context.Context, change func(Versions) bool) (Versions, error)
	// Statements reads those of all instances, and PutStatement replaces that of this one.
	Statements(ctx context.Context) (map[nutmegid.Instance]Statement, error)
	PutStatement(ctx context.Context, s Statement) error
}

const statementKind = "nutmegwind_streams"

var versionsKey = nutmegstore.Key{Kind: "nutmegwind_versions", Name: "services"}

// versionsBody is the body of the object with the announced versions.
type versionsBody struct {
	Services Versions `json:"services"`
}

// ObjectStore is a Store in the platform's object API.
type ObjectStore struct {
	Client   *nutmegstore.Client
	Writer   *nutmegstore.Writer
	Instance nutmegid.Instance
}

// Versions implements Store.
func (s ObjectStore) Versions(ctx context.Context) (Versions, error) {
	doc, err := nutmegstore.Read[versionsBody](ctx, s.Writer, versionsKey)
	if nutmegstore.IsKind(err, nutmegstore.KindNotFound) {
		return nil, nil
	}
	return doc.Body.Services, err
}

// UpdateVersions implements Store.
func (s ObjectStore) UpdateVersions(ctx context.Context, change func(Versions) bool) (Versions, error) {
	doc, err := nutmegstore.Update(ctx, s.Writer, versionsKey, func(body *versionsBody) error {
		if body.Services == nil {
			body.Services = make(Versions)
		}
		if !change(body.Services) {
			return nutmegstore.ErrUnchanged
		}
		return nil
	})
	return doc.Body.Services, err
}

// Statements implements Store. One that cannot be read counts as empty: its streams are
// not known.
func (s ObjectStore) Statements(ctx context.Context) (map[nutmegid.Instance]Statement, error) {
	objects, err := s.Client.List(ctx, statementKind, "")
	if err != nil {
		return nil, err
	}
	all := make(map[nutmegid.Instance]Statement, len(objects))
	for _, o := range objects {
		doc, err := nutmegstore.Decode[Statement](o)
		if err != nil {
			doc.Body = Statement{}
		}
		all[nutmegid.Instance(o.Key.Name)] = doc.Body
	}
	return all, nil
}

// PutStatement implements Store.
func (s ObjectStore) PutStatement(ctx context.Context, statement Statement) error {
	k := nutmegstore.Key{Kind: statementKind, Name: string(s.Instance)}
	_, err := nutmegstore.UpdateLatest(ctx, s.Writer, k, func(body *Statement) error {
		*body = statement
		return nil
	})
	return err
}

var _ Store = ObjectStore{}
