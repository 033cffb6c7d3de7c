package platform

import (
	"bytes"
	"context"
	"encoding/json"

	"rosemarylb"

	"github.com/cockroachdb/errors"
)

// ConfigurationName names the object that holds the configuration.
const ConfigurationName = "configuration"

// Publication is a published configuration.
type Publication struct {
	// Revision orders publications; it only rises.
	Revision uint64 `json:"revision"`
	// Author is who published it.
	Author string `json:"author"`
	// Document is the rendered text.
	Document []byte `json:"document"`
}

// DecodePublication reads the object's value; the zero publication stands for
// an object that does not exist.
func DecodePublication(o rosemarylb.Object) (Publication, error) {
	if o.Version == 0 {
		return Publication{}, nil
	}
	var p Publication
	err := json.Unmarshal(o.Value, &p)
	return p, errors.Wrap(err, "publication")
}

// PublishOutcome is what became of a publication.
type PublishOutcome struct {
	// Published is true when the document is the one in force.
	Published bool
	// Unchanged is true when it was so before.
	Unchanged bool
	// Standing is the publication that stands.
	Standing Publication
}

// Publish writes a document as the revision after base, the publication that
// the operator has seen. When another one came first, it changes nothing and
// returns the one that stands. A lost answer is found out by reading.
func Publish(
	ctx context.Context, store rosemarylb.Store, seen rosemarylb.Object, author string, document []byte,
) (PublishOutcome, error) {
	before, err := DecodePublication(seen)
	if err != nil {
		return PublishOutcome{}, err
	}
	if bytes.Equal(before.Document, document) {
		return PublishOutcome{
			Published: true,
			Unchanged: true,
			Standing:  before,
		}, nil
	}
	wanted := Publication{
		Revision: before.Revision + 1,
		Author:   author,
		Document: document,
	}
	value, err := json.Marshal(wanted)
	if err != nil {
		return PublishOutcome{}, errors.Wrap(err, "publication")
	}
	put, err := store.Put(ctx, rosemarylb.Object{
		Name:    seen.Name,
		Version: seen.Version,
		Value:   value,
	})
	if errors.Is(err, ErrUnavailable) {
		return findOut(ctx, store, wanted, value)
	}
	if err != nil {
		return PublishOutcome{}, err
	}
	if put.Written {
		return PublishOutcome{
			Published: true,
			Standing:  wanted,
		}, nil
	}
	return standing(put.Object, value)
}

// findOut reads what stands after a write whose answer was lost.
func findOut(
	ctx context.Context, store rosemarylb.Store, wanted Publication, value []byte,
) (PublishOutcome, error) {
	o, err := store.Get(ctx, ConfigurationName)
	if err != nil {
		return PublishOutcome{}, errors.Wrapf(err, "revision %d may or may not have been published", wanted.Revision)
	}
	return standing(o, value)
}

func standing(o rosemarylb.Object, value []byte) (PublishOutcome, error) {
	p, err := DecodePublication(o)
	if err != nil {
		return PublishOutcome{}, err
	}
	return PublishOutcome{
		Published: bytes.Equal(o.Value, value),
		Standing:  p,
	}, nil
}
